package planner

import (
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// newLeasedHarness returns a core that acts on evidence of its leadership, with
// one worker.
func newLeasedHarness() *harness {
	h := newHarness(safeguards{})
	h.core.config.LeadershipLeaseMS = 1000
	h.step(LeadershipAsOf{MS: h.now})
	h.join(testWorker)
	return h
}

// TestDoubtedLeaderStartsNothing guards against two runs of one task: a leader
// that is cut off from the log and its members must not start tasks or renew
// leases for longer than its successor waits.
func TestDoubtedLeaderStartsNothing(t *testing.T) {
	c := qt.New(t)
	h := newLeasedHarness()
	hold, ok := findEffect[Hold](h.report(testWorker, Report{StartedMS: 7, ClockMS: 200}))
	c.Assert(ok, qt.IsTrue)
	c.Assert(hold.LeaseEndMS > 0, qt.IsTrue)
	h.advance(1100)
	effects := slices.Concat(slices.Clone(h.report(testWorker, Report{StartedMS: 7, ClockMS: 1300})),
		slices.Clone(h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900})), h.advance(500))
	c.Assert(allStarts(effects), qt.HasLen, 0)
	hold, ok = findEffect[Hold](effects)
	c.Assert(ok, qt.IsTrue)
	c.Assert(hold.LeaseEndMS, qt.Equals, int64(0))
	h.report(testWorker, Report{StartedMS: 7, ClockMS: 1800})
	starts := allStarts(slices.Concat(slices.Clone(h.step(LeadershipAsOf{MS: h.now - 10})), h.advance(100)))
	c.Assert(starts, qt.HasLen, 1)
	c.Assert(starts[0].LeaseEndMS > 0, qt.IsTrue)
}

// TestLeaseIsOverByLaterEvidence guards against two runs of one task: a leader may
// count a run on a worker that it cannot reach as over only if no successor had
// begun its term before the lease ended, because that one may have renewed it.
func TestLeaseIsOverByLaterEvidence(t *testing.T) {
	c := qt.New(t)
	h := newLeasedHarness()
	s, _ := findEffect[Start](h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 9000}))
	h.step(StartDone{Worker: "w", Task: s.Task, Run: s.Run, Token: s.Token, Outcome: Done})
	h.step(HoldDone{Worker: "w", Outcome: OutcomeUnknown})
	overMS := h.core.leaseOverMS(h.core.workers["w"])
	for h.now < overMS+900 {
		// The evidence is fresh enough to lead, but from before the lease's end.
		h.step(LeadershipAsOf{MS: min(h.now, overMS-10)})
		h.advance(100)
	}
	c.Assert(h.core.inDoubt(), qt.IsFalse)
	c.Assert(h.core.workers["w"].runs, qt.HasLen, 1)
	h.step(LeadershipAsOf{MS: h.core.leaseOverMS(h.core.workers["w"]) + 1})
	h.advance(20)
	c.Assert(h.core.workers["w"].runs, qt.HasLen, 0)
}

// divideWorkers elects a successor while the leader runs on, cut off from the log
// and its members: each worker is reached by one of them only, for as long as a
// cut may last.
func (sim *simulation) divideWorkers() {
	rng := rand.New(rand.NewPCG(sim.seed, 5))
	for range 4 {
		// The longest cut ends with the faults.
		sim.at(rng.Int64N((faultsSeconds-10)*1000), func() {
			old := sim.leader
			kept := map[*fakeWorker]bool{}
			for _, f := range sim.workers {
				kept[f] = rng.IntN(3) == 0
			}
			endMS := sim.now + 2000 + rng.Int64N(8000)
			sim.cutEndMS = max(sim.cutEndMS, endMS)
			sim.cutBetween = func(l *leader, f *fakeWorker) bool {
				return sim.now < endMS && kept[f] != (l == old)
			}
			sim.at(rng.Int64N(2500), func() {
				if sim.leader == old {
					sim.elect()
				}
				var run func()
				run = func() {
					sim.step(old, Tick{})
					if sim.now < endMS {
						sim.at(20, run)
					}
				}
				run()
			})
		})
	}
}

// TestRandomRunsWithDividedWorkers guards against tasks that run twice while a
// leader that was replaced and its successor each reach a part of the workers.
func TestRandomRunsWithDividedWorkers(t *testing.T) {
	c := qt.New(t)
	for i := range *seedCount / 3 {
		sim := runSeed(*firstSeed+uint64(i), (*simulation).divideWorkers)
		c.Assert(sim.violations, qt.HasLen, 0)
	}
}
