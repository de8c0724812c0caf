// Command rwentry serves the callers' API for urgent requests and jobs.
package main

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"redwingvale/internal/cli"
	"redwingvale/internal/directory"
	"redwingvale/internal/entry"
	"redwingvale/internal/sched"
	"redwingvale/internal/settings"
	"redwingvale/internal/telemetry"
)

// drainTimeout limits the duration of a graceful shutdown.
const drainTimeout = 60 * time.Second

// config holds the settings file of rwentry.
type config struct {
	entry.Config
	// SchedAddr is the host:port of the rwsched on the same instance.
	SchedAddr string `toml:"sched_addr"`
	// OpsAddr is the host:port that serves health, readiness and metrics.
	OpsAddr string `toml:"ops_addr"`
}

// Check implements settings.Checker.
func (c *config) Check(p *settings.Problems) {
	c.Config.Check(p)
	p.Address("sched_addr", c.SchedAddr)
	p.Address("ops_addr", c.OpsAddr)
}

func main() {
	daemon := cli.Daemon[config]{
		Name:     "rwentry",
		Help:     "rwentry serves the callers' API for urgent requests and jobs.",
		Defaults: func() config { return config{Config: entry.DefaultConfig()} },
		Run:      run,
	}
	os.Exit(daemon.Main())
}

func run(ctx context.Context, c config) error {
	tele := telemetry.New("rwentry", c.Instance, os.Stderr)
	defer tele.Close()
	clients := sched.NewClients()
	defer clients.Close()
	services := directory.New()
	c.Incarnation = uint64(time.Now().UnixMilli())
	e, err := entry.New(c.Config, entry.Deps{
		Log:      tele.Log,
		Scope:    tele.Scope,
		Sched:    clients.Sched,
		OwnSched: clients.Sched(c.SchedAddr),
		Services: services,
		OnView:   services.Update,
	})
	if err != nil {
		return err
	}
	opsListener, err := net.Listen("tcp", c.OpsAddr)
	if err != nil {
		return errors.Wrap(err, "listen for health and metrics")
	}
	return runUntilDrained(ctx, e, tele, opsListener)
}

// runUntilDrained runs e until ctx is cancelled (SIGTERM) and then drains it, so
// that no request is interrupted.
func runUntilDrained(ctx context.Context, e *entry.Entry, tele *telemetry.Telemetry, opsListener net.Listener) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, runCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { return e.Run(runCtx) })
	group.Go(func() error { return tele.Serve(runCtx, opsListener, e.Ready) })
	group.Go(func() error {
		select {
		case <-runCtx.Done():
			return nil
		case <-ctx.Done():
		}
		drainCtx, cancel := context.WithTimeout(runCtx, drainTimeout)
		defer cancel()
		if err := e.Drain(drainCtx); err != nil {
			tele.Log.Warn("drain_failed", zap.String("error", err.Error()))
		}
		stop()
		return nil
	})
	return group.Wait()
}
