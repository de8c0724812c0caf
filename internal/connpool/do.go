package connpool

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"redwingvale/internal/spec"
)

// Do sends the request to the target over one connection, within the limit
// that SetLimit set. The error is a *Failure. ctx limits the whole exchange,
// including the response body.
func (p *Pool) Do(ctx context.Context, id spec.WorkerID, addr string, req *Request) (*Response, error) {
	p.mu.Lock()
	t := p.ensureTarget(id, addr)
	p.mu.Unlock()
	c, err := p.acquire(ctx, t)
	if err != nil {
		return nil, err
	}
	return p.send(ctx, c, req)
}

// send sends the request on the connection.
func (p *Pool) send(ctx context.Context, c *connection, req *Request) (*Response, error) {
	writesBefore := c.conn.writeAttempts.Load()
	var headersWritten atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { headersWritten.Store(true) }}
	traced := httptrace.WithClientTrace(ctx, trace)
	resp, err := c.transport.RoundTrip(req.toHTTP(traced, c.addr))
	if err != nil {
		c.close()
		written := headersWritten.Load() || c.conn.writeAttempts.Load() != writesBefore
		return nil, classify(ctx, err, written)
	}
	return p.wrapResponse(c, resp)
}

// classify converts a Transport's error to a Failure.
func classify(ctx context.Context, err error, written bool) *Failure {
	switch {
	case !written:
		return &Failure{Kind: NotWritten, Cause: err}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Failure{Kind: TimedOut, Written: true, Cause: err}
	default:
		return &Failure{Kind: ConnectionLost, Written: true, Cause: err}
	}
}

// wrapResponse wraps the response so that its end releases the connection. It
// returns a Failure if the response is not delimited or says that the request
// did not run.
func (p *Pool) wrapResponse(c *connection, resp *http.Response) (*Response, error) {
	if !bodyDelimited(resp) {
		c.close()
		return nil, &Failure{Kind: Truncated, Written: true, Cause: errUndelimitedBody}
	}
	keep := !resp.Close
	wrapped := &responseBody{ReadCloser: resp.Body}
	wrapped.onEnd = func(complete bool) { p.release(c, complete && keep) }
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(NotRunHeader) == "true" {
		p.discard(wrapped)
		return nil, &Failure{Kind: TargetRefused, Written: true}
	}
	return &Response{
		Status: resp.StatusCode,
		Header: resp.Header,
		Length: resp.ContentLength,
		Body:   wrapped,
	}, nil
}

// maxDiscardBytes limits how much of an unwanted response is read to keep its
// connection.
const maxDiscardBytes = 4 << 10

// discard reads a short response to its end, or else closes the connection.
func (p *Pool) discard(b *responseBody) {
	buffer := make([]byte, maxDiscardBytes)
	for read := 0; read < maxDiscardBytes; {
		n, err := b.Read(buffer[read:])
		read += n
		if err != nil {
			break
		}
	}
	_ = b.Close()
}

// release makes the connection idle, or closes it when it cannot be reused.
func (p *Pool) release(c *connection, reusable bool) {
	if !p.putIdle(c, reusable, p.now()) {
		c.close()
	}
}

// putIdle adds the connection to the idle ones and reports whether it did. sent
// is when it last carried a request.
func (p *Pool) putIdle(c *connection, reusable bool, sent time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := c.target
	if !reusable || p.closed || c.conn.closed.Load() || c.addr != t.addr || t.open > t.limit {
		return false
	}
	c.lastUsed = p.now()
	c.lastSent = sent
	t.idle = append(t.idle, c)
	t.wakeWaiters()
	return true
}
