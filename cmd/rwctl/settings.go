package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"redwingvale/internal/code"
	"redwingvale/internal/platform"
	"redwingvale/internal/spec"
)

const (
	envPrefix      = "REDWINGVALE"
	defaultTimeout = 30 * time.Second
	maxTimeout     = time.Hour
)

// settings holds the flags that every command has, apart from -config. A
// settings file may set all of them.
type settings struct {
	logURL    string
	operators string
	author    string
	timeout   time.Duration
	json      bool
}

// fileKeys are the keys of a settings file.
var fileKeys = []string{"author", "json", "log_url", "operators", "timeout"}

func (s *settings) register(flags *flag.FlagSet) {
	flags.StringVar(&s.logURL, "log-url", "", "base URL of the log service")
	flags.StringVar(&s.operators, "operators", "", "operator addresses of the instances, host:port, separated by commas")
	flags.StringVar(&s.author, "author", "", "who makes the change, for the audit trail")
	flags.DurationVar(&s.timeout, "timeout", defaultTimeout, "longest time that the command may take")
	flags.BoolVar(&s.json, "json", false, "print JSON instead of a table")
}

// newCommand returns a command with the common flags.
func newCommand(e *environment, name string) *command {
	c := &command{environment: e, flags: newFlagSet(e, name)}
	c.settings.register(c.flags)
	c.flags.String("config", "", "TOML settings file")
	return c
}

// build converts a command to an ffcli.Command. The context of exec ends after
// the timeout.
func (c *command) build(usage, help string, exec func(ctx context.Context, args []string) error) *ffcli.Command {
	name := c.flags.Name()
	return &ffcli.Command{
		Name:       name[strings.LastIndex(name, " ")+1:],
		ShortUsage: "rwctl " + name + " [flags] " + usage,
		ShortHelp:  help,
		FlagSet:    c.flags,
		Options: []ff.Option{
			ff.WithEnvVarPrefix(envPrefix),
			ff.WithConfigFileFlag("config"),
			ff.WithConfigFileParser(parseSettings),
		},
		Exec: func(ctx context.Context, args []string) error {
			if c.settings.timeout <= 0 || c.settings.timeout > maxTimeout {
				return usageError("-timeout %s: use more than 0 and at most %s", c.settings.timeout, maxTimeout)
			}
			bounded, cancel := c.limit(ctx, c.settings.timeout)
			defer cancel()
			return exec(bounded, args)
		},
	}
}

// parseSettings parses a settings file for ff and rejects unknown keys.
func parseSettings(r io.Reader, set func(name, value string) error) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	values := map[string]any{}
	if err := toml.Unmarshal(data, &values); err != nil {
		return code.New(code.BadSettings, "%s", err.Error())
	}
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		if sort.SearchStrings(fileKeys, key) == len(fileKeys) || fileKeys[sort.SearchStrings(fileKeys, key)] != key {
			return code.New(code.BadSettings, "unknown key %s; the keys are %s", key, strings.Join(fileKeys, ", "))
		}
		if err := set(strings.ReplaceAll(key, "_", "-"), settingText(values[key])); err != nil {
			return code.New(code.BadSettings, "%s: %s", key, err.Error())
		}
	}
	return nil
}

// settingText formats a value for its flag.
func settingText(value any) string {
	list, ok := value.([]any)
	if !ok {
		return fmt.Sprint(value)
	}
	parts := make([]string, 0, len(list))
	for _, entry := range list {
		parts = append(parts, fmt.Sprint(entry))
	}
	return strings.Join(parts, ",")
}

// log returns a client of the log service, or a usage error if its address is not
// set.
func (c *command) log() (platform.Log, error) {
	if c.settings.logURL == "" {
		return nil, usageError("set -log-url, log_url or %s_LOG_URL to the address of the log service", envPrefix)
	}
	return c.openLog(c.settings.logURL, c.client)
}

// addresses returns the operator addresses from the settings.
func (c *command) addresses() ([]string, error) {
	var out []string
	for _, address := range strings.Split(c.settings.operators, ",") {
		if address = strings.TrimSpace(address); address != "" {
			out = append(out, address)
		}
	}
	if len(out) == 0 {
		return nil, usageError("set -operators, operators or %s_OPERATORS to the operator addresses of the instances", envPrefix)
	}
	return out, nil
}

// checkActor checks that the author and the reason of a change are given.
func (c *command) checkActor(reason string) error {
	if !spec.ValidID(c.settings.author) {
		return usageError("-author %q: say who makes the change, with letters, digits and . _ : @ + - only", c.settings.author)
	}
	if strings.TrimSpace(reason) == "" {
		return usageError("-reason is required: it is kept in the audit trail")
	}
	return nil
}
