// Command rwsoak injects random faults into rwnode processes on the loopback
// interface and checks the guarantees meanwhile. It exits with 1 when a
// guarantee was violated.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"redwingvale/internal/soak"
)

// maxPrinted bounds the violations that are printed of one run.
const maxPrinted = 50

func main() {
	os.Exit(run())
}

func run() int {
	flags := flag.NewFlagSet("rwsoak", flag.ExitOnError)
	options := soak.Options{}
	seed := flags.Uint64("seed", 1, "first seed")
	seeds := flags.Int("seeds", 1, "number of seeds, one after the other")
	dir := flags.String("dir", "", "directory for settings and logs of the processes; a new one if empty")
	flags.StringVar(&options.Binary, "rwnode", "bin/rwnode", "the rwnode binary to test")
	flags.IntVar(&options.Instances, "instances", 5, "number of rwnode processes")
	flags.IntVar(&options.Workers, "workers", 12, "number of workers")
	flags.IntVar(&options.Rounds, "rounds", 2, "rounds of faults, each followed by a recovery phase")
	flags.DurationVar(&options.FaultDuration, "faults", 12*time.Second, "how long a round injects faults")
	flags.Float64Var(&options.FailShare, "fail-share", 0.15, "share of the task runs that fail without an injected fault")
	flags.DurationVar(&options.RecoveryLimit, "calm", 30*time.Second, "how long jobs may take to end after the last fault")
	flags.Float64Var(&options.JobsPerS, "jobs", 8, "submissions a second")
	flags.StringVar(&options.Mix, "mix", "mixed", "kinds of jobs: mixed or oratory-desk")
	flags.IntVar(&options.Series, "series", 3, "concurrent series of faults")
	flags.BoolVar(&options.Delegates, "delegates", false, "the leader calls workers through other instances")
	verbose := flags.Bool("v", false, "print each fault")
	if err := ff.Parse(flags, os.Args[1:], ff.WithEnvVarPrefix("RWSOAK")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if *dir == "" {
		made, err := os.MkdirTemp("", "rwsoak-")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		*dir = made
	}
	if *verbose {
		options.Log = os.Stdout
	}
	code := 0
	for i := range *seeds {
		options.Seed = *seed + uint64(i)
		options.KillAll = options.Seed%2 == 0
		options.Dir = filepath.Join(*dir, strconv.FormatUint(options.Seed, 10))
		if err := os.MkdirAll(options.Dir, 0o700); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		result, err := soak.Run(ctx, options)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		fmt.Println(result)
		for i, violation := range result.Violations {
			if i == maxPrinted {
				fmt.Println("   and", len(result.Violations)-maxPrinted, "more")
				break
			}
			fmt.Println("  ", violation)
		}
		if len(result.Violations) > 0 {
			code = 1
			fmt.Println("   logs are in", options.Dir)
		}
	}
	return code
}
