package main

import (
	"bytes"
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"redwingvale/internal/code"
	"redwingvale/internal/config"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// noBase is the default of -base: the change replaces the current revision.
const noBase = -1

// applied is the result of applying one file.
type applied struct {
	planned
	ApplyID  string   `json:"apply_id,omitempty"`
	Revision uint64   `json:"revision"`
	InForce  bool     `json:"in_force"`
	Lagging  []string `json:"lagging,omitempty"`
}

type applyFlags struct {
	reason  *string
	base    *int64
	applyID *string
	wait    *bool
}

// applyCommand publishes documents.
func applyCommand(e *environment) *ffcli.Command {
	c := newCommand(e, "apply")
	flags := applyFlags{
		reason:  c.flags.String("reason", "", "why the change is made, for the audit trail"),
		base:    c.flags.Int64("base", noBase, "revision that the change replaces, as rwctl plan shows it; the current one if absent"),
		applyID: c.flags.String("apply-id", "", "id of an earlier run whose outcome is not known"),
		wait:    c.flags.Bool("wait", false, "wait until the change is in force on all active instances"),
	}
	return c.build("FILE|DIRECTORY...", "make documents the configuration in force", func(ctx context.Context, args []string) error {
		files, err := c.checkApply(flags, args)
		if err != nil {
			return err
		}
		log, err := c.log()
		if err != nil {
			return err
		}
		follower := newFollower(c.environment, log)
		if err := follower.readComplete(ctx); err != nil {
			return err
		}
		var results []applied
		for _, f := range files {
			result, err := c.applyFile(ctx, follower, f, flags)
			if err == nil || code.Of(err) == code.ConfigNotInForce {
				results = append(results, result)
			}
			if err != nil {
				return c.finishApply(results, err)
			}
		}
		return c.finishApply(results, nil)
	})
}

// checkApply reads the documents and checks them and the flags, without any
// connection.
func (c *command) checkApply(flags applyFlags, args []string) ([]*file, error) {
	files, err := readFiles(args)
	if err != nil {
		return nil, err
	}
	if err := c.rejectInvalid(files); err != nil {
		return nil, err
	}
	if err := c.checkActor(*flags.reason); err != nil {
		return nil, err
	}
	if len(*flags.reason) > config.MaxReasonBytes {
		return nil, usageError("-reason has %d bytes, the limit is %d", len(*flags.reason), config.MaxReasonBytes)
	}
	singleDocument := *flags.base != noBase || *flags.applyID != ""
	if singleDocument && len(files) != 1 {
		return nil, usageError("-base and -apply-id go with one document, not with %d", len(files))
	}
	if *flags.applyID != "" && (*flags.base == noBase || !spec.ValidID(*flags.applyID)) {
		return nil, usageError("-apply-id needs an id and the -base of the earlier run")
	}
	if *flags.wait {
		_, err = c.addresses()
	}
	return files, err
}

func (c *command) applyFile(ctx context.Context, f *follower, document *file, flags applyFlags) (applied, error) {
	out := applied{planned: planFile(f.core.State(), document), Revision: f.core.State().Revision(document.key())}
	current, known := f.core.State().Get(document.key())
	if known && *flags.applyID == "" && bytes.Equal(current.Text, document.text) {
		return c.reportUnchanged(ctx, f, out, *flags.wait)
	}
	if *flags.base != noBase {
		out.Base = uint64(*flags.base)
	}
	out.ApplyID = *flags.applyID
	if out.ApplyID == "" {
		out.ApplyID = c.newID()
	}
	outcome, err := c.publishFile(ctx, f, document, out, *flags.reason)
	if err != nil {
		return out, err
	}
	out.Revision = outcome.Revision
	if !*flags.wait {
		return out, nil
	}
	out.Lagging, err = c.awaitInForce(ctx, outcome.Offset)
	out.InForce = err == nil
	return out, err
}

// reportUnchanged returns the result for a document that is already in the log.
// With wait it waits until that document is in force.
func (c *command) reportUnchanged(ctx context.Context, f *follower, out applied, wait bool) (applied, error) {
	if !wait {
		return out, nil
	}
	var err error
	out.Lagging, err = c.awaitInForce(ctx, f.core.InForceOffset())
	out.InForce = err == nil
	return out, err
}

// publishFile publishes a document unless the same apply id already has an
// outcome. It returns the outcome of an accepted change, or the error.
func (c *command) publishFile(ctx context.Context, f *follower, document *file, plan applied, reason string) (config.Outcome, error) {
	apply := &recordv1.Apply{
		ApplyId:      plan.ApplyID,
		Team:         document.doc.Team,
		Service:      document.doc.Service,
		BaseRevision: plan.Base,
		Document:     document.text,
		Author:       c.settings.author,
		Reason:       reason,
	}
	outcome, known := f.recordedOutcome(apply)
	if !known {
		var err error
		outcome, err = f.publish(ctx, apply, c.wall().UnixMilli())
		if err != nil {
			return outcome, err
		}
	}
	if outcome.Err != nil {
		return outcome, outcome.Err
	}
	current, _ := f.core.State().Get(outcome.Key)
	if current.Revision == outcome.Revision && !bytes.Equal(current.Text, document.text) {
		return outcome, usageError("apply id %s was accepted as revision %d with another document", plan.ApplyID, outcome.Revision)
	}
	return outcome, nil
}

// finishApply prints the results, including those obtained before an error, and
// returns that error.
func (c *command) finishApply(results []applied, failed error) error {
	if c.settings.json {
		if results == nil {
			results = []applied{}
		}
		if err := c.printJSON(results); err != nil {
			return err
		}
		return failed
	}
	for _, r := range results {
		c.showApplied(r)
	}
	return failed
}

func (c *command) showApplied(r applied) {
	c.showPlan(r.planned)
	if r.ApplyID == "" {
		c.line("%s: the document is revision %d already", r.Service, r.Revision)
	} else {
		c.line("%s: accepted as revision %d, apply id %s", r.Service, r.Revision, r.ApplyID)
	}
	if r.InForce {
		c.line("%s: in force on all active instances", r.Service)
	}
}
