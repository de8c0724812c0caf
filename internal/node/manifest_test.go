package node

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
)

// failingOperators is a configuration that cannot be read at times.
type failingOperators struct {
	fixedManifest
	fails atomic.Bool
}

func (o *failingOperators) Manifest(ctx context.Context) (*Manifest, int64, error) {
	if o.fails.Load() {
		return nil, 0, errors.New("unavailable")
	}
	return o.fixedManifest.Manifest(ctx)
}

func (o *failingOperators) Await(ctx context.Context, from int64, wait time.Duration) (*Manifest, int64, error) {
	pause(ctx, wait)
	m, _, err := o.Manifest(ctx)
	return m, from, err
}

// Guards against "no such queue" on the word of a configuration that is older
// than its bound: a queue that was added meanwhile would be refused for good.
func TestStaleManifestRefusesNothing(t *testing.T) {
	c := qt.New(t)
	operators := &failingOperators{fixedManifest: fixedManifest{version: 1}}
	a := startInstance(t, "a", newMemoryLog(), operators, newInstantWorkers())
	route := func(path string) code.Code {
		_, _, got := a.Route("h", path)
		return got
	}
	await(t, "the configuration is read", func() bool { return route("/q/1") == code.OK })
	// A configuration that is read again and again stays fresh.
	for begun := time.Now(); time.Since(begun) < 2*a.config.manifestBound(); time.Sleep(10 * time.Millisecond) {
		c.Assert(route("/new/1"), qt.Equals, code.UnknownResource)
	}
	operators.fails.Store(true)
	await(t, "the configuration is too old", func() bool { return route("/new/1") == code.ConfigUnread })
	c.Assert(route("/q/1"), qt.Equals, code.OK)
	operators.fails.Store(false)
	await(t, "the configuration is read again", func() bool { return route("/new/1") == code.UnknownResource })
}
