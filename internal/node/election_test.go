package node

import (
	"fmt"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/telemetry"
)

// newElectionNode returns an instance whose event loop does not run, with members
// of the given capacities. The member "leader" leads.
func newElectionNode(t *testing.T, self string, milliCPU map[string]int, started map[string]int64) *Node {
	t.Helper()
	config := DefaultConfig()
	config.Instance = self
	tele := telemetry.New("rwnode", self, io.Discard)
	t.Cleanup(tele.Close)
	n := New(config, Deps{}, tele)
	for name, share := range milliCPU {
		n.members[name] = member{Peer: name, MilliCPU: share, StartedMS: started[name]}
	}
	n.claim = claim{Epoch: 3, Instance: "leader"}
	n.lastHeartbeat = heartbeatState{epoch: 3, logAvailable: true}
	return n
}

// Guards against an instance with little capacity that becomes the leader of a
// large deployment: it cannot handle the leader's load, and the next election
// follows.
func TestStrongestMemberClaimsFirst(t *testing.T) {
	c := qt.New(t)
	milliCPU := map[string]int{"leader": 800, "weak-1": 110, "weak-2": 110, "strong-1": 800, "strong-2": 800}
	started := map[string]int64{"strong-2": 7, "weak-1": 100}
	n := newElectionNode(t, "weak-1", milliCPU, started)
	var order []string
	for _, m := range n.candidates("leader") {
		order = append(order, m.name)
	}
	c.Assert(order, qt.DeepEquals, []string{"strong-2", "strong-1", "weak-1", "weak-2"})
	for _, test := range []struct {
		self     string
		silentMS int64
		due      bool
	}{
		{"strong-2", 650, false},
		{"strong-2", 750, true},
		{"weak-1", 750, false},
		{"weak-1", 1000, true},
	} {
		n := newElectionNode(t, test.self, milliCPU, started)
		n.lastHeartbeat.receivedMS = n.now().MS - test.silentMS
		c.Check(n.evaluateElection().due, qt.Equals, test.due, qt.Commentf("%+v", test))
	}
}

// Guards against simultaneous claims by all members when the leader is cut off
// from the log, and against claims by members other than the standbys between
// their less frequent heartbeats.
func TestClaimsAreStaggered(t *testing.T) {
	c := qt.New(t)
	milliCPU, started := map[string]int{"leader": 800}, map[string]int64{}
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	for i, name := range names {
		milliCPU[name], started[name] = 110, int64(100-i)
	}
	due := func(self string, cutOffMS, silentMS int64) bool {
		n := newElectionNode(t, self, milliCPU, started)
		now := n.now().MS
		n.lastHeartbeat.receivedMS, n.lastHeartbeat.logAvailable = now-silentMS, cutOffMS == 0
		if cutOffMS > 0 {
			n.lastHeartbeat.replaceableSinceMS = now - cutOffMS
		}
		n.lastLogReadMS.Store(now)
		n.logResponsiveSinceMS.Store(now - 60_000)
		return n.evaluateElection().due
	}
	count := func(cutOffMS, silentMS int64) (total int) {
		for _, name := range names {
			if due(name, cutOffMS, silentMS) {
				total++
			}
		}
		return total
	}
	c.Assert(count(50, 100), qt.Equals, 1)
	c.Assert(count(300, 100), qt.Equals, 3)
	// Members other than the standbys get a heartbeat once a second.
	c.Assert(due("i", 0, 1500), qt.IsFalse)
	c.Assert(due("i", 0, 6000), qt.IsTrue)
	n := newElectionNode(t, "i", milliCPU, started)
	c.Assert(n.evaluateElection().confirmPeers, qt.HasLen, standbyCount)
}

// Guards against claims when the log has just recovered from an outage for all
// instances: the leader's last heartbeat was sent before the recovery, so it
// needs no successor, and the first instance that the log serves may have the
// least capacity.
func TestNoClaimRightAfterLogOutage(t *testing.T) {
	c := qt.New(t)
	milliCPU := map[string]int{"leader": 800, "strong": 800, "weak": 110}
	due := func(self string, recoveredMS int64) bool {
		n := newElectionNode(t, self, milliCPU, nil)
		now := n.now().MS
		n.lastHeartbeat.receivedMS, n.lastHeartbeat.logAvailable, n.lastHeartbeat.replaceableSinceMS = now-100, false, now-4000
		n.lastLogReadMS.Store(now)
		n.logResponsiveSinceMS.Store(now - recoveredMS)
		return n.evaluateElection().due
	}
	// An append that the leader sent just before the log recovered times out
	// after longestAppendTimeout, is retried after retryPause, and its success is
	// reported by the next heartbeat.
	retried := (longestAppendTimeout + retryPause + heartbeatInterval).Milliseconds()
	for _, self := range []string{"strong", "weak"} {
		c.Check(due(self, 50), qt.IsFalse)
		c.Check(due(self, retried), qt.IsFalse)
	}
	// The leader is cut off: the member with the most capacity claims first.
	c.Check(due("strong", logRecoveryDelay.Milliseconds()+50), qt.IsTrue)
	c.Check(due("weak", logRecoveryDelay.Milliseconds()+50), qt.IsFalse)
	c.Check(due("weak", logRecoveryDelay.Milliseconds()+300), qt.IsTrue)
}

// Guards against claims of all members at once when a log that was slow for all, and
// failed no read, serves again: the leader has reported for long that its append is
// late, and each member counts its turn from the first fast read.
func TestClaimsAreStaggeredAfterSlowLog(t *testing.T) {
	c := qt.New(t)
	milliCPU := map[string]int{"leader": 800, "first": 800, "second": 400, "third": 110}
	due := func(self string, fastMS int64) bool {
		n := newElectionNode(t, self, milliCPU, nil)
		now := n.now().MS
		n.lastHeartbeat.receivedMS, n.lastHeartbeat.logAvailable, n.lastHeartbeat.replaceableSinceMS = now-100, false, now-6000
		n.lastLogReadMS.Store(now)
		for ago := int64(30_000); ago > fastMS; ago -= 1000 {
			n.noteReadDuration(now-ago-400, now-ago)
		}
		c.Check(n.logResponsive(), qt.IsFalse)
		for ago := fastMS; ago > 0; ago -= 500 {
			n.noteReadDuration(now-ago-10, now-ago)
		}
		c.Check(n.logResponsive(), qt.IsTrue)
		return n.evaluateElection().due
	}
	for i, self := range []string{"first", "second", "third"} {
		turn := milliseconds(logRecoveryDelay) + int64(i)*milliseconds(electionStagger)
		c.Check(due(self, turn-60), qt.IsFalse, qt.Commentf("%s", self))
		c.Check(due(self, turn+60), qt.IsTrue, qt.Commentf("%s", self))
	}
}

// Guards against a succession of claims after a restart of all instances: a
// claimant that is still reading the workers' entries has not failed. Once its
// grace period is over, the claims of the other members are still staggered.
func TestClaimGracePeriod(t *testing.T) {
	c := qt.New(t)
	milliCPU := map[string]int{"leader": 800, "strong": 800, "weak": 110}
	for _, test := range []struct {
		self           string
		readMS         int64
		heartbeatEpoch uint64
		due            bool
	}{
		{"strong", 1000, 3, false},
		{"strong", 2900, 3, false},
		{"strong", 3050, 3, true},
		{"weak", 3050, 3, false},
		{"weak", 3300, 3, true},
		// The claimant has sent heartbeats and then stopped.
		{"strong", 1000, 4, true},
		// The claim was in the log before this instance started.
		{"strong", 0, 3, true},
	} {
		n := newElectionNode(t, test.self, milliCPU, nil)
		now := n.now().MS
		n.claim.Epoch, n.lastHeartbeat.epoch, n.lastHeartbeat.receivedMS = 4, test.heartbeatEpoch, now-4000
		if test.readMS > 0 {
			n.claimReadMS = now - test.readMS
		}
		c.Check(n.evaluateElection().due, qt.Equals, test.due, qt.Commentf("%+v", test))
	}
}

// Guards against a weak member that deposes the leader as soon as it has reached
// the log: after a loss of power on the large site the weak instances took seven
// seconds to read the log, longer than their election timeout, and one claimed
// leadership right after the strongest member had settled.
func TestNoClaimRightAfterCatchUp(t *testing.T) {
	c := qt.New(t)
	milliCPU := map[string]int{"leader": 800, "weak": 110}
	for i := range standbyCount {
		milliCPU[fmt.Sprint("strong-", i)] = 800
	}
	for _, test := range []struct {
		self       string
		caughtUpMS int64
		due        bool
	}{
		{"weak", 100, false},
		{"weak", 5000, true},
		// A standby claims as soon as it can.
		{"strong-1", 100, true},
	} {
		n := newElectionNode(t, test.self, milliCPU, nil)
		n.lastHeartbeat.receivedMS = n.now().MS - 8000
		n.caughtUpMS = n.now().MS - test.caughtUpMS
		c.Check(n.evaluateElection().due, qt.Equals, test.due, qt.Commentf("%+v", test))
	}
}
