package node

import (
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/telemetry"
)

// electing returns an instance whose loop does not run, with members of the
// given strengths; the first one leads.
func electing(t *testing.T, self string, strengths map[string]int, started map[string]int64) *Node {
	t.Helper()
	config := DefaultConfig()
	config.Instance = self
	tele := telemetry.New("rwnode", self, io.Discard)
	t.Cleanup(tele.Close)
	n := New(config, Deps{}, tele)
	for name, strength := range strengths {
		n.members[name] = member{Peer: name, Strength: strength, StartedMS: started[name]}
	}
	n.claim = claim{Epoch: 3, Instance: "leader"}
	n.heard = heard{epoch: 3, logAvailable: true}
	return n
}

// Guards against a weak instance that takes the lead of a large deployment: it
// cannot bear the leader's work, and the next election follows.
func TestStrongestStandsFirst(t *testing.T) {
	c := qt.New(t)
	strengths := map[string]int{"leader": 800, "weak-1": 110, "weak-2": 110, "strong-1": 800, "strong-2": 800}
	started := map[string]int64{"strong-2": 7, "weak-1": 100}
	n := electing(t, "weak-1", strengths, started)
	var order []string
	for _, m := range n.candidates("leader") {
		order = append(order, m.name)
	}
	c.Assert(order, qt.DeepEquals, []string{"strong-2", "strong-1", "weak-1", "weak-2"})
	for _, test := range []struct {
		self   string
		silent int64
		due    bool
	}{
		{"strong-2", 650, false},
		{"strong-2", 750, true},
		{"weak-1", 750, false},
		{"weak-1", 1000, true},
	} {
		n := electing(t, test.self, strengths, started)
		n.heard.atMS = n.now().MS - test.silent
		c.Check(n.electionDue().now, qt.Equals, test.due, qt.Commentf("%+v", test))
	}
}

// Guards against a stampede of all members when the leader is cut off from
// the log, and against distant members that miss its rarer heartbeats.
func TestMembersStandOneAfterTheOther(t *testing.T) {
	c := qt.New(t)
	strengths, started := map[string]int{"leader": 800}, map[string]int64{}
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	for i, name := range names {
		strengths[name], started[name] = 110, int64(100-i)
	}
	due := func(self string, cutOffMS, silentMS int64) bool {
		n := electing(t, self, strengths, started)
		now := n.now().MS
		n.heard.atMS, n.heard.logAvailable = now-silentMS, cutOffMS == 0
		if cutOffMS > 0 {
			n.heard.askedMS = now - cutOffMS
		}
		n.logReadMS.Store(now)
		return n.electionDue().now
	}
	count := func(cutOffMS, silentMS int64) (out int) {
		for _, name := range names {
			if due(name, cutOffMS, silentMS) {
				out++
			}
		}
		return out
	}
	c.Assert(count(50, 100), qt.Equals, 1)
	c.Assert(count(300, 100), qt.Equals, 3)
	// Distant members hear the leader once a second.
	c.Assert(due("i", 0, 1500), qt.IsFalse)
	c.Assert(due("i", 0, 6000), qt.IsTrue)
	n := electing(t, "i", strengths, started)
	c.Assert(n.electionDue().others, qt.HasLen, standbys)
}

// Guards against a stampede when the log is back after an outage for all: the
// leader, whose last word is older, needs no successor, and the first instance
// that the log serves may be the weakest.
func TestNobodyStandsWhenTheLogIsJustBack(t *testing.T) {
	c := qt.New(t)
	strengths := map[string]int{"leader": 800, "strong": 800, "weak": 110}
	due := func(self string, backMS int64) bool {
		n := electing(t, self, strengths, nil)
		now := n.now().MS
		n.heard.atMS, n.heard.logAvailable, n.heard.askedMS = now-100, false, now-4000
		n.logReadMS.Store(now)
		n.logSinceMS.Store(now - backMS)
		return n.electionDue().now
	}
	// An append that the leader sent just before the log was back is given up
	// after appendTimeout, repeated after retryPause, and told by a heartbeat.
	repeated := (appendTimeout + retryPause + heartbeatInterval).Milliseconds()
	for _, self := range []string{"strong", "weak"} {
		c.Check(due(self, 50), qt.IsFalse)
		c.Check(due(self, repeated), qt.IsFalse)
	}
	// The leader is cut off: the strongest goes first.
	c.Check(due("strong", logBackAfter.Milliseconds()+50), qt.IsTrue)
	c.Check(due("weak", logBackAfter.Milliseconds()+50), qt.IsFalse)
	c.Check(due("weak", logBackAfter.Milliseconds()+300), qt.IsTrue)
}

// Guards against claims that follow one another after a restart of all
// instances: a claimant that still reads the workers' entries is not silent,
// and once it is, the members still stand one after the other.
func TestClaimantGetsTimeToBeginItsTerm(t *testing.T) {
	c := qt.New(t)
	strengths := map[string]int{"leader": 800, "strong": 800, "weak": 110}
	for _, test := range []struct {
		self   string
		readMS int64
		heard  uint64
		due    bool
	}{
		{"strong", 1000, 3, false},
		{"strong", 2900, 3, false},
		{"strong", 3050, 3, true},
		{"weak", 3050, 3, false},
		{"weak", 3300, 3, true},
		// The claimant has led and fallen silent.
		{"strong", 1000, 4, true},
		// The claim was in the log before this instance started.
		{"strong", 0, 3, true},
	} {
		n := electing(t, test.self, strengths, nil)
		now := n.now().MS
		n.claim.Epoch, n.heard.epoch, n.heard.atMS = 4, test.heard, now-4000
		if test.readMS > 0 {
			n.claimReadMS = now - test.readMS
		}
		c.Check(n.electionDue().now, qt.Equals, test.due, qt.Commentf("%+v", test))
	}
}
