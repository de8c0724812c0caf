// Command rwsoak injects random faults into rwnode processes on the loopback
// interface and checks the guarantees meanwhile. It exits with 1 when a
// guarantee was violated.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"

	"redwingvale/internal/soak"
)

// maxPrinted bounds the violations that are printed of one run.
const maxPrinted = 50

func main() {
	os.Exit(run())
}

// shapes are the numbers of sites, by option.
var shapes = map[string]map[string]string{
	"oratory-desk": {
		"instances": "6", "zones": "3", "workers": "66", "workers-per-rack": "8", "max-lease": "10s", "stop-timeout": "900ms",
		"mix": "oratory-desk", "jobs": "10.3",
	},
}

// applyShape sets the options of a shape that were not given.
func applyShape(flags *flag.FlagSet, name string) error {
	if name == "" {
		return nil
	}
	shape := shapes[name]
	if shape == nil {
		return errors.Newf("there is no shape %q", name)
	}
	given := map[string]bool{}
	flags.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for option, value := range shape {
		if given[option] {
			continue
		}
		if err := flags.Set(option, value); err != nil {
			return err
		}
	}
	return nil
}

// busyArgument makes the program a busy process.
const busyArgument = "busy"

// startBusy starts busy processes and returns a function that ends them.
func startBusy(n int) (end func(), err error) {
	var started []*exec.Cmd
	end = func() {
		for _, command := range started {
			_ = command.Process.Kill()
			_ = command.Wait()
		}
	}
	for range n {
		command := exec.Command("/proc/self/exe", busyArgument)
		if err := command.Start(); err != nil {
			end()
			return nil, err
		}
		started = append(started, command)
	}
	return end, nil
}

// spin uses a processor until the parent has ended.
func spin() {
	for parent := os.Getppid(); os.Getppid() == parent; {
		for start := time.Now(); time.Since(start) < 100*time.Millisecond; {
		}
	}
}

func run() int {
	if len(os.Args) == 2 && os.Args[1] == busyArgument {
		spin()
		return 0
	}
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
	flags.StringVar(&options.Scenario, "scenario", "", "a directed sequence of faults in each round instead of random ones: "+strings.Join(soak.Scenarios(), ", "))
	flags.BoolVar(&options.Wide, "wide", true, "also faults that concern many links, processes or workers at once")
	flags.IntVar(&options.Zones, "zones", 1, "zones of instances and racks")
	flags.IntVar(&options.WorkersPerRack, "workers-per-rack", 0, "workers in a rack; 0 spreads them over three racks")
	flags.DurationVar(&options.MaxLease, "max-lease", 6*time.Second, "longest lease of a worker")
	flags.DurationVar(&options.StopTimeout, "stop-timeout", 500*time.Millisecond, "longest time of a stop")
	flags.IntVar(&options.MemoryMB, "memory", 284, "memory in MB beyond which a process is killed, which breaks the run")
	shape := flags.String("shape", "", "a site whose numbers replace the defaults of other options: oratory-desk")
	busy := flags.Int("busy", 0, "busy processes beside the run")
	verbose := flags.Bool("v", false, "print each fault")
	if err := ff.Parse(flags, os.Args[1:], ff.WithEnvVarPrefix("RWSOAK")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if err := applyShape(flags, *shape); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	endBusy, err := startBusy(*busy)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer endBusy()
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
