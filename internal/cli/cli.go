// Package cli provides the command line that all daemons share: the subcommands
// run, check and version, with help, environment variables and a TOML settings
// file.
package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"redwingvale/internal/code"
	"redwingvale/internal/settings"
)

// EnvPrefix is the prefix of the names of environment variables.
const EnvPrefix = "REDWINGVALE"

// Exit statuses of the programs.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitSettings = 3
)

// Version is the release version of the programs.
const Version = "0.1.0"

// Daemon describes a long-running program with settings of type T.
type Daemon[T any] struct {
	// Name is the program name.
	Name string
	// Help describes in one sentence what the program does.
	Help string
	// Defaults returns the settings that apply unless the file overrides them.
	Defaults func() T
	// Run runs the program until ctx is done. SIGTERM and SIGINT cancel ctx.
	Run func(ctx context.Context, config T) error
}

// Main runs the daemon with the arguments of the process and returns the exit
// status.
func (d Daemon[T]) Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return d.Execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// Execute runs the daemon with the given arguments and returns the exit status.
func (d Daemon[T]) Execute(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := d.rootCommand(out, errOut)
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	return exitStatus(root.Run(ctx), errOut)
}

func exitStatus(err error, errOut io.Writer) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		return ExitUsage
	case code.Of(err) == code.BadSettings:
		fmt.Fprintln(errOut, err)
		return ExitSettings
	default:
		fmt.Fprintln(errOut, err)
		return ExitFailure
	}
}

func (d Daemon[T]) rootCommand(out, errOut io.Writer) *ffcli.Command {
	run := d.subcommand("run", "run the program until SIGTERM", errOut, func(ctx context.Context, config T) error {
		return d.Run(ctx, config)
	})
	check := d.subcommand("check", "check the settings file and exit", errOut, func(context.Context, T) error {
		fmt.Fprintln(out, "settings are valid")
		return nil
	})
	version := &ffcli.Command{
		Name:       "version",
		ShortUsage: d.Name + " version",
		ShortHelp:  "print the version",
		Exec: func(context.Context, []string) error {
			fmt.Fprintln(out, d.Name, Version, goVersion())
			return nil
		},
	}
	flags := flag.NewFlagSet(d.Name, flag.ContinueOnError)
	flags.SetOutput(errOut)
	return &ffcli.Command{
		Name:        d.Name,
		ShortUsage:  d.Name + " <run|check|version> [flags]",
		LongHelp:    d.Help,
		FlagSet:     flags,
		Subcommands: []*ffcli.Command{run, check, version},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func (d Daemon[T]) subcommand(name, help string, errOut io.Writer, exec func(context.Context, T) error) *ffcli.Command {
	flags := flag.NewFlagSet(d.Name+" "+name, flag.ContinueOnError)
	flags.SetOutput(errOut)
	path := flags.String("config", "", "path of the TOML settings file")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: d.Name + " " + name + " -config FILE",
		ShortHelp:  help,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(EnvPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			config, err := d.load(*path)
			if err != nil {
				return err
			}
			return exec(ctx, config)
		},
	}
}

func (d Daemon[T]) load(path string) (T, error) {
	config := d.Defaults()
	if path == "" {
		return config, code.New(code.BadSettings, "no settings file: give -config FILE or set %s_CONFIG", EnvPrefix)
	}
	err := settings.Load(path, &config)
	return config, err
}

func goVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.GoVersion
}
