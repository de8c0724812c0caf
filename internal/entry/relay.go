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

// streamBuffer is the memory of one streamed answer in bytes.
const streamBuffer = 32 << 10

// relay sends an answer to the caller: whole with its length, or streamed. A
// stream that is cut resets the caller's connection. keep, if set, receives
// the answer, or nil when it was streamed.
func (e *Entry) relay(c echo.Context, a *answer, keep func(*dedupe.Answer)) error {
	if a.rest == nil {
		if keep != nil {
			keep(keptAnswer(a))
		}
		return writeWhole(c, a)
	}
	if keep != nil {
		keep(nil)
	}
	defer a.rest.Close()
	if err := e.stream(c, a); err != nil {
		e.metrics.cuts.Inc(1)
		panic(http.ErrAbortHandler)
	}
	return nil
}

// writeHead writes the status and the headers of an answer.
func writeHead(c echo.Context, a *answer, length int64) {
	h := c.Response().Header()
	for name, values := range endToEnd(a.header) {
		h[name] = values
	}
	setCode(h, code.OK)
	if length >= 0 && bodyAllowed(a.status) {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.Response().WriteHeader(a.status)
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeWhole writes a buffered answer. P4: its length is the target's.
func writeWhole(c echo.Context, a *answer) error {
	if c.Request().Method == http.MethodHead {
		writeHead(c, a, a.length)
		return nil
	}
	invariant.Check(a.length < 0 || int64(len(a.body)) == a.length || !bodyAllowed(a.status), invariant.WholeAnswer,
		"answer of %d bytes has %d", a.length, len(a.body))
	writeHead(c, a, int64(len(a.body)))
	if len(a.body) > 0 {
		// A caller that has left does not read its answer.
		_, _ = c.Response().Write(a.body)
	}
	return nil
}

// stream copies a long answer as fast as the caller reads it.
func (e *Entry) stream(c echo.Context, a *answer) error {
	writeHead(c, a, a.length)
	if _, err := c.Response().Write(a.body); err != nil {
		return err
	}
	buffer := make([]byte, streamBuffer)
	for {
		n, err := a.rest.Read(buffer)
		if n > 0 {
			if _, failed := c.Response().Write(buffer[:n]); failed != nil {
				return failed
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

// keptAnswer returns the answer in the form in which it is remembered.
func keptAnswer(a *answer) *dedupe.Answer {
	out := &dedupe.Answer{Status: a.status, Body: a.body}
	for name, values := range endToEnd(a.header) {
		for _, value := range values {
			out.Headers = append(out.Headers, dedupe.Header{Name: name, Value: value})
		}
	}
	return out
}

// replay sends a remembered answer.
func (e *Entry) replay(c echo.Context, kept *dedupe.Answer) error {
	a := &answer{status: kept.Status, body: kept.Body, length: int64(len(kept.Body)), header: http.Header{}}
	for _, h := range kept.Headers {
		a.header.Add(h.Name, h.Value)
	}
	a.header.Del("Content-Length")
	return writeWhole(c, a)
}
