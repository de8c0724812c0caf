// Package connpool sends requests to targets over pooled connections. Each
// connection has its own net/http Transport, so that the pool controls which
// connection a request uses and how many are open, and can report whether
// anything was written.
package connpool

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// NotRunHeader is the header by which a target states that it did not run a
// request to which it responds with status 503.
const NotRunHeader = "Redwingvale-Not-Run"

// Request is a request to a target. Body is the complete body.
type Request struct {
	Method string
	// URL holds the escaped path and the query; host and scheme are set by
	// the pool.
	URL    url.URL
	Header http.Header
	Body   []byte
}

// Response is a target's response. Body must be read to its end or closed; the
// connection is reused only if the body was read to its end.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1.
	Length int64
	Body   io.ReadCloser
}

// toHTTP converts the request to an HTTP request to addr.
func (r *Request) toHTTP(ctx context.Context, addr string) *http.Request {
	target := r.URL
	target.Scheme = "http"
	target.Host = addr
	out := &http.Request{
		Method:     r.Method,
		URL:        &target,
		Host:       addr,
		Header:     r.Header,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	if len(r.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.Body))
		out.ContentLength = int64(len(r.Body))
	}
	return out.WithContext(ctx)
}

// errUndelimitedBody is the cause for a response whose truncation could not be
// detected.
var errUndelimitedBody = errors.New("the response has neither a Content-Length nor a transfer encoding")

// bodyDelimited reports whether a truncation of the response can be detected.
func bodyDelimited(resp *http.Response) bool {
	if resp.ContentLength >= 0 {
		return true
	}
	return len(resp.TransferEncoding) > 0
}

// responseBody releases its connection to the pool at the end of the response.
type responseBody struct {
	io.ReadCloser
	// onEnd is called once, with whether the body was read to its end.
	onEnd func(complete bool)
	ended atomic.Bool
}

// Read reads the body and reports a truncation as a Failure.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.end(true)
		return n, err
	}
	if err != nil {
		b.end(false)
		return n, &Failure{Kind: Truncated, Written: true, Cause: err}
	}
	return n, nil
}

// Close closes the connection unless the body was read to its end.
func (b *responseBody) Close() error {
	b.end(false)
	return b.ReadCloser.Close()
}

func (b *responseBody) end(complete bool) {
	if b.ended.CompareAndSwap(false, true) {
		b.onEnd(complete)
	}
}
