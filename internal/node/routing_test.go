package node

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
	"redwingvale/internal/planner"
)

// Guards against an accepted job that no leader can run: its queue is removed
// between the routing of the request and its acceptance, and the job is recorded
// without a policy.
func TestDroppedQueueKeepsItsPolicy(t *testing.T) {
	c := qt.New(t)
	queue := func(name string, attempts int) QueueRoute {
		return QueueRoute{Queue: planner.Queue{Name: name, Policy: jobs.Policy{Service: "s", MaxAttempts: attempts}}, Host: "h", Prefix: "/" + name + "/"}
	}
	first := newRoutingTable(&Manifest{Version: 1, Queues: []QueueRoute{queue("kept", 2), queue("dropped", 3)}}, nil)
	name, _, ok := first.route("h", "/dropped/1")
	c.Assert(ok, qt.IsTrue)
	second := newRoutingTable(&Manifest{Version: 2, Queues: []QueueRoute{queue("kept", 4)}}, first)
	_, _, ok = second.route("h", "/dropped/1")
	c.Assert(ok, qt.IsFalse)
	c.Assert(second.policies[name], qt.DeepEquals, &jobs.Policy{Service: "s", MaxAttempts: 3})
	c.Assert(second.policies["kept"].MaxAttempts, qt.Equals, 4)
}
