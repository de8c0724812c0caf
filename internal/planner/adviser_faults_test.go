package planner

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// simAdviser is the placement adviser of the random runs. It allows a step on
// half of the workers and gives tickets that expire.
type simAdviser struct {
	rng *rand.Rand
	// tickets maps each valid ticket to its expiry.
	tickets map[string]int64
	// busyUntil is when the adviser has handled the request before, which it does
	// one after the other for each leader.
	busyUntil map[*leader]int64
	// advice is how long it takes.
	advice jobs.Advice
}

const (
	advisedQueue     = "advised"
	ticketValidityMS = 2500
)

// injectAdviser adds an advised queue. Most denials are for all workers that
// are asked about, the adviser is busy at times, and workers that are allowed
// crash.
func (sim *simulation) injectAdviser() {
	sim.adviser = &simAdviser{rng: rand.New(rand.NewPCG(sim.seed, 3)), tickets: map[string]int64{}, busyUntil: map[*leader]int64{}}
	// The figures of the configuration may be far from those of other queues.
	sim.adviser.advice = []jobs.Advice{{}, {DecisionMS: 10, WorkerMS: 1}, {DecisionMS: 600, WorkerMS: 90, ValidityMS: ticketValidityMS}, {DecisionMS: 3, WorkerMS: 400}}[sim.seed%4]
	queues := append(slices.Clone(sim.versions[0].queues), Queue{Name: advisedQueue, Policy: jobs.Policy{
		Service: "s", Priority: 1, MaxAttempts: 4, Stretch: 2, TargetLatencyMS: 1000, Advised: true, Advice: sim.adviser.advice,
	}})
	sim.versions = append(sim.versions, version{sim.now, queues})
	sim.apply(sim.leader, len(sim.versions)-1)
	for range 4 {
		sim.at(sim.adviser.rng.Int64N(faultsSeconds*1000), func() {
			f := sim.workers[sim.adviser.rng.IntN(len(sim.workers))]
			f.crash(300 + sim.adviser.rng.Int64N(2000))
			sim.at(400, func() { sim.step(sim.leader, WorkersChanged{Workers: sim.directory()}) })
		})
	}
}

// adviseSubmission moves half of the batch jobs to the advised queue.
func (sim *simulation) adviseSubmission(job *jobs.Job) {
	if sim.adviser == nil || job.Queue != "batch" || sim.adviser.rng.IntN(2) == 0 {
		return
	}
	job.Queue = advisedQueue
	for i := range job.Steps {
		// A gang or a label may fit on none of the workers that are allowed.
		job.Steps[i].Gang, job.Steps[i].SameRack, job.Steps[i].Label, job.Steps[i].MaxPerWorker = false, false, "", 0
	}
}

// allows reports whether the adviser allows the step on a worker. A fifth of the
// steps is allowed nowhere until the faults end.
func (sim *simulation) allows(step StepID, f *fakeWorker) bool {
	h := fnv.New32a()
	fmt.Fprint(h, step, sim.seed)
	sum := h.Sum32()
	if sum%5 == 0 && sim.faultRates != (faultRates{}) {
		return false
	}
	return (sum/5+uint32(slices.Index(sim.workers, f)))%2 == 0
}

func ticketFor(step StepID, f *fakeWorker, issuedMS int64) string {
	return fmt.Sprint(step, f.info.ID, f.startedMS, issuedMS)
}

// advise answers a request, unless the adviser is busy.
func (sim *simulation) advise(l *leader, e Advise) {
	done := AdviceDone{Step: e.Step, Outcome: Refused}
	if sim.adviser.rng.IntN(5) > 0 {
		done = AdviceDone{Step: e.Step, Outcome: Done, ValidityMS: ticketValidityMS, Tickets: map[WorkerID]string{}}
	}
	a := sim.adviser
	startMS := max(sim.now, a.busyUntil[l])
	tookMS := startMS - sim.now + a.advice.DecisionMS + int64(len(e.Workers))*a.advice.WorkerMS
	if tookMS > e.TimeoutMS {
		sim.at(e.TimeoutMS, func() { sim.step(l, AdviceDone{Step: e.Step, Outcome: OutcomeUnknown}) })
		return
	}
	a.busyUntil[l] = sim.now + tookMS
	sim.at(tookMS, func() {
		for _, f := range sim.workers {
			if done.Outcome == Done && slices.Contains(e.Workers, f.info.ID) && sim.allows(e.Step, f) {
				ticket := ticketFor(e.Step, f, sim.now)
				sim.adviser.tickets[ticket] = sim.now + ticketValidityMS
				done.Tickets[f.info.ID] = ticket
			}
		}
		sim.step(l, done)
	})
}

// ticketValid reports whether a worker accepts the ticket of a start.
func (sim *simulation) ticketValid(f *fakeWorker, s Start) bool {
	if sim.jobs[s.Task.Job].job.Queue != advisedQueue {
		return true
	}
	untilMS, ok := sim.adviser.tickets[s.Ticket]
	prefix := fmt.Sprint(StepID{s.Task.Job, s.Task.Occurrence, s.Task.Step}, f.info.ID, f.startedMS)
	return ok && sim.now < untilMS && len(s.Ticket) > len(prefix) && s.Ticket[:len(prefix)] == prefix
}

// TestRandomRunsWithAdviser guards against jobs that never start, and against a
// leader that ends, when the adviser denies all workers, restarts of workers
// make its answers obsolete and tickets expire.
func TestRandomRunsWithAdviser(t *testing.T) {
	c := qt.New(t)
	for i := range *seedCount / 3 {
		sim := runSeed(*firstSeed+uint64(i), (*simulation).injectAdviser)
		c.Assert(sim.violations, qt.HasLen, 0)
		c.Assert(len(sim.adviser.tickets) > 0, qt.IsTrue)
	}
}
