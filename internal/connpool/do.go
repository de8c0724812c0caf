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
// that SetLimit set. The error is a *Failure. ctx bounds the whole exchange,
// including the answer's body.
func (p *Pool) Do(ctx context.Context, id spec.WorkerID, addr string, req *Request) (*Response, error) {
	p.mu.Lock()
	t := p.target(id, addr)
	p.mu.Unlock()
	c, err := p.acquire(ctx, t)
	if err != nil {
		return nil, err
	}
	return p.send(ctx, c, req)
}

// send carries the request out on the connection.
func (p *Pool) send(ctx context.Context, c *connection, req *Request) (*Response, error) {
	before := c.conn.writes.Load()
	var headers atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { headers.Store(true) }}
	traced := httptrace.WithClientTrace(ctx, trace)
	resp, err := c.transport.RoundTrip(req.toHTTP(traced, c.addr))
	if err != nil {
		c.close()
		written := headers.Load() || c.conn.writes.Load() != before
		return nil, classify(ctx, err, written)
	}
	return p.accept(c, resp)
}

// classify turns a Transport's error into a Failure.
func classify(ctx context.Context, err error, written bool) *Failure {
	switch {
	case !written:
		return &Failure{Kind: NotWritten, Cause: err}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Failure{Kind: OutOfTime, Written: true, Cause: err}
	default:
		return &Failure{Kind: Lost, Written: true, Cause: err}
	}
}

// accept wraps the answer so that its end gives the connection back.
func (p *Pool) accept(c *connection, resp *http.Response) (*Response, error) {
	if !endMarked(resp) {
		c.close()
		return nil, &Failure{Kind: CutShort, Written: true, Cause: errNoLength}
	}
	keep := !resp.Close
	wrapped := &body{ReadCloser: resp.Body}
	wrapped.done = func(whole bool) { p.release(c, whole && keep) }
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

// discardBytes bounds what is read of an unwanted answer to keep its
// connection.
const discardBytes = 4 << 10

// discard reads a short answer to its end, or gives the connection up.
func (p *Pool) discard(b *body) {
	buffer := make([]byte, discardBytes)
	for read := 0; read < discardBytes; {
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
	if !p.park(c, reusable, p.now()) {
		c.close()
	}
}

// park adds the connection to the idle ones and reports whether it did. sent is
// when it last carried a request.
func (p *Pool) park(c *connection, reusable bool, sent time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := c.target
	if !reusable || p.closed || c.conn.ended.Load() || c.addr != t.addr || t.open > t.limit {
		return false
	}
	c.lastUsed = p.now()
	c.lastSent = sent
	t.idle = append(t.idle, c)
	t.wake()
	return true
}
