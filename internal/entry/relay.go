package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"redwingvale/internal/code"
	"redwingvale/internal/dedupe"
	"redwingvale/internal/invariant"
)

// streamBufferBytes is the size of the copy buffer of a streamed response.
const streamBufferBytes = 32 << 10

// relay sends a response to the caller, either complete with its length or
// streamed. If streaming fails it aborts the caller's connection.
// record, if set, receives the response, or nil if it is streamed.
func (e *Entry) relay(c echo.Context, resp *response, record func(*dedupe.Answer)) error {
	if resp.remainder == nil {
		if record != nil {
			record(recordedAnswer(resp))
		}
		return writeBuffered(c, resp)
	}
	if record != nil {
		record(nil)
	}
	defer resp.remainder.Close()
	if err := e.stream(c, resp); err != nil {
		e.metrics.streamsCut.Inc(1)
		panic(http.ErrAbortHandler)
	}
	return nil
}

// writeHead writes the status and the headers of a response.
func writeHead(c echo.Context, resp *response, length int64) {
	h := c.Response().Header()
	for name, values := range endToEnd(resp.header) {
		h[name] = values
	}
	setCode(h, code.OK)
	if length >= 0 && bodyAllowed(resp.status) {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.Response().WriteHeader(resp.status)
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeBuffered writes a buffered response. It checks that the body has the
// length that the target declared (guarantee P4).
func writeBuffered(c echo.Context, resp *response) error {
	if c.Request().Method == http.MethodHead {
		writeHead(c, resp, resp.length)
		return nil
	}
	invariant.Check(resp.length < 0 || int64(len(resp.body)) == resp.length || !bodyAllowed(resp.status), invariant.CompleteResponse,
		"response of %d bytes has a body of %d", resp.length, len(resp.body))
	writeHead(c, resp, int64(len(resp.body)))
	if len(resp.body) > 0 {
		// A write error only means that the caller has disconnected.
		_, _ = c.Response().Write(resp.body)
	}
	return nil
}

// stream copies a long response at the rate at which the caller reads it.
func (e *Entry) stream(c echo.Context, resp *response) error {
	writeHead(c, resp, resp.length)
	if _, err := c.Response().Write(resp.body); err != nil {
		return err
	}
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := resp.remainder.Read(buffer)
		if n > 0 {
			if _, writeErr := c.Response().Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
			c.Response().Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// recordedAnswer converts a response to the form that is recorded for an
// idempotency key.
func recordedAnswer(resp *response) *dedupe.Answer {
	out := &dedupe.Answer{Status: resp.status, Body: resp.body}
	for name, values := range endToEnd(resp.header) {
		for _, value := range values {
			out.Headers = append(out.Headers, dedupe.Header{Name: name, Value: value})
		}
	}
	return out
}

// replay sends a recorded response to the caller.
func (e *Entry) replay(c echo.Context, recorded *dedupe.Answer) error {
	resp := &response{status: recorded.Status, body: recorded.Body, length: int64(len(recorded.Body)), header: http.Header{}}
	for _, h := range recorded.Headers {
		resp.header.Add(h.Name, h.Value)
	}
	resp.header.Del("Content-Length")
	return writeBuffered(c, resp)
}
