package entry

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"redwingvale/internal/code"
)

// The time limits of the callers' server, which callers cannot change.
const (
	// readTimeout limits the time to read a request with its body.
	readTimeout = 30 * time.Second
	// writeTimeout limits a complete exchange, including long waits for jobs.
	writeTimeout = 150 * time.Second
)

// newCallerServer returns the HTTP server for callers.
func (e *Entry) newCallerServer() *http.Server {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	router.HTTPErrorHandler = func(err error, c echo.Context) {
		if !c.Response().Committed {
			_ = writeError(c, codedError(err))
		}
	}
	router.Use(e.trackRequests)
	router.Any("/v1/teams/:team/services/:service/call", e.call)
	router.Any("/v1/teams/:team/services/:service/call/*", e.call)
	router.PUT("/v1/teams/:team/jobs/:job", e.submitJob)
	router.GET("/v1/teams/:team/jobs/:job", e.getJob)
	router.DELETE("/v1/teams/:team/jobs/:job", e.cancelJob)
	return &http.Server{
		Handler:           router,
		ReadHeaderTimeout: ms(e.config.ReadHeaderTimeoutMS),
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       ms(e.config.IdleTimeoutMS),
		MaxHeaderBytes:    e.config.MaxHeaderBytes,
	}
}

// codedError converts an error of echo to one with a code.
func codedError(err error) error {
	var httpErr *echo.HTTPError
	if !errors.As(err, &httpErr) {
		return err
	}
	switch httpErr.Code {
	case http.StatusNotFound:
		return code.New(code.UnknownResource, "there is nothing at this path")
	case http.StatusRequestEntityTooLarge:
		return code.New(code.BodyTooLarge, "the body is too large")
	default:
		return code.New(code.BadRequest, "%v", httpErr.Message)
	}
}

// trackRequests is middleware that counts the requests in flight, records the
// code and latency of each, and writes the error responses.
func (e *Entry) trackRequests(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		began := time.Now()
		inFlight := e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		err := e.admit(c, next, inFlight)
		e.metrics.recordResponse(code.Of(err), time.Since(began))
		if err == nil {
			return nil
		}
		return writeError(c, codedError(err))
	}
}

// admit calls next, unless the entry is closing or has too many requests in
// flight.
func (e *Entry) admit(c echo.Context, next echo.HandlerFunc, inFlight int64) error {
	phase := e.phase.Load()
	if phase >= draining {
		// The caller's next connection should go to another entry.
		c.Response().Header().Set("Connection", "close")
	}
	if phase >= closing {
		return code.New(code.Draining, "this instance is stopping")
	}
	if inFlight > int64(e.config.MaxInFlight) {
		return code.New(code.Overloaded, "%d requests are in progress", inFlight-1)
	}
	return next(c)
}
