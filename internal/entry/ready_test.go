package entry

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a load balancer that routes callers to an entry that does not
// know the services yet.
func TestEntryIsNotReadyBeforeTheServicesAreKnown(t *testing.T) {
	c := qt.New(t)
	cl := newTestCluster(t, 1)
	e := cl.startEntry("a", nil)
	view := cl.view()
	view.Version += 1000
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	watcher := newViewWatcher(e.Entry)
	view.ServicesKnown = false
	watcher.apply(ctx, "", view)
	c.Assert(watcher.active(), qt.IsFalse)
	view.ServicesKnown = true
	watcher.apply(ctx, "", view)
	c.Assert(watcher.active(), qt.IsTrue)
	// A view from an rwsched that has just started does not reset the readiness.
	view.ServicesKnown = false
	watcher.apply(ctx, "", view)
	c.Assert(watcher.active(), qt.IsTrue)
}
