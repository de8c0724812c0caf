// Command rwctl is the operators' tool: it validates, plans and applies
// service documents, and shows and changes the state of the instances.
// docs/rwctl.md describes the commands, settings and exit codes.
package main

import (
	"context"
	"flag"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"redwingvale/internal/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	e := newEnvironment(os.Stdout, os.Stderr)
	status := run(ctx, e, os.Args[1:])
	stop()
	os.Exit(status)
}

// environment holds the input, output, clocks and clients of the commands, so
// that tests can replace them.
type environment struct {
	stdout, stderr io.Writer
	client         *http.Client
	// openLog returns the log service at a base URL.
	openLog func(baseURL string, client *http.Client) (platform.Log, error)
	// now reads a monotonic clock; wall reads the wall clock, for the audit
	// trail.
	now  func() time.Duration
	wall func() time.Time
	// pause waits for a duration or until ctx ends.
	pause func(ctx context.Context, d time.Duration)
	// limit returns a context with a timeout.
	limit func(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc)
	// newID returns a new apply id.
	newID func() string
}

// command is one subcommand with its settings.
type command struct {
	*environment
	settings settings
	flags    *flag.FlagSet
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, e *environment, args []string) int {
	root := rootCommand(e)
	if err := root.Parse(args); err != nil {
		return report(e, asUsageError(err))
	}
	return report(e, root.Run(ctx))
}

// rootCommand returns the tree of all commands.
func rootCommand(e *environment) *ffcli.Command {
	return &ffcli.Command{
		Name:       "rwctl",
		ShortUsage: "rwctl <command> [flags] [arguments]",
		ShortHelp:  "operate redwingvale",
		FlagSet:    newFlagSet(e, "rwctl"),
		Exec: func(context.Context, []string) error {
			return usageError("name a command; rwctl -h lists them")
		},
		Subcommands: []*ffcli.Command{
			validateCommand(e), planCommand(e), applyCommand(e), statusCommand(e), explainCommand(e),
			auditCommand(e), alarmsCommand(e), drainCommand(e), evacuationsCommand(e), membersCommand(e), restoreCommand(e),
		},
	}
}

func newFlagSet(e *environment, name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(e.stderr)
	return flags
}

// asUsageError gives the flag parser's errors the exit code for wrong usage. A
// request for help is returned unchanged.
func asUsageError(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	return &exitError{status: exitUsage, err: err}
}
