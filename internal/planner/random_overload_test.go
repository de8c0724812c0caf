package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// backlogSeconds is how long the work of an overload takes beyond settleSeconds.
const backlogSeconds = 60

// simOverload is a load beyond what the workers can do in time, with callers who
// return after the stated delay or give up.
type simOverload struct {
	rng *rand.Rand
	// caughtUp are the requests that were repeated after reading the log.
	caughtUp map[uint64]bool
	refused  int
	// backlog is set for a load whose work takes longer than settleSeconds.
	backlog bool
	// patient callers return after each refusal.
	patient bool
}

// refusedSubmission is the caller's view of a job's refusals.
type refusedSubmission struct {
	// unanswered counts the requests without an answer: their job may run.
	unanswered int
	// refused is set if the last answer was a refusal, final once the caller has
	// given up after it and no request is unanswered.
	refused, final bool
	// returnMS is when the caller is to return.
	returnMS int64
}

// enableOverload begins a term with the setting on.
func (sim *simulation) enableOverload() {
	sim.overload = &simOverload{rng: rand.New(rand.NewPCG(sim.seed, 9)), caughtUp: map[uint64]bool{}}
	sim.config.Overload = true
	sim.elect()
}

// injectOverload turns on the setting and submits bursts of the batch queue, urgent
// jobs on top and long-running jobs that arrive until the service is full.
func (sim *simulation) injectOverload() {
	if sim.overload == nil {
		sim.enableOverload()
	}
	sim.overload.backlog = true
	rng := sim.overload.rng
	n := 0
	submit := func(job *jobs.Job) {
		n++
		id := fmt.Sprintf("load%012d", n)
		job.SubmittedMS = sim.now
		sim.addJob(id, job)
		if rng.IntN(5) == 0 {
			// The caller has lost the answer.
			sim.at(rng.Int64N(6000), func() { sim.repeatSubmission(jobs.ID(id)) })
		}
		if job.Queue == "watch" || rng.IntN(20) == 0 {
			sim.at(rng.Int64N(15_000), func() { sim.cancel(jobs.ID(id)) })
		}
	}
	for range 2 {
		beginMS := rng.Int64N((faultsSeconds - 10) * 1000)
		for range 40 + rng.IntN(40) {
			sim.at(beginMS+rng.Int64N(2500), func() {
				submit(&jobs.Job{Queue: "batch", Steps: []jobs.Step{
					{Count: 4 + rng.IntN(6), CPUMilli: 4000, MemoryMB: 1000, EstimateMS: 1500},
					{Count: 1 + rng.IntN(3), CPUMilli: 4000, MemoryMB: 1000, EstimateMS: 500, After: []int{0}},
				}})
			})
		}
	}
	for range 40 {
		sim.at(rng.Int64N(faultsSeconds*1000), func() {
			submit(&jobs.Job{Queue: "urgent", Steps: []jobs.Step{{Count: 3, CPUMilli: 4000, MemoryMB: 1000, EstimateMS: 400}}})
		})
	}
	for range 15 {
		sim.at(rng.Int64N(faultsSeconds*1000), func() {
			submit(&jobs.Job{Queue: "watch", Steps: []jobs.Step{{Count: 2, CPUMilli: 6000, MemoryMB: 1000, EstimateMS: 300, LongRunning: true, Image: "watch", TailTargetMS: 2000, MaxUnavailable: 1}}})
		})
	}
}

// repeatSubmission submits a job again if its caller has not given up.
func (sim *simulation) repeatSubmission(id jobs.ID) {
	if !sim.jobs[id].refusal.final {
		sim.sendSubmission(id)
	}
}

// handleRefusal handles the answer to a submission as the leader's instance does: it
// reads the log to its end and asks again before it refuses. It reports whether the
// reply needs nothing else.
func (sim *simulation) handleRefusal(l *leader, r Reply) bool {
	id, ok := sim.submitRequests[r.RequestID]
	if !ok {
		return false
	}
	s := sim.jobs[id]
	if !r.Overloaded {
		s.refusal.unanswered--
		s.refusal.refused = false
		return false
	}
	if sim.overload.caughtUp[r.RequestID] {
		sim.refuse(id, r)
		return true
	}
	encoded, err := jobs.EncodeJob(s.job)
	if err != nil {
		sim.violate("TEST", "%v", err)
		return true
	}
	sim.at(sim.latency(), func() {
		if sim.now < sim.logDownUntil || l.epoch < sim.epoch {
			// The log is not available, or holds a newer claim: the answer is "unknown".
			return
		}
		end := len(sim.log)
		sim.inLoop(l, func() {
			if changed := sim.catchUp(l, end); len(changed) > 0 {
				sim.handle(l, RecordsRead{Jobs: changed})
			}
			sim.lastRequestID++
			sim.submitRequests[sim.lastRequestID] = id
			sim.overload.caughtUp[sim.lastRequestID] = true
			if l.logOffset < len(sim.log) || l.epoch < sim.epoch {
				return
			}
			sim.handle(l, SubmitRequested{RequestID: sim.lastRequestID, ID: id, Encoded: encoded, CaughtUp: true})
		})
	})
	return true
}

// refuse handles a refusal that the caller gets.
func (sim *simulation) refuse(id jobs.ID, r Reply) {
	s := sim.jobs[id]
	sim.overload.refused++
	s.refusal.unanswered--
	s.refusal.refused = true
	s.refusal.returnMS = sim.now + r.RetryAfterMS
	switch {
	case s.recorded:
		sim.violate("REFUSED", "%s is refused although the log holds it", id)
	case s.accepted:
		sim.violate("REFUSED", "%s is refused after it was accepted", id)
	case s.job.Repeat > 0:
		sim.violate("REFUSED", "%s is refused and has a schedule", id)
	case r.RetryAfterMS < 1000 || r.RetryAfterMS > 30_000:
		sim.violate("REFUSED", "%s is to be repeated after %d ms", id, r.RetryAfterMS)
	case !sim.overload.patient && s.refusal.unanswered == 0 && s.cancelled == 0 && !s.cancelSent:
		s.refusal.final = sim.overload.rng.IntN(3) == 0
	}
}

// TestRandomRunsUnderOverload guards against refused jobs that are recorded or run,
// and against recorded ones that are refused, under crashes, takeovers and log
// outages.
func TestRandomRunsUnderOverload(t *testing.T) {
	c := qt.New(t)
	refused := 0
	for i := range *seedCount / 3 {
		sim := runSeed(*firstSeed+uint64(i), func(sim *simulation) {
			sim.injectOverload()
			if i%2 == 1 {
				sim.injectTakeoverFaults()
			}
		})
		refused += sim.overload.refused
		c.Assert(sim.violations, qt.HasLen, 0)
	}
	t.Logf("%d refusals", refused)
	c.Assert(refused > 0, qt.IsTrue)
}
