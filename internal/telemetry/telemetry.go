// Package telemetry provides the log, the metrics and the HTTP endpoints for
// health, readiness and scraping of each program.
package telemetry

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"redwingvale/internal/code"
)

// Timeouts of the HTTP server, and the interval at which metrics are reported.
const (
	headerTimeout   = 2 * time.Second
	writeTimeout    = 10 * time.Second
	shutdownTimeout = 2 * time.Second
	reportInterval  = time.Second
)

// Telemetry holds the log, the metrics and the HTTP endpoints of one program.
type Telemetry struct {
	Log      *zap.Logger
	Scope    tally.Scope
	reporter promreporter.Reporter
	closer   io.Closer
}

// New returns the telemetry of a program. The log writes one line of key=value
// pairs per event to out.
func New(program, instance string, out io.Writer) *Telemetry {
	encoderConfig := zap.NewProductionEncoderConfig()
	encoderConfig.TimeKey = "time"
	encoderConfig.MessageKey = "event"
	encoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoderConfig), zapcore.AddSync(out), zap.InfoLevel)
	log := zap.New(core).With(zap.String("program", program), zap.String("instance", instance))
	reporter := promreporter.NewReporter(registryOptions())
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "redwingvale",
		Tags:            map[string]string{"program": program, "instance": instance},
		CachedReporter:  reporter,
		Separator:       promreporter.DefaultSeparator,
		SanitizeOptions: &promreporter.DefaultSanitizerOpts,
	}, reportInterval)
	return &Telemetry{Log: log, Scope: scope, reporter: reporter, closer: closer}
}

// registryOptions returns options with a new registry for each program, so that
// several programs can run in one process.
func registryOptions() promreporter.Options {
	registry := prometheus.NewRegistry()
	return promreporter.Options{Registerer: registry, Gatherer: registry}
}

// Close reports the remaining metrics and stops reporting.
func (t *Telemetry) Close() { _ = t.closer.Close() }

// ErrorFields returns the result code and the short text of err as log fields.
// The long form of an error contains file paths and does not belong in a log
// line.
func ErrorFields(err error) []zap.Field {
	return []zap.Field{
		zap.String("code", code.Of(err).String()),
		zap.String("error", err.Error()),
	}
}

// Serve serves /healthz, /readyz and /metrics on listener until ctx is
// done.
func (t *Telemetry) Serve(ctx context.Context, listener net.Listener, ready func() bool) error {
	server := &http.Server{
		Handler:           t.Handler(ready),
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      writeTimeout,
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return server.Shutdown(shutdownCtx)
}

// Handler returns the endpoints: /healthz returns 200 while the process runs,
// /readyz returns 200 or 503 depending on ready, and /metrics returns the
// metrics in the Prometheus text format.
func (t *Telemetry) Handler(ready func() bool) http.Handler {
	server := echo.New()
	server.GET("/healthz", func(c echo.Context) error {
		return c.String(http.StatusOK, "ok\n")
	})
	server.GET("/readyz", func(c echo.Context) error {
		if ready() {
			return c.String(http.StatusOK, "ready\n")
		}
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	})
	server.GET("/metrics", echo.WrapHandler(t.reporter.HTTPHandler()))
	return server
}
