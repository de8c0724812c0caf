// Package connpool carries requests to targets. Each connection has its own
// net/http Transport, so that the pool decides which connection a request
// uses, how many are open, and whether anything was written.
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
// request that it answers with status 503.
const NotRunHeader = "Redwingvale-Not-Run"

// Request is a request to a target. Body is sent whole.
type Request struct {
	Method string
	// URL holds the escaped path and the query; host and scheme are set by
	// the pool.
	URL    url.URL
	Header http.Header
	Body   []byte
}

// Response is the head of a target's answer. Body must be read to its end or
// closed; only a body that was read to its end leaves the connection usable.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1.
	Length int64
	Body   io.ReadCloser
}

// toHTTP returns the request for addr.
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

// errNoLength is returned for an answer whose end cannot be told from a cut.
var errNoLength = errors.New("the answer has neither a length nor chunks")

// endMarked reports whether the end of the answer can be told from a cut.
func endMarked(resp *http.Response) bool {
	if resp.ContentLength >= 0 {
		return true
	}
	return len(resp.TransferEncoding) > 0
}

// body returns its connection to the pool at the end of the answer.
type body struct {
	io.ReadCloser
	// done receives whether the answer was read to its end, once.
	done  func(whole bool)
	ended atomic.Bool
}

// Read reads the answer and turns a cut into a Failure.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.finish(true)
		return n, err
	}
	if err != nil {
		b.finish(false)
		return n, &Failure{Kind: CutShort, Written: true, Cause: err}
	}
	return n, nil
}

// Close gives the connection up unless the answer was read to its end.
func (b *body) Close() error {
	b.finish(false)
	return b.ReadCloser.Close()
}

func (b *body) finish(whole bool) {
	if b.ended.CompareAndSwap(false, true) {
		b.done(whole)
	}
}
