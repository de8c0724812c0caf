package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/proto"

	"redwingvale/internal/code"
	"redwingvale/internal/config"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// restoreCommand writes the configuration from documents when the log has lost
// it.
func restoreCommand(e *environment) *ffcli.Command {
	c := newCommand(e, "restore")
	reason := c.flags.String("reason", "", "why the configuration is restored, for the audit trail")
	return c.build("FILE|DIRECTORY...", "write the configuration anew after the log has lost it", func(ctx context.Context, args []string) error {
		files, err := readFiles(args)
		if err != nil {
			return err
		}
		if err := c.rejectInvalid(files); err != nil {
			return err
		}
		if err := c.checkActor(*reason); err != nil {
			return err
		}
		log, err := c.log()
		if err != nil {
			return err
		}
		return c.restore(ctx, newFollower(c.environment, log), files, *reason)
	})
}

func (c *command) restore(ctx context.Context, f *follower, files []*file, reason string) error {
	if err := f.readAll(ctx); err != nil {
		return err
	}
	if f.core.Whole() {
		return code.New(code.ConfigConflict, "the configuration is not lost: %d services are known; use rwctl apply", f.core.State().Len())
	}
	if err := c.checkLost(ctx, f); err != nil {
		return err
	}
	id := c.newID()
	records, err := c.restoreRecords(f, files, id, reason)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		f.appendAll(ctx, records)
		if f.awaitComplete(ctx) {
			return c.finishRestore(f, files, id)
		}
	}
	return code.New(code.ConfigUnsure, "the snapshot was not read back in time; run the same command again")
}

// checkLost fails while any instance still has the complete configuration. That
// instance would ignore the restored documents, and the instances would then
// have different documents in force.
func (c *command) checkLost(ctx context.Context, f *follower) error {
	instances, err := c.instanceConfigs(ctx)
	if err != nil {
		return withUnreachableStatus(err)
	}
	for _, name := range sortedNames(instances) {
		if instances[name] >= f.core.Gap()-1 {
			return code.New(code.ConfigConflict, "instance %s has the whole configuration in force and will repeat it; wait for that", name)
		}
	}
	return nil
}

// restoreRecords encodes a snapshot that covers the stream up to its tail.
func (c *command) restoreRecords(f *follower, files []*file, id, reason string) ([][]byte, error) {
	applies := make([]*recordv1.Apply, 0, len(files))
	for _, file := range files {
		applies = append(applies, &recordv1.Apply{
			ApplyId: id, Team: file.doc.Team, Service: file.doc.Service, Document: file.text, Author: c.settings.author,
		})
	}
	var out [][]byte
	for i, record := range config.Restore(applies, f.core.Next()-1, c.wall()) {
		data, err := proto.Marshal(&recordv1.Envelope{
			Instance: "rwctl:" + id, Incarnation: 1, Sequence: uint64(i + 1), UnixMs: c.wall().UnixMilli(),
			Actor: c.settings.author, Why: reason, Body: &recordv1.Envelope_Config{Config: record},
		})
		if err != nil {
			return nil, err
		}
		out = append(out, data)
	}
	return out, nil
}

// finishRestore checks that the snapshot in effect is the one that this command
// wrote.
func (c *command) finishRestore(f *follower, files []*file, id string) error {
	for _, file := range files {
		service, _ := f.core.State().Get(file.key())
		if service.ApplyID != id {
			return code.New(code.ConfigConflict, "another snapshot was written first; compare with rwctl plan")
		}
	}
	if c.settings.json {
		return c.printJSON(map[string]any{"restored": len(files), "apply_id": id})
	}
	c.line("%d documents are restored, apply id %s", len(files), id)
	return nil
}

// awaitComplete reads until a snapshot has closed the gap or a retry is due.
func (f *follower) awaitComplete(ctx context.Context) bool {
	until := f.now() + appendRetryInterval
	for ctx.Err() == nil && !f.core.Whole() && f.now() < until {
		if _, _, err := f.read(ctx, readWait); err != nil {
			f.pause(ctx, retryPause)
		}
	}
	return f.core.Whole()
}
