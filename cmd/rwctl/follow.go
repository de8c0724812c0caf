package main

import (
	"context"
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/config"
	"redwingvale/internal/platform"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

const (
	// recordsPerRead bounds the number of records in one read.
	recordsPerRead = 200
	// retryPause is the delay after a failed read.
	retryPause = 200 * time.Millisecond
)

// follower replays the config stream into a config.Core.
type follower struct {
	*environment
	log  platform.Log
	core *config.Core
}

func newFollower(e *environment, log platform.Log) *follower {
	return &follower{environment: e, log: log, core: config.NewCore(config.Options{})}
}

// read makes one read that waits up to wait for a record. It returns the effects
// and whether the read reached the tail of the stream.
func (f *follower) read(ctx context.Context, wait time.Duration) ([]config.Effect, bool, error) {
	sent := f.now()
	result, err := f.log.Read(ctx, platform.ConfigStream, f.core.Next(), recordsPerRead, wait)
	if err != nil {
		return nil, false, err
	}
	return f.core.Step(f.now(), config.ReadEvent{Result: result, Sent: sent}), result.AtTail, nil
}

// readAll reads the stream up to its tail.
func (f *follower) readAll(ctx context.Context) error {
	for {
		_, atTail, err := f.read(ctx, 0)
		if err != nil {
			return code.New(code.LogUnavailable, "the configuration cannot be read: %s", err.Error())
		}
		if atTail {
			return nil
		}
	}
}

// readComplete reads the stream up to its tail and fails when the configuration
// is incomplete, that is, when expired records are not covered by a snapshot.
func (f *follower) readComplete(ctx context.Context) error {
	if err := f.readAll(ctx); err != nil {
		return err
	}
	if !f.core.Whole() {
		return code.New(code.LogUnavailable, "older changes have expired and no snapshot repeats them; try again in a minute, then see docs/operations/log-outage.md")
	}
	return nil
}

// stateOfFiles builds a configuration from the documents in a directory.
func stateOfFiles(directory string) (*config.State, error) {
	files, err := readFiles([]string{directory})
	if err != nil {
		return nil, err
	}
	state := config.NewState()
	for i, f := range files {
		if f.doc == nil {
			return nil, code.New(code.BadDocument, "%s: %s", f.Path, f.Problems.Error())
		}
		apply := &recordv1.Apply{
			ApplyId: "file", Team: f.doc.Team, Service: f.doc.Service, Document: f.text, Author: "file",
		}
		if v := state.Apply(int64(i), apply, 0); v.Err != nil {
			return nil, v.Err
		}
	}
	return state, nil
}
