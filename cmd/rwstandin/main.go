// Command rwstandin runs small stand-ins of the platform: the log service,
// the instance list, and workers with targets. Faults are set in the settings
// file and, at run time, over HTTP below /standin/v1.
package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"redwingvale/internal/cli"
	"redwingvale/internal/standin"
	"redwingvale/internal/telemetry"
)

const headerTimeout = 5 * time.Second

func main() {
	daemon := cli.Daemon[standin.Config]{
		Name:     "rwstandin",
		Help:     "rwstandin runs small stand-ins of the platform for trials and tests.",
		Defaults: standin.DefaultConfig,
		Run:      run,
	}
	os.Exit(daemon.Main())
}

func run(ctx context.Context, config standin.Config) error {
	tele := telemetry.New("rwstandin", "platform", os.Stderr)
	defer tele.Close()
	platform, err := standin.New(config)
	if err != nil {
		return err
	}
	socket, err := net.Listen("tcp", config.ControlAddr)
	if err != nil {
		return errors.Wrap(err, "listen for the platform's interface")
	}
	server := &http.Server{Handler: platform.Handler(), ReadHeaderTimeout: headerTimeout}
	tele.Log.Info("standin_started", zap.String("addr", socket.Addr().String()), zap.Int("workers", config.Workers))
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return platform.Run(ctx) })
	group.Go(func() error {
		if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return group.Wait()
}
