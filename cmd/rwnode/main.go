// Command rwnode is the daemon that runs redwingvale on the users' platform. It
// runs on each instance, accepts jobs, and schedules them while it is the leader.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"redwingvale/internal/cli"
	"redwingvale/internal/memory"
	"redwingvale/internal/node"
	"redwingvale/internal/telemetry"
	"redwingvale/platform"
)

func main() {
	daemon := cli.Daemon[node.Config]{
		Name:     "rwnode",
		Help:     "rwnode accepts jobs and schedules them on the platform's workers.",
		Defaults: node.DefaultConfig,
		Run:      run,
	}
	os.Exit(daemon.Main())
}

func run(ctx context.Context, config node.Config) error {
	out := telemetry.NewBuffer(os.Stdout)
	defer out.Close()
	tele := telemetry.New("rwnode", config.Instance, out)
	defer tele.Close()
	if config.MemoryMB > 0 {
		go memory.NewPacer(int64(config.MemoryMB * (1 << 20))).Run(ctx)
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go func() {
		// The settings name addresses and limits, which are fixed until the
		// process ends; operators change the configuration by the manifest.
		for range reload {
			tele.Log.Info("reload_ignored")
		}
	}()
	store := platform.NewStore(config.StoreAddr)
	workers := platform.NewWorkers(config.AdviceAddr, tele.Log)
	n := node.New(config, node.Deps{
		Log:       platform.JobLog{Store: store},
		Manifests: platform.Manifests{Store: store},
		Directory: platform.NewDirectory(store, tele.Log),
		Workers:   workers,
		Adviser:   workers,
	}, tele)
	return n.Serve(ctx, node.Handlers{
		Callers:   platform.NewIngress(n, n.Draining),
		Readiness: platform.NewReadiness(n.Ready, tele.Handler(n.Ready)),
	})
}
