package main

import (
	"bytes"
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"redwingvale/internal/config"
	"redwingvale/internal/document"
)

// planned describes what applying one file would change.
type planned struct {
	Path    string            `json:"file"`
	Service string            `json:"service"`
	Base    uint64            `json:"base_revision"`
	Author  string            `json:"base_author,omitempty"`
	Changes []document.Change `json:"changes"`
	// TextOnly is set when the text differs but its effect is the same.
	TextOnly bool `json:"text_only"`
}

// planCommand shows what applying documents would do.
func planCommand(e *environment) *ffcli.Command {
	c := newCommand(e, "plan")
	against := c.flags.String("against", "", "compare with the documents in this directory instead of the configuration in force")
	exitCode := c.flags.Bool("exit-code", false, "exit with 8 when there are changes")
	return c.build("FILE|DIRECTORY...", "show what applying documents would change", func(ctx context.Context, args []string) error {
		files, err := readFiles(args)
		if err != nil {
			return err
		}
		if err := c.rejectInvalid(files); err != nil {
			return err
		}
		current, err := c.currentState(ctx, *against)
		if err != nil {
			return err
		}
		plans := make([]planned, 0, len(files))
		changes := 0
		for _, f := range files {
			if err := current.CheckNames(f.doc); err != nil && *against == "" {
				return err
			}
			p := planFile(current, f)
			changes += len(p.Changes)
			plans = append(plans, p)
		}
		if err := c.showPlans(plans); err != nil {
			return err
		}
		if *exitCode && changes > 0 {
			return exitWith(exitFindings)
		}
		return nil
	})
}

// currentState returns the configuration to compare with: the documents in the
// directory against, or else the configuration in force.
func (c *command) currentState(ctx context.Context, against string) (*config.State, error) {
	if against != "" {
		return stateOfFiles(against)
	}
	log, err := c.log()
	if err != nil {
		return nil, err
	}
	follower := newFollower(c.environment, log)
	if err := follower.readComplete(ctx); err != nil {
		return nil, err
	}
	return follower.core.State(), nil
}

func planFile(current *config.State, f *file) planned {
	out := planned{Path: f.Path, Service: f.key().String(), Changes: []document.Change{}}
	service, known := current.Get(f.key())
	if known {
		out.Base = service.Revision
		out.Author = service.Author
	}
	if changes := document.Effect(service.Document, f.doc); changes != nil {
		out.Changes = changes
	}
	out.TextOnly = known && len(out.Changes) == 0 && !bytes.Equal(service.Text, f.text)
	return out
}

func (c *command) showPlans(plans []planned) error {
	if c.settings.json {
		return c.printJSON(plans)
	}
	for _, p := range plans {
		c.showPlan(p)
	}
	return nil
}

func (c *command) showPlan(p planned) {
	switch {
	case p.TextOnly:
		c.line("%s: %s on revision %d: only the text differs", p.Path, p.Service, p.Base)
	case len(p.Changes) == 0:
		c.line("%s: %s on revision %d: no change", p.Path, p.Service, p.Base)
	case len(p.Changes) == 1:
		c.line("%s: %s on revision %d: 1 change", p.Path, p.Service, p.Base)
	default:
		c.line("%s: %s on revision %d: %d changes", p.Path, p.Service, p.Base, len(p.Changes))
	}
	for _, change := range p.Changes {
		c.line("  %s: %s", change.Key, change.Text)
	}
}
