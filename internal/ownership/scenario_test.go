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

// newSteadySimulation returns a simulation without faults, in which seven
// instances own all groups.
func newSteadySimulation(seed uint64, groups int) *simulation {
	sim := newSimulation(seed, groups)
	for range 7 {
		sim.after(sim.between(0, 2*time.Second), func() { sim.startNewNode() })
	}
	sim.runUntil(45*time.Second + sim.between(0, time.Second))
	return sim
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
		sim := newSteadySimulation(seed, 21)
		c.Assert(sim.unownedGroups(), quicktest.HasLen, 0)
		before := sim.owners()
		crashed := sim.randomNode()
		crashed.crash()
		start := sim.now
		for len(sim.unownedGroups()) > 0 && sim.now < start+2*maxTakeoverTime {
			sim.runUntil(sim.now + 5*time.Millisecond)
		}
		gaps = append(gaps, sim.now-start)
		c.Assert(sim.now-start <= maxTakeoverTime, quicktest.IsTrue, quicktest.Commentf("seed %d: %s", seed, sim.now-start))
		sim.runUntil(sim.now + 20*time.Second)
		owned := 0
		for _, n := range before {
			if n == crashed {
				owned++
			}
		}
		c.Assert(countMoved(before, sim.owners()), quicktest.Equals, owned)
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
		sim := newSteadySimulation(seed, groups)
		before := sim.owners()
		n := sim.startNewNode()
		joinGap := sim.longestGap(40 * time.Second)
		joined := sim.owners()
		held := 0
		for _, owner := range joined {
			if owner == n {
				held++
			}
		}
		c.Assert(countMoved(before, joined), quicktest.Equals, held)
		c.Assert(held > 0 && held <= groups/8+1, quicktest.IsTrue)
		sim.leave(n)
		leaveGap := sim.longestGap(40 * time.Second)
		c.Assert(n.running, quicktest.IsFalse)
		c.Assert(countMoved(joined, sim.owners()), quicktest.Equals, held)
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
	sim := newSteadySimulation(1, 21)
	before := sim.appendCount()
	sim.runUntil(sim.now + 10*time.Second)
	t.Logf("%d appends of 7 idle instances in 10 s", sim.appendCount()-before)
	sim.faultsOff = false
	sim.logDown = true
	crashed := sim.randomNode()
	owned := 0
	for _, n := range sim.owners() {
		if n == crashed {
			owned++
		}
	}
	crashed.crash()
	for range 60 {
		sim.runUntil(sim.now + time.Second)
		c.Assert(len(sim.unownedGroups()) <= owned, quicktest.IsTrue)
	}
	sim.logDown = false
	sim.runUntil(sim.now + maxTakeoverTime)
	c.Assert(sim.unownedGroups(), quicktest.HasLen, 0)
}

// TestForcedRemoval guards against a system that raises no alarm after most
// instances crashed without the instance list showing it, or that still has groups
// without an owner after an operator has confirmed the crashes.
func TestForcedRemoval(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	sim := newSteadySimulation(1, 21)
	var crashedIDs []spec.InstanceID
	for range 4 {
		n := sim.randomNode()
		n.running = false
		delete(sim.runningNodes, n.id)
		crashedIDs = append(crashedIDs, n.id)
	}
	sim.runUntil(sim.now + 60*time.Second)
	c.Assert(len(sim.unownedGroups()) > 0, quicktest.IsTrue)
	c.Assert(sim.randomNode().alarmActive, quicktest.IsTrue)
	for _, id := range crashedIDs {
		sim.randomNode().step(ForceRemove{Instance: id})
		sim.runUntil(sim.now + time.Second)
	}
	sim.runUntil(sim.now + maxTakeoverTime)
	c.Assert(sim.unownedGroups(), quicktest.HasLen, 0)
	c.Assert(sim.randomNode().alarmActive, quicktest.IsFalse)
}

// TestSingleInstance guards against a system of one instance that never acquires a
// lease, or loses it during a log outage.
func TestSingleInstance(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	sim := newSimulation(1, 3)
	sim.startNewNode()
	sim.runUntil(10 * time.Second)
	c.Assert(sim.unownedGroups(), quicktest.HasLen, 0)
	sim.faultsOff = false
	sim.logDown = true
	c.Assert(sim.longestGap(20*time.Second), quicktest.Equals, time.Duration(0))
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
	sim := newSteadySimulation(1, 300)
	n := sim.randomNode()
	request := &schedv1.HeartbeatRequest{}
	for _, other := range sim.runningNodes {
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
	sim := newSteadySimulation(1, 300)
	n := sim.randomNode()
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
