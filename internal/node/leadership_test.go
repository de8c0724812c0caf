package node

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/planner"
)

// TestMajorityOfHeartbeats guards the evidence that replaces the log: it is as old
// as the oldest answer that a majority needs, and members that were gone before do
// not count.
func TestMajorityOfHeartbeats(t *testing.T) {
	for _, test := range []struct {
		name     string
		members  int
		answered []int64
		inactive int
		sinceMS  int64
		ok       bool
	}{
		{"one of three answers", 3, []int64{50}, 0, 50, true},
		{"nobody of three answers", 3, nil, 0, 0, false},
		{"two of seven answer", 7, []int64{50, 60}, 0, 0, false},
		{"three of seven answer", 7, []int64{50, 70, 60}, 0, 50, true},
		{"five of seven answer", 7, []int64{50, 70, 60, 90, 80}, 0, 70, true},
		{"half of six answer", 6, []int64{50, 70}, 0, 0, false},
		{"four of seven are gone", 7, []int64{50}, 4, 50, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			milliCPU := map[string]int{"leader": 100}
			for i := range test.members - 1 {
				milliCPU[fmt.Sprint("m", i)] = 100
			}
			n := newElectionNode(t, "leader", milliCPU, nil)
			leading := &term{heartbeatsAnswered: map[string]int64{}, inactive: map[string]bool{}}
			for i, sentMS := range test.answered {
				leading.heartbeatsAnswered[fmt.Sprint("m", i)] = sentMS
			}
			for i := range test.inactive {
				leading.inactive[fmt.Sprint("m", test.members-2-i)] = true
			}
			sinceMS, ok := n.majorityAnsweredSince(leading)
			c.Assert(ok, qt.Equals, test.ok)
			c.Assert(sinceMS, qt.Equals, test.sinceMS)
		})
	}
}

// leaseWorkers records the lease end that the last hold call requested.
type leaseWorkers struct {
	*instantWorkers
	leaseEndMS, holds atomic.Int64
}

func (w *leaseWorkers) Hold(ctx context.Context, h planner.Hold) (planner.Report, planner.Outcome) {
	w.leaseEndMS.Store(h.LeaseEndMS)
	w.holds.Add(1)
	return w.instantWorkers.Hold(ctx, h)
}

// TestRenewalNeedsLogOrMajority guards against a leader that goes on renewing
// leases although a successor may wait for them, and against an outage of the log
// for all instances that ends the running work.
func TestRenewalNeedsLogOrMajority(t *testing.T) {
	for _, test := range []struct {
		name         string
		followerGone bool
	}{{"log is down for all", false}, {"leader has neither log nor members", true}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			log, manifest := newMemoryLog(), &fixedManifest{version: 1}
			workers := &leaseWorkers{instantWorkers: newInstantWorkers()}
			a := startInstance(t, "a", log, manifest, workers)
			b := startInstance(t, "b", log, manifest, workers)
			waitFor(t, "both are ready", func() bool { return a.Ready() && b.Ready() && leaderOf(a, b) != nil })
			leader, follower := a, b
			if b.isLeader() {
				leader, follower = b, a
			}
			waitFor(t, "leases are renewed", func() bool { return workers.leaseEndMS.Load() > 0 })
			log.setUnavailable("a", true)
			log.setUnavailable("b", true)
			if test.followerGone {
				follower.stop()
			}
			time.Sleep(leadershipLease + leadershipLease/2)
			holds := workers.holds.Load()
			waitFor(t, "further hold calls", func() bool { return workers.holds.Load() > holds+5 })
			c.Assert(leader.isLeader(), qt.IsTrue)
			c.Assert(workers.leaseEndMS.Load() == 0, qt.Equals, test.followerGone)
		})
	}
}

// TestClaimIsAnnounced guards against a successor that begins its term before a
// majority of the members can know it, and against one that waits without limit
// after most instances were lost.
func TestClaimIsAnnounced(t *testing.T) {
	serve := func(epoch uint64) string {
		n := startLoop(t, newMemoryLog().forInstance("m"))
		_, err := runInLoop(context.Background(), n, dutyRequests, func() bool { n.claim.Epoch = epoch; return true })
		qt.New(t).Assert(err, qt.IsNil)
		server := httptest.NewServer(n.PeerHandler())
		t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	silent := func() string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.New(t).Assert(err, qt.IsNil)
		t.Cleanup(func() { listener.Close() })
		return listener.Addr().String()
	}
	for _, test := range []struct {
		name  string
		peers []string
		waits bool
		fails bool
	}{
		{"a majority acknowledges", []string{serve(3), serve(3), silent(), silent()}, false, false},
		{"most members are gone", []string{serve(3), silent(), silent(), silent()}, true, false},
		{"a member knows a newer claim", []string{serve(9), silent(), silent(), silent()}, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n := startLoop(t, newMemoryLog().forInstance("a"))
			_, err := runInLoop(context.Background(), n, dutyRequests, func() bool {
				for i, peer := range test.peers {
					n.members[fmt.Sprint("m", i)] = member{Peer: peer}
				}
				return true
			})
			c.Assert(err, qt.IsNil)
			start := time.Now()
			err = n.announceClaim(context.Background(), claim{Epoch: 4, Instance: "a"})
			c.Assert(err != nil, qt.Equals, test.fails, qt.Commentf("%v", err))
			c.Assert(time.Since(start) >= announceTimeout, qt.Equals, test.waits)
		})
	}
}

// Guards against a deposed leader that renews leases for longer than its successor
// waits for.
func TestLeadershipLeaseEndsBeforeSuccessorsWait(t *testing.T) {
	qt.New(t).Assert(milliseconds(leadershipLease) < planner.DeposedLeaderMS, qt.IsTrue)
}
