package entry

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against callers that the balancer sends to an entry that does not know
// the services yet.
func TestEntryIsNotReadyBeforeTheServicesAreKnown(t *testing.T) {
	c := qt.New(t)
	cl := newTestCluster(t, 1)
	e := cl.startEntry("a", nil)
	view := cl.view()
	view.Version += 1000
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	fresh := newViewWatcher(e.Entry)
	view.ServicesKnown = false
	fresh.apply(ctx, "", view)
	c.Assert(fresh.active(), qt.IsFalse)
	view.ServicesKnown = true
	fresh.apply(ctx, "", view)
	c.Assert(fresh.active(), qt.IsTrue)
	// The view of an rwsched that has just started takes nothing away.
	view.ServicesKnown = false
	fresh.apply(ctx, "", view)
	c.Assert(fresh.active(), qt.IsTrue)
}
