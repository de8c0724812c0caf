package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// validateCommand checks documents. It needs no connection.
func validateCommand(e *environment) *ffcli.Command {
	c := newCommand(e, "validate")
	return c.build("FILE|DIRECTORY...", "check documents; needs no connection", func(_ context.Context, args []string) error {
		files, err := readFiles(args)
		if err != nil {
			return err
		}
		if err := c.rejectInvalid(files); err != nil {
			return err
		}
		if c.settings.json {
			return c.printJSON(map[string]any{"valid": true, "files": withEmptyProblems(files)})
		}
		c.line("%d documents are valid", len(files))
		return nil
	})
}
