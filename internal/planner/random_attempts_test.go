package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// failTasksAroundTakeovers submits tasks that always fail and replaces the leader
// while they use up their attempts and some of the workers cannot be reached.
func (sim *simulation) failTasksAroundTakeovers() {
	rng := rand.New(rand.NewPCG(sim.seed, 7))
	for round := range 8 {
		startMS := int64(2000 + 4500*round)
		for i := range 6 {
			id := jobs.ID(fmt.Sprintf("badr%d%011d", round, i))
			sim.at(startMS+rng.Int64N(800), func() {
				step := jobs.Step{Count: 1, CPUMilli: 500, MemoryMB: 100, EstimateMS: 60 + rng.IntN(200)}
				sim.jobs[id] = &submittedJob{job: &jobs.Job{Queue: "batch", Payload: string(id), SubmittedMS: sim.now, Steps: []jobs.Step{step}}}
				sim.ids = append(sim.ids, id)
				sim.submit(id)
			})
		}
		takeoverMS := startMS + 300 + rng.Int64N(900)
		for _, f := range sim.workers {
			if rng.IntN(3) == 0 {
				sim.at(takeoverMS-rng.Int64N(300), func() { f.cutOffUntil = max(f.cutOffUntil, sim.now+300+rng.Int64N(1500)) })
			}
		}
		sim.at(takeoverMS, sim.elect)
	}
}

// TestRandomRunsWithFailingTasks guards against runs beyond the attempt limit, and
// against tasks held back without end, when leaders change while tasks fail.
func TestRandomRunsWithFailingTasks(t *testing.T) {
	c := qt.New(t)
	for i := range *seedCount {
		sim := runSeed(*firstSeed+uint64(i), (*simulation).failTasksAroundTakeovers)
		c.Check(sim.violations, qt.HasLen, 0)
	}
}

// TestDisabledAwaitFailures disables the wait for failures of a former term: the
// seeds of TestRandomRunsWithFailingTasks must detect it.
func TestDisabledAwaitFailures(t *testing.T) {
	requireViolation(t, 1, 20, "BUDGET", func(sim *simulation) {
		sim.failTasksAroundTakeovers()
		sim.disable(safeguards{awaitFailures: true})
	})
}
