package entry

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"redwingvale/internal/code"
)

// The time limits of the callers' server that callers cannot change.
const (
	// readTimeout bounds the reading of a request with its body.
	readTimeout = 30 * time.Second
	// writeTimeout bounds a whole exchange, long waits for jobs included.
	writeTimeout = 150 * time.Second
)

// newCallerServer returns the server for callers.
func (e *Entry) newCallerServer() *http.Server {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	router.HTTPErrorHandler = func(err error, c echo.Context) {
		if !c.Response().Committed {
			_ = refuse(c, codedError(err))
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

// codedError gives echo's own errors a code.
func codedError(err error) error {
	var plain *echo.HTTPError
	if !errors.As(err, &plain) {
		return err
	}
	switch plain.Code {
	case http.StatusNotFound:
		return code.New(code.UnknownResource, "there is nothing at this path")
	case http.StatusRequestEntityTooLarge:
		return code.New(code.BodyTooLarge, "the body is too large")
	default:
		return code.New(code.BadRequest, "%v", plain.Message)
	}
}

// around counts requests and refuses those that an entry cannot take.
func (e *Entry) trackRequests(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		began := time.Now()
		now := e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		err := e.admit(c, next, now)
		e.metrics.recordResponse(code.Of(err), time.Since(began))
		if err == nil {
			return nil
		}
		return refuse(c, codedError(err))
	}
}

func (e *Entry) admit(c echo.Context, next echo.HandlerFunc, inFlight int64) error {
	phase := e.phase.Load()
	if phase >= draining {
		// Lets the caller open its next connection to another entry.
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
