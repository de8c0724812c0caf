// Command rwsched runs the scheduler process: membership, ownership of worker
// groups, the journal, jobs, placement, leases, slot grants and configuration.
package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"redwingvale/internal/cli"
	"redwingvale/internal/decider"
	"redwingvale/internal/platform/rest"
	"redwingvale/internal/sched"
	"redwingvale/internal/spec"
	"redwingvale/internal/telemetry"
)

// Limits of the connections to the platform.
const (
	platformConnections = 128
	incarnationTimeout  = 3 * time.Second
)

func main() {
	daemon := cli.Daemon[sched.Config]{
		Name:     "rwsched",
		Help:     "rwsched schedules jobs and grants slots for urgent requests.",
		Defaults: sched.DefaultConfig,
		Run:      run,
	}
	os.Exit(daemon.Main())
}

func run(ctx context.Context, config sched.Config) error {
	tele := telemetry.New("rwsched", config.Instance, os.Stderr)
	defer tele.Close()
	sockets, err := listen(config)
	if err != nil {
		return err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: platformConnections}
	client := rest.NewClient(config.PlatformURL, config.Instance, &http.Client{Transport: transport})
	limited, cancel := context.WithTimeout(ctx, incarnationTimeout)
	incarnation := sched.NextIncarnation(limited, client, spec.InstanceID(config.Instance))
	cancel()
	s := sched.New(config, sockets, sched.Deps{
		Log:         client,
		List:        client,
		Workers:     client,
		Telemetry:   tele,
		NewDecider:  decider.New,
		Incarnation: incarnation,
	})
	return runUntilStopped(ctx, s, tele)
}

// runUntilStopped runs s until SIGTERM or a requested drain, then hands its
// groups over before it stops.
func runUntilStopped(ctx context.Context, s *sched.Sched, tele *telemetry.Telemetry) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := make(chan error, 1)
	go func() { done <- s.Run(running) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	case <-s.DrainRequested():
	}
	if err := s.Leave(running); err != nil {
		tele.Log.Warn("leave_failed", zap.String("error", err.Error()))
	}
	stop()
	return <-done
}

func listen(config sched.Config) (sched.Sockets, error) {
	var sockets sched.Sockets
	var err error
	if sockets.Peer, err = net.Listen("tcp", config.PeerAddr); err != nil {
		return sockets, errors.Wrap(err, "listen for peers")
	}
	if sockets.Operator, err = net.Listen("tcp", config.OperatorAddr); err != nil {
		return sockets, errors.Wrap(err, "listen for operators")
	}
	if sockets.Ops, err = net.Listen("tcp", config.OpsAddr); err != nil {
		return sockets, errors.Wrap(err, "listen for health and metrics")
	}
	return sockets, nil
}
