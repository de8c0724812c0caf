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

// Guards against a leader in doubt that keeps the others away: it sends no
// orders until it has read the log, and leases run out when the log does not
// serve it.
func TestLeaderInDoubtIsReplaced(t *testing.T) {
	log, manifest, workers := newMemoryLog(), &fixedManifest{version: 1}, newInstantWorkers()
	a := startInstance(t, "a", log, manifest, workers)
	b := startInstance(t, "b", log, manifest, workers)
	await(t, "both are ready", func() bool { return a.Ready() && b.Ready() && leaderOf(a, b) != nil })
	first, other := a, b
	if b.leading() {
		first, other = b, a
	}
	// Nothing is to be written that the log could refuse.
	await(t, "no write is outstanding", func() bool {
		idle, err := ask(context.Background(), first.Node, func() bool {
			return first.term != nil && first.term.pendingMS.Load() == 0
		})
		return err == nil && idle
	})
	log.refuse(first.config.Instance, true)
	first.post(context.Background(), func() { first.tickedMS -= 2 * milliseconds(suspendedAfter) })
	await(t, "the other instance leads", func() bool { return other.leading() && !first.leading() })
}
