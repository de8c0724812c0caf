package dedupe

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
	"redwingvale/internal/spec"
)

// TestHandOverToUnlistedMember guards against a key that runs twice: the stopping
// home hands it over to an instance that has just joined, while another one, which
// does not list that instance yet, would be the next home by its own list.
//
// The events: e0 joins, e3 lists it, e3 lets the key proceed and hands over, e2
// accepts the hand-over, a second request reaches e2.
func TestHandOverToUnlistedMember(t *testing.T) {
	for _, ignored := range []bool{false, true} {
		t.Run(fmt.Sprint("recipients ignored: ", ignored), func(t *testing.T) {
			c := qt.New(t)
			member := func(n int) Member {
				return Member{Instance: spec.InstanceID(fmt.Sprintf("e%d", n)), Incarnation: spec.Incarnation(n + 1)}
			}
			old := []Member{member(1), member(2), member(3), member(4)}
			joined := append([]Member{member(0)}, old...)
			start, now := time.Duration(0), 10*time.Minute
			newCore := func(n int) *Core {
				core := New(Settings{Self: member(n), StartedAt: start, Retention: 5 * time.Minute, TakeoverWindow: time.Minute, MaxClockSkew: 5 * time.Second, MaxKeys: 10, MaxBytes: 1 << 10, MaxAnswer: 1 << 10, MaxWaiters: 8, ClockRatePPM: 0})
				core.mutations.ignoreRecipients = ignored
				core.SetMembers(start, epoch, old)
				return core
			}
			// A key whose home was e3, is e0 with it, and e2 without either.
			var key Key
			for i := 0; ; i++ {
				key = Key{"t", "s", fmt.Sprint("key-", i)}
				if homeOf(key, old) == "e3" && homeOf(key, joined) == "e3" && homeOf(key, joined, "e3") == "e0" && homeOf(key, old, "e3") == "e2" {
					break
				}
			}
			e2, e3 := newCore(2), newCore(3)
			e3.SetMembers(now, epoch.Add(now), joined)
			request := Request{Key: key, Hash: 1, Limit: 10 * time.Second, Executor: Executor{"e3", 4, 1}, Waiter: 1}
			effects := e3.Register(now, epoch.Add(now), request)
			c.Assert(effects, qt.HasLen, 1)
			c.Assert(effects[0].Reply.Kind, qt.Equals, Proceed)
			recipients := e3.otherMembers()
			records, _ := e3.HandOver(now)
			c.Assert(records["e0"], qt.HasLen, 1)
			e2.AcceptHandOver(now, epoch.Add(now), member(3), records["e2"], true, recipients)

			second := Request{Key: key, Hash: 1, Limit: 10 * time.Second, Executor: Executor{"e1", 2, 1}, Waiter: 2}
			effects = e2.Register(now, epoch.Add(now), second)
			c.Assert(effects, qt.HasLen, 1)
			if ignored {
				c.Assert(effects[0].Reply.Kind, qt.Equals, Proceed)
				return
			}
			// e3 still runs and redirects the request to e0.
			c.Assert(effects[0].Reply, qt.Equals, Reply{Kind: Moved, Home: "e3"})
			effects = e3.Register(now, epoch.Add(now), second)
			c.Assert(effects[0].Reply, qt.Equals, Reply{Kind: Moved, Home: "e0"})
			// Once e2 lists e0, it knows the new home.
			e2.SetMembers(now, epoch.Add(now), joined)
			effects = e2.Register(now, epoch.Add(now), second)
			c.Assert(effects[0].Reply, qt.Equals, Reply{Kind: Moved, Home: "e0"})
			// If e3 leaves before that, its keys may be lost, and none is run again.
			early := newCore(2)
			early.AcceptHandOver(now, epoch.Add(now), member(3), nil, true, recipients)
			early.SetMembers(now, epoch.Add(now), []Member{member(1), member(2), member(4)})
			effects = early.Register(now, epoch.Add(now), second)
			c.Assert(effects, qt.HasLen, 1)
			c.Assert(effects[0].QueryPeers, qt.Not(qt.HasLen), 0)
			effects = early.ResolveQuery(now, key, QueryResult{Unanswered: []spec.InstanceID{"e3"}})
			c.Assert(effects[0].Reply.Code, qt.Equals, code.KeyUndecidable)
		})
	}
}
