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
	w := newWorld(t, 1)
	e := w.startEntry("a", nil)
	view := w.view()
	view.Version += 1000
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	fresh := newViewKeeper(e.Entry)
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
