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

// crashBound is the design page's bound from a crash to the next right.
const crashBound = 4200 * time.Millisecond

// steady returns a calm world of seven instances that own all groups.
func steady(seed uint64, groups int) *world {
	w := newWorld(seed, groups)
	for range 7 {
		w.after(w.between(0, 2*time.Second), func() { w.spawnNew() })
	}
	w.runUntil(45*time.Second + w.between(0, time.Second))
	return w
}

// owners returns the holder of each group's right.
func (w *world) owners() map[spec.GroupID]*node {
	out := make(map[spec.GroupID]*node)
	for _, g := range w.groups {
		for _, n := range w.holders(g.ID) {
			out[g.ID] = n
		}
	}
	return out
}

// moved counts the groups whose right changed hands between two moments.
func moved(before, after map[spec.GroupID]*node) int {
	count := 0
	for id, n := range before {
		if after[id] != n {
			count++
		}
	}
	return count
}

// TestCrash guards against takeovers that take longer than the bound from a
// crash, with the log up, to the next right, and against groups that move
// although their owner is alive.
func TestCrash(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	var gaps []time.Duration
	for seed := range uint64(20) {
		w := steady(seed, 21)
		c.Assert(w.vacant(), quicktest.HasLen, 0)
		before := w.owners()
		victim := w.pick()
		victim.crash()
		start := w.now
		for len(w.vacant()) > 0 && w.now < start+2*crashBound {
			w.runUntil(w.now + 5*time.Millisecond)
		}
		gaps = append(gaps, w.now-start)
		c.Assert(w.now-start <= crashBound, quicktest.IsTrue, quicktest.Commentf("seed %d: %s", seed, w.now-start))
		w.runUntil(w.now + 20*time.Second)
		owned := 0
		for _, n := range before {
			if n == victim {
				owned++
			}
		}
		c.Assert(moved(before, w.owners()), quicktest.Equals, owned)
	}
	slices.Sort(gaps)
	t.Logf("crash to last right: median %s, worst %s of %d crashes", gaps[len(gaps)/2], gaps[len(gaps)-1], len(gaps))
}

// TestJoinAndLeave guards against a join that moves more groups than the new
// member's share, a leave that moves more than the leaver's groups, and
// moves that leave a group without a right for long.
func TestJoinAndLeave(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	const groups = 42
	for seed := range uint64(3) {
		w := steady(seed, groups)
		before := w.owners()
		n := w.spawnNew()
		joinGap := w.watch(40 * time.Second)
		joined := w.owners()
		held := 0
		for _, owner := range joined {
			if owner == n {
				held++
			}
		}
		c.Assert(moved(before, joined), quicktest.Equals, held)
		c.Assert(held > 0 && held <= groups/8+1, quicktest.IsTrue)
		w.leave(n)
		leaveGap := w.watch(40 * time.Second)
		c.Assert(n.alive, quicktest.IsFalse)
		c.Assert(moved(joined, w.owners()), quicktest.Equals, held)
		c.Assert(max(joinGap, leaveGap) < 500*time.Millisecond, quicktest.IsTrue,
			quicktest.Commentf("seed %d: join %s, leave %s", seed, joinGap, leaveGap))
		t.Logf("seed %d: join moved %d, gap %s; leave moved %d, gap %s", seed, moved(before, joined), joinGap, held, leaveGap)
	}
}

// watch lets time pass and returns the longest time that a group had no right.
func (w *world) watch(length time.Duration) time.Duration {
	const period = time.Millisecond
	worst := time.Duration(0)
	gaps := make(map[spec.GroupID]time.Duration)
	for end := w.now + length; w.now < end; w.runUntil(w.now + period) {
		for _, g := range w.groups {
			if len(w.holders(g.ID)) > 0 {
				gaps[g.ID] = 0
				continue
			}
			gaps[g.ID] += period
			worst = max(worst, gaps[g.ID])
		}
	}
	return worst
}

// TestLogOutage guards against rights that end in an outage of the log for
// everyone, also when an instance dies during the outage, and against appends
// of an idle instance.
func TestLogOutage(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := steady(1, 21)
	before := w.appendCount()
	w.runUntil(w.now + 10*time.Second)
	t.Logf("%d appends of 7 idle instances in 10 s", w.appendCount()-before)
	w.calm = false
	w.logDown = true
	victim := w.pick()
	owned := 0
	for _, n := range w.owners() {
		if n == victim {
			owned++
		}
	}
	victim.crash()
	for range 60 {
		w.runUntil(w.now + time.Second)
		c.Assert(len(w.vacant()) <= owned, quicktest.IsTrue)
	}
	w.logDown = false
	w.runUntil(w.now + crashBound)
	c.Assert(w.vacant(), quicktest.HasLen, 0)
}

// TestForcedRemoval guards against a system that stays without owners after
// most instances died unseen by the instance list, raises no alarm, and does
// not go on after an operator has confirmed the deaths.
func TestForcedRemoval(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := steady(1, 21)
	var dead []spec.InstanceID
	for range 4 {
		n := w.pick()
		n.alive = false
		delete(w.live, n.id)
		dead = append(dead, n.id)
	}
	w.runUntil(w.now + 60*time.Second)
	c.Assert(len(w.vacant()) > 0, quicktest.IsTrue)
	c.Assert(w.pick().alarmed, quicktest.IsTrue)
	for _, id := range dead {
		w.pick().event(ForceRemove{Instance: id})
		w.runUntil(w.now + time.Second)
	}
	w.runUntil(w.now + crashBound)
	c.Assert(w.vacant(), quicktest.HasLen, 0)
	c.Assert(w.pick().alarmed, quicktest.IsFalse)
}

// TestSingleInstance guards against a system of one instance that never gets a
// right, or loses it in a log outage.
func TestSingleInstance(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	w := newWorld(1, 3)
	w.spawnNew()
	w.runUntil(10 * time.Second)
	c.Assert(w.vacant(), quicktest.HasLen, 0)
	w.calm = false
	w.logDown = true
	c.Assert(w.watch(20*time.Second), quicktest.Equals, time.Duration(0))
}

func (w *world) appendCount() int {
	sum := 0
	for _, count := range w.appends {
		sum += count
	}
	return sum
}

// BenchmarkOwnershipStep measures a heartbeat received by a member that knows
// 300 groups; one operation is one step.
func BenchmarkOwnershipStep(b *testing.B) {
	w := steady(1, 300)
	n := w.pick()
	request := &schedv1.HeartbeatRequest{}
	for _, other := range w.live {
		if other != n {
			request = other.core.request(other.clock())
		}
	}
	now := n.clock()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		n.core.Step(now+time.Duration(i), HeartbeatReceived{Call: uint64(i), Request: request})
	}
}

// BenchmarkOwnershipTick measures a tick of the same member.
func BenchmarkOwnershipTick(b *testing.B) {
	w := steady(1, 300)
	n := w.pick()
	now := n.clock()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		n.core.Step(now+time.Duration(i), Tick{})
	}
	if len(n.core.sorted) != 300 {
		b.Fatal(fmt.Sprint(len(n.core.sorted), " groups"))
	}
}
