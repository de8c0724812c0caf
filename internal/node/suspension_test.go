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

// Guards against commands from a leader that was suspended: an event that has
// waited in the ring must not be handled before the suspension is detected.
func TestSuspensionDetectedBeforeEvents(t *testing.T) {
	c := qt.New(t)
	tele := telemetry.New("rwnode", "a", io.Discard)
	t.Cleanup(tele.Close)
	workers := newInstantWorkers()
	n := New(DefaultConfig(), Deps{Log: newMemoryLog().forInstance("a"), Directory: workers, Workers: workers, Adviser: workers}, tele)
	// The last tick was long before the queued events are handled.
	n.lastActiveMS = n.now().MS - 10*milliseconds(suspensionThreshold)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	n.term = &term{epoch: 1, core: planner.New(n.config.plannerConfig(true), n.stateMachine, 1, n.now()), ctx: ctx, stop: stop}
	n.term.delegation = newDelegation(n, n.term)
	seen := make(chan int64, 1)
	n.post(ctx, dutyRequests, func() { seen <- n.now().MS - n.lastActiveMS })
	done := make(chan struct{})
	go func() { defer close(done); n.loop(ctx) }()
	select {
	case gap := <-seen:
		c.Check(gap < milliseconds(suspensionThreshold), qt.IsTrue, qt.Commentf("%s", fmt.Sprint("handled ", gap, " ms after the last tick")))
	case <-time.After(10 * time.Second):
		t.Error("the event was not handled")
	}
	stop()
	<-done
}

// Guards against a leader with unconfirmed leadership that is not replaced: it
// sends no commands until it has read the log, so leases expire while the log
// does not serve it.
func TestUnconfirmedLeaderIsReplaced(t *testing.T) {
	log, first, other := leaderAndFollower(t)
	// Without an outstanding write, the log has no append of the leader to refuse.
	waitFor(t, "no write is outstanding", func() bool {
		idle, err := runInLoop(context.Background(), first.Node, dutyRequests, func() bool {
			return first.term != nil && first.term.pendingSinceMS.Load() == 0
		})
		return err == nil && idle
	})
	log.setUnavailable(first.config.Instance, true)
	first.post(context.Background(), dutyMembers, func() { first.lastActiveMS -= 2 * milliseconds(suspensionThreshold) })
	waitFor(t, "the other instance leads", func() bool { return other.isLeader() && !first.isLeader() })
}
