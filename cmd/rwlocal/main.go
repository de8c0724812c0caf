// Command rwlocal runs three instances and the stand-ins of the platform in one
// process. With -sample it runs a short sample day and checks the result.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"

	"redwingvale/internal/cli"
	"redwingvale/internal/local"
	"redwingvale/internal/sample"
)

// startTimeout bounds the time until the local cluster is ready.
const startTimeout = 20 * time.Second

type options struct {
	sample  bool
	verbose bool
	version bool
	port    int
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, out, errOut io.Writer) int {
	parsed, err := parse(args, errOut)
	if errors.Is(err, flag.ErrHelp) {
		return cli.ExitOK
	}
	if err != nil {
		fmt.Fprintln(errOut, err)
		return cli.ExitUsage
	}
	if parsed.version {
		fmt.Fprintln(out, "rwlocal", cli.Version)
		return cli.ExitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := io.Discard
	if parsed.verbose {
		log = errOut
	}
	if parsed.sample {
		return runSample(ctx, out, log, errOut)
	}
	return serve(ctx, parsed.port, out, log, errOut)
}

func parse(args []string, errOut io.Writer) (options, error) {
	var parsed options
	flags := flag.NewFlagSet("rwlocal", flag.ContinueOnError)
	flags.SetOutput(errOut)
	flags.BoolVar(&parsed.sample, "sample", false, "run a sample day and judge it")
	flags.BoolVar(&parsed.verbose, "v", false, "write the instances' log lines to standard error")
	flags.BoolVar(&parsed.version, "version", false, "print the version")
	flags.IntVar(&parsed.port, "port", 0, "first port of the instances; 0 picks free ports")
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix(cli.EnvPrefix))
	return parsed, err
}

func runSample(ctx context.Context, out, log, errOut io.Writer) int {
	result, err := sample.Run(ctx, out, log)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return cli.ExitFailure
	}
	fmt.Fprintln(out, result.Line())
	if !result.Passed() {
		return cli.ExitFailure
	}
	return cli.ExitOK
}

// serve runs a cluster until SIGTERM or SIGINT.
func serve(ctx context.Context, port int, out, log, errOut io.Writer) int {
	clusterOptions := local.DefaultOptions()
	clusterOptions.Log = log
	clusterOptions.FirstPort = port
	cluster, err := local.Start(ctx, clusterOptions)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return cli.ExitFailure
	}
	defer cluster.Stop()
	limited, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := prepare(limited, cluster); err != nil {
		fmt.Fprintln(errOut, err)
		return cli.ExitFailure
	}
	describe(out, cluster)
	<-ctx.Done()
	return cli.ExitOK
}

func prepare(ctx context.Context, cluster *local.Cluster) error {
	if err := cluster.AwaitReady(ctx); err != nil {
		return err
	}
	return sample.ApplyDocuments(ctx, cluster)
}

func describe(out io.Writer, cluster *local.Cluster) {
	for _, instance := range cluster.Instances() {
		fmt.Fprintf(out, "instance %s: callers http://%s, operators %s\n", instance.Name, instance.Entry.Addr(), instance.Operator)
	}
	first := cluster.Instances()[0]
	base := "http://" + first.Entry.Addr() + "/v1/teams/kagoshima-billing"
	fmt.Fprintf(out, "\nTry:\n")
	fmt.Fprintf(out, "  curl -i --data 'meter 4711' %s/services/meter-reads/call/read\n", base)
	fmt.Fprintf(out, "  curl -i -X PUT -H 'Content-Type: application/json' -d '{\"service\":\"tariff-invoices\",\"class\":\"deadline\",\"kind\":\"month-end\",\"tasks\":4,\"per_task\":{\"milli_cpu\":4000,\"memory_mib\":8192,\"slots\":2},\"run_time_s\":5}' %s/jobs/run-1\n", base)
	fmt.Fprintf(out, "  curl -i -H 'Prefer: wait=10' %s/jobs/run-1\n", base)
	fmt.Fprintf(out, "  go run ./cmd/rwctl status -operators %s\n", first.Operator)
	fmt.Fprintf(out, "Stop with Ctrl-C.\n")
}
