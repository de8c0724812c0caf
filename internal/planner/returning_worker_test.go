package planner

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// forget removes a worker from the directory for long enough that the leader
// drops its state, and lists it again.
func (h *harness) forget(c *qt.C, info WorkerInfo) []Effect {
	h.confirmWrites(h.step(WorkersChanged{}))
	h.confirmWrites(h.advance(10_000))
	c.Assert(h.core.workers, qt.HasLen, 0)
	return h.step(WorkersChanged{Workers: []WorkerInfo{info}})
}

// TestReturningWorkerAcceptsItsLeader guards against a worker that refuses its
// leader until the term ends: it was called with a raised token, was removed from
// the directory during a cut, and is listed again.
func TestReturningWorkerAcceptsItsLeader(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	s, _ := findEffect[Start](h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	h.step(StartDone{Worker: "w", Task: s.Task, Run: s.Run, Token: s.Token, Outcome: OutcomeUnknown})
	raised := h.core.workers["w"].token
	c.Assert(raised > s.Token, qt.IsTrue)
	hold, ok := findEffect[Hold](h.forget(c, testWorker))
	c.Assert(ok, qt.IsTrue)
	c.Assert(hold.Token > raised, qt.IsTrue, qt.Commentf("hold with token %d after %d", hold.Token, raised))
}

// TestFencedWorkerIsCalledWithHigherToken guards against a leader that one
// worker refuses for the rest of its term, although the log holds no newer claim.
// The token stays below that of the next term.
func TestFencedWorkerIsCalledWithHigherToken(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	w := h.core.workers["w"]
	seen := w.token + 1000
	rounds := 0
	for ; w.token < seen && rounds < 20; rounds++ {
		h.step(HoldDone{Worker: "w", Token: w.token, Outcome: Fenced})
		h.step(LeadershipConfirmed{})
	}
	c.Assert(w.token >= seen, qt.IsTrue, qt.Commentf("token %d after %d rounds", w.token, rounds))
	for range 100 {
		h.step(HoldDone{Worker: "w", Token: w.token, Outcome: Fenced})
		h.step(LeadershipConfirmed{})
	}
	c.Assert(w.token < (h.core.epoch+1)<<tokenShift, qt.IsTrue)
}

// TestAvoidedWorkerStaysAvoided guards against a task that is placed again on the
// worker on which it failed, because the worker was away for a while.
func TestAvoidedWorkerStaysAvoided(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	other := testWorker
	other.ID, other.Address, other.Capacity.CPUMilli = "w2", "a2", 16_000
	h.join(testWorker)
	s, _ := findEffect[Start](h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	h.step(StartDone{Worker: "w", Task: s.Task, Run: s.Run, Token: s.Token, Outcome: Done})
	h.confirmWrites(h.report(testWorker, Report{StartedMS: 7, ClockMS: 200, Ended: []EndedTask{ended(1, 0, s.Run, EndFailed)}}))
	h.confirmWrites(h.advance(40))
	again := h.core.workers["w"].runs
	c.Assert(again, qt.HasLen, 1)
	h.step(StartDone{Worker: "w", Task: s.Task, Run: again[0].number, Token: s.Token, Outcome: NoRoom})
	h.forget(c, testWorker)
	h.step(WorkersChanged{Workers: []WorkerInfo{testWorker, other}})
	h.report(other, Report{StartedMS: 7, ClockMS: 100})
	h.core.workers["w"].noRoomUntilMS = 0
	h.core.workers["w2"].noRoomUntilMS = h.now + 20
	h.report(testWorker, Report{StartedMS: 7, ClockMS: 100})
	task := &h.core.jobs["j"].open[0].steps[0].tasks[0]
	c.Assert(h.core.taskScore(task, h.core.workers["w"]) < h.core.taskScore(task, h.core.workers["w2"]), qt.IsTrue)
}

// forgetWorkers cuts off workers for longer than their directory entries last,
// more than once.
func (sim *simulation) forgetWorkers() {
	for range 6 {
		f := sim.workers[sim.rng.IntN(len(sim.workers))]
		sim.at(sim.rng.Int64N(faultsSeconds*1000), func() {
			f.cutOffUntil = sim.now + 2000 + sim.rng.Int64N(9000)
			sim.at(2500, func() {
				f.unlistedUntil = f.cutOffUntil + sim.rng.Int64N(1000)
				sim.step(sim.leader, WorkersChanged{Workers: sim.directory()})
				sim.at(f.unlistedUntil-sim.now+1, func() { sim.step(sim.leader, WorkersChanged{Workers: sim.directory()}) })
			})
		})
	}
}

// TestRandomRunsWithForgottenWorkers guards against workers that stay unusable
// after they were cut off and forgotten.
func TestRandomRunsWithForgottenWorkers(t *testing.T) {
	c := qt.New(t)
	// The lease after a restart was longer than the leader assumed.
	c.Assert(runSeed(93, (*simulation).forgetWorkers).violations, qt.HasLen, 0)
	for i := range *seedCount / 3 {
		sim := runSeed(*firstSeed+uint64(i), (*simulation).forgetWorkers)
		c.Assert(sim.violations, qt.HasLen, 0)
		for id, w := range sim.leader.core.workers {
			c.Assert(sim.leader.core.usable(w), qt.IsTrue, qt.Commentf("seed %d: %s is unusable: %+v", sim.seed, id, w.info))
		}
		c.Assert(sim.leader.core.workers, qt.HasLen, len(sim.workers))
	}
}

// TestLeaseAfterRestart guards against two runs of one task: a call that was sent
// before the leader learns of a worker's restart states a lease end on the former
// clock, and the new incarnation grants the longest possible lease for it.
func TestLeaseAfterRestart(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.report(testWorker, Report{StartedMS: 7, ClockMS: 900_000})
	before := h.core.workers["w"].token
	restarted := testWorker
	restarted.StartedMS = 8
	// From the next hold call on no call from before the restart is carried out.
	hold, ok := findEffect[Hold](h.report(restarted, Report{StartedMS: 8, ClockMS: 50}))
	c.Assert(ok, qt.IsTrue)
	c.Assert(hold.Token > before, qt.IsTrue)
	// Nothing starts before the directory has an entry of the new incarnation.
	h.confirmWrites(h.step(WorkersChanged{Workers: []WorkerInfo{restarted}}))
	h.confirmWrites(h.advance(60))
	h.report(restarted, Report{StartedMS: 8, ClockMS: 100})
	s, ok := findEffect[Start](h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	c.Assert(ok, qt.IsTrue)
	h.step(StartDone{Worker: "w", Task: s.Task, Run: s.Run, Token: s.Token, Outcome: Done})
	h.step(HoldDone{Worker: "w", Outcome: OutcomeUnknown})
	h.advance(h.core.config.MaxLeaseMS - 300)
	c.Assert(h.core.workers["w"].runs, qt.HasLen, 1)
	h.advance(1000)
	c.Assert(h.core.workers["w"].runs, qt.HasLen, 0)
}

// TestLeaseOfRestartedWorkerAfterTakeover guards against the same under a new
// leader: the predecessor's last call may have reached a worker that has just
// restarted, whether the predecessor noticed the restart or not. A new leader must
// also wait for that lease if the worker does not respond.
func TestLeaseOfRestartedWorkerAfterTakeover(t *testing.T) {
	for _, test := range []struct {
		name              string
		noticed, restarts bool
		agoMS             int64
		lease             func(Config) int64
	}{
		{"restart noticed", true, true, 2000, func(c Config) int64 { return c.MaxLeaseMS }},
		{"restart not noticed", false, true, 2000, func(c Config) int64 { return c.MaxLeaseMS }},
		{"restart long ago", true, true, 100_000, func(c Config) int64 { return c.LeaseMS }},
		{"first incarnation", false, false, 2000, func(c Config) int64 { return c.LeaseMS }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			first := newHarness(safeguards{})
			info := testWorker
			info.StartedMS = first.now - test.agoMS
			if test.restarts {
				first.join(testWorker)
			} else {
				first.join(info)
			}
			if test.noticed {
				first.confirmWrites(first.report(info, Report{StartedMS: info.StartedMS, ClockMS: 50}))
			}
			first.confirmWrites(first.advance(100))
			config := first.core.config
			config.FirstTerm, config.PriorLeaseMS = false, config.LeaseMS
			h := &harness{now: first.now + 1000}
			h.core = New(config, first.core.stateMachine, first.core.epoch+1, h.time())
			h.step(WorkersChanged{Workers: []WorkerInfo{info}})
			w := h.core.workers["w"]
			lease := test.lease(h.core.config)
			c.Assert(h.core.inheritedLeaseMS(w), qt.Equals, h.core.maxInheritedLeaseMS(lease))
			h.report(info, Report{StartedMS: info.StartedMS, ClockMS: 3000})
			c.Assert(w.inheritedLeaseEndMS-w.clockMS, qt.Equals, lease)
		})
	}
}
