package node

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/planner"
	"redwingvale/internal/telemetry"
)

// Guards against orders of a leader that was suspended: an event that has
// waited in the ring meanwhile must not be handled before the gap is noticed.
func TestSuspensionNoticedBeforeEvents(t *testing.T) {
	c := qt.New(t)
	tele := telemetry.New("rwnode", "a", io.Discard)
	t.Cleanup(tele.Close)
	workers := newInstantWorkers()
	n := New(DefaultConfig(), Deps{Log: newMemoryLog().of("a"), Directory: workers, Workers: workers, Adviser: workers}, tele)
	// The last tick was long before the events that wait now.
	n.tickedMS = n.now().MS - 10*milliseconds(suspendedAfter)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	n.term = &term{epoch: 1, core: planner.New(n.config.planner(true), n.book, 1, n.now()), ctx: ctx, stop: stop}
	seen := make(chan int64, 1)
	n.post(ctx, func() { seen <- n.now().MS - n.tickedMS })
	done := make(chan struct{})
	go func() { defer close(done); n.loop(ctx) }()
	select {
	case gap := <-seen:
		c.Check(gap < milliseconds(suspendedAfter), qt.IsTrue, qt.Commentf("%s", fmt.Sprint("handled ", gap, " ms after the last tick")))
	case <-time.After(10 * time.Second):
		t.Error("the event was not handled")
	}
	stop()
	<-done
}
