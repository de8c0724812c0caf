package ownership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"redwingvale/internal/spec"

	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// maxTakeoverTime is the limit of docs/design.md on the time from a crash to the
// next owner's lease.
const maxTakeoverTime = 4200 * time.Millisecond

// newSteadySimulation returns a simulation without faults, in which seven instances
// own all groups.
func newSteadySimulation(seed uint64, groups int) *simulation {
	w := newSimulation(seed, groups)
	for range 7 {
		w.after(w.between(0, 2*time.Second), func() { w.startNewNode() })
	}
	w.runUntil(45*time.Second + w.between(0, time.Second))
	return w
}

// owners returns the holder of the lease on each group.
func (sim *simulation) owners() map[spec.GroupID]*node {
	out := make(map[spec.GroupID]*node)
	for _, g := range sim.groups {
		for _, n := range sim.holders(g.ID) {
			out[g.ID] = n
		}
	}
	return out
}

// countMoved returns the number of groups whose owner differs between two
// points in time.
func countMoved(before, after map[spec.GroupID]*node) int {
	count := 0
	for id, n := range before {
		if after[id] != n {
			count++
		}
	}
	return count
}

// TestCrash guards against takeovers that exceed the limit from a crash, with the
// log available, to the next lease, and against groups that move although their
// owner is still running.
func TestCrash(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	var gaps []time.Duration
	for seed := range uint64(20) {
		w := newSteadySimulation(seed, 21)
		c.Assert(w.unownedGroups(), quicktest.HasLen, 0)
		before := w.owners()
		victim := w.randomNode()
		victim.crash()
		start := w.now
		for len(w.unownedGroups()) > 0 && w.now < start+2*maxTakeoverTime {
			w.runUntil(w.now + 5*time.Millisecond)
		}
		gaps = append(gaps, w.now-start)
		c.Assert(w.now-start <= maxTakeoverTime, quicktest.IsTrue, quicktest.Commentf("seed %d: %s", seed, w.now-start))
		w.runUntil(w.now + 20*time.Second)
		owned := 0
		for _, n := range before {
			if n == victim {
				owned++
			}
		}
		c.Assert(countMoved(before, w.owners()), quicktest.Equals, owned)
	}
	slices.Sort(gaps)
	t.Logf("crash to last lease: median %s, worst %s of %d crashes", gaps[len(gaps)/2], gaps[len(gaps)-1], len(gaps))
}

// TestJoinAndLeave guards against a join that moves more groups than the new
// member's share, a leave that moves more than the leaving member's groups, and
// moves that leave a group without a lease for 500 ms or longer.
func TestJoinAndLeave(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const groups = 42
	for seed := range uint64(3) {
		w := newSteadySimulation(seed, groups)
		before := w.owners()
		n := w.startNewNode()
		joinGap := w.longestGap(40 * time.Second)
		joined := w.owners()
		held := 0
		for _, owner := range joined {
			if owner == n {
				held++
			}
		}
		c.Assert(countMoved(before, joined), quicktest.Equals, held)
		c.Assert(held > 0 && held <= groups/8+1, quicktest.IsTrue)
		w.leave(n)
		leaveGap := w.longestGap(40 * time.Second)
		c.Assert(n.alive, quicktest.IsFalse)
		c.Assert(countMoved(joined, w.owners()), quicktest.Equals, held)
		c.Assert(max(joinGap, leaveGap) < 500*time.Millisecond, quicktest.IsTrue,
			quicktest.Commentf("seed %d: join %s, leave %s", seed, joinGap, leaveGap))
		t.Logf("seed %d: join moved %d, gap %s; leave moved %d, gap %s", seed, countMoved(before, joined), joinGap, held, leaveGap)
	}
}

// longestGap advances the simulation by length and returns the longest time during
// which a group had no lease.
func (sim *simulation) longestGap(length time.Duration) time.Duration {
	const period = time.Millisecond
	worst := time.Duration(0)
	gaps := make(map[spec.GroupID]time.Duration)
	for end := sim.now + length; sim.now < end; sim.runUntil(sim.now + period) {
		for _, g := range sim.groups {
			if len(sim.holders(g.ID)) > 0 {
				gaps[g.ID] = 0
				continue
			}
			gaps[g.ID] += period
			worst = max(worst, gaps[g.ID])
		}
	}
	return worst
}

// TestLogOutage guards against leases that end during an outage of the log that
// affects all instances, also when an instance crashes during the outage. It logs
// the number of appends of idle instances.
func TestLogOutage(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := newSteadySimulation(1, 21)
	before := w.appendCount()
	w.runUntil(w.now + 10*time.Second)
	t.Logf("%d appends of 7 idle instances in 10 s", w.appendCount()-before)
	w.faultsOff = false
	w.logDown = true
	victim := w.randomNode()
	owned := 0
	for _, n := range w.owners() {
		if n == victim {
			owned++
		}
	}
	victim.crash()
	for range 60 {
		w.runUntil(w.now + time.Second)
		c.Assert(len(w.unownedGroups()) <= owned, quicktest.IsTrue)
	}
	w.logDown = false
	w.runUntil(w.now + maxTakeoverTime)
	c.Assert(w.unownedGroups(), quicktest.HasLen, 0)
}

// TestForcedRemoval guards against a system that raises no alarm after most
// instances crashed without the instance list showing it, or that still has groups
// without an owner after an operator has confirmed the crashes.
func TestForcedRemoval(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := newSteadySimulation(1, 21)
	var dead []spec.InstanceID
	for range 4 {
		n := w.randomNode()
		n.alive = false
		delete(w.live, n.id)
		dead = append(dead, n.id)
	}
	w.runUntil(w.now + 60*time.Second)
	c.Assert(len(w.unownedGroups()) > 0, quicktest.IsTrue)
	c.Assert(w.randomNode().alarmActive, quicktest.IsTrue)
	for _, id := range dead {
		w.randomNode().step(ForceRemove{Instance: id})
		w.runUntil(w.now + time.Second)
	}
	w.runUntil(w.now + maxTakeoverTime)
	c.Assert(w.unownedGroups(), quicktest.HasLen, 0)
	c.Assert(w.randomNode().alarmActive, quicktest.IsFalse)
}

// TestSingleInstance guards against a system of one instance that never acquires a
// lease, or loses it during a log outage.
func TestSingleInstance(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := newSimulation(1, 3)
	w.startNewNode()
	w.runUntil(10 * time.Second)
	c.Assert(w.unownedGroups(), quicktest.HasLen, 0)
	w.faultsOff = false
	w.logDown = true
	c.Assert(w.longestGap(20*time.Second), quicktest.Equals, time.Duration(0))
}

func (sim *simulation) appendCount() int {
	sum := 0
	for _, count := range sim.appends {
		sum += count
	}
	return sum
}

// BenchmarkOwnershipStep measures the handling of a heartbeat by a member that has
// 300 groups. One operation is one step.
func BenchmarkOwnershipStep(b *testing.B) {
	w := newSteadySimulation(1, 300)
	n := w.randomNode()
	request := &schedv1.HeartbeatRequest{}
	for _, other := range w.live {
		if other != n {
			request = other.core.heartbeatRequest(other.clock())
		}
	}
	now := n.clock()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		n.core.Step(now+time.Duration(i), HeartbeatReceived{Call: uint64(i), Request: request})
	}
}

// BenchmarkOwnershipTick measures a tick of a member that has 300 groups.
func BenchmarkOwnershipTick(b *testing.B) {
	w := newSteadySimulation(1, 300)
	n := w.randomNode()
	now := n.clock()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		n.core.Step(now+time.Duration(i), Tick{})
	}
	if len(n.core.sortedGroups) != 300 {
		b.Fatal(fmt.Sprint(len(n.core.sortedGroups), " groups"))
	}
}
