// Package telemetry gives each program its log, its metrics and the HTTP
// endpoints for health, readiness and scraping.
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

// Limits of the HTTP server for health and metrics.
const (
	headerTimeout   = 2 * time.Second
	writeTimeout    = 10 * time.Second
	shutdownTimeout = 2 * time.Second
	reportInterval  = time.Second
)

// Telemetry is the log, the metrics and the endpoints of one program.
type Telemetry struct {
	Log      *zap.Logger
	Scope    tally.Scope
	reporter promreporter.Reporter
	closer   io.Closer
}

// New returns telemetry for a program. Log lines are key=value pairs, one
// line for each event, written to out.
func New(program, instance string, out io.Writer) *Telemetry {
	encoder := zap.NewProductionEncoderConfig()
	encoder.TimeKey = "time"
	encoder.MessageKey = "event"
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoder), zapcore.AddSync(out), zap.InfoLevel)
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

// registryOptions gives each program a registry of its own, so that several
// programs can run in one process.
func registryOptions() promreporter.Options {
	registry := prometheus.NewRegistry()
	return promreporter.Options{Registerer: registry, Gatherer: registry}
}

// Close reports the last metrics.
func (t *Telemetry) Close() { _ = t.closer.Close() }

// ErrorFields returns the short text and the result code of an error. The
// long form of an error holds file paths and does not belong into a log line.
func ErrorFields(err error) []zap.Field {
	return []zap.Field{
		zap.String("code", code.Of(err).String()),
		zap.String("error", err.Error()),
	}
}

// Serve answers /healthz, /readyz and /metrics on the socket until ctx ends.
func (t *Telemetry) Serve(ctx context.Context, socket net.Listener, ready func() bool) error {
	server := &http.Server{
		Handler:           t.Handler(ready),
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      writeTimeout,
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(socket) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return server.Shutdown(stop)
}

// Handler returns the endpoints: /healthz answers 200 while the process runs,
// /readyz answers 200 or 503, /metrics answers in the Prometheus text format.
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
