package planner

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// newWideWorkers returns a simulation without faults of workers with 32 cores.
func newWideWorkers(n int) *simulation {
	sim := newSimulation(1, faultRates{})
	sim.replaceWorkers(n, Resources{CPUMilli: 32_000, MemoryMB: 64_000})
	return sim
}

// addSteps submits a job.
func (sim *simulation) addSteps(queue, id string, steps ...jobs.Step) {
	sim.addJob(id, &jobs.Job{Queue: queue, Payload: id, SubmittedMS: sim.now, Steps: steps})
}

// startedMS returns when a job's first task started, or -1.
func (sim *simulation) startedMS(id string) int64 {
	first := int64(-1)
	for t, starts := range sim.startedAt {
		if string(t.Job) == id && (first < 0 || starts[0].atMS < first) {
			first = starts[0].atMS
		}
	}
	return first
}

// spreadStep has one lasting task for each of some workers.
func spreadStep(workers int) jobs.Step {
	return jobs.Step{Count: workers, CPUMilli: 1000, MemoryMB: 500, EstimateMS: 300, LongRunning: true, MaxPerWorker: 1}
}

var narrowStep = jobs.Step{Count: 4, CPUMilli: 1000, MemoryMB: 500, EstimateMS: 500}

// Guards against work that never starts because tasks that may run on no worker keep
// the free room of all workers. The pattern is that of lasting jobs with one task on
// each worker when a worker is lost.
func TestUnplaceableTasksReserveNothing(t *testing.T) {
	c := qt.New(t)
	const workers = 4
	sim := newWideWorkers(workers)
	for i := range workers {
		sim.addSteps("watch", fmt.Sprint("spread", i), spreadStep(workers))
	}
	sim.run(sim.now + 2000)
	sim.workers[0].crash(1 << 40)
	sim.workers[0].unlistedUntil = 1 << 60
	sim.run(sim.now + 3000)
	sim.step(sim.leader, WorkersChanged{Workers: sim.directory()})
	sim.run(sim.now + 5000)
	submittedMS := sim.now
	sim.addSteps("batch", "narrow", narrowStep)
	sim.run(sim.now + 5000)
	c.Assert(sim.violations, qt.HasLen, 0)
	started := sim.startedMS("narrow")
	c.Assert(started >= submittedMS && started < submittedMS+1000, qt.IsTrue, qt.Commentf("submitted at %d, started at %d", submittedMS, started))
}

// Guards against the same when the placement adviser denies the only worker that runs
// no task of the step yet.
func TestDeniedWorkerIsNotReserved(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.step(QueuesChanged{Queues: []Queue{
		{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Advised: true}},
		{Name: "plain", Policy: jobs.Policy{Service: "s", Priority: 2, MaxAttempts: 2}},
	}})
	h.joinMany(2)
	a := &fakeAdviser{allowed: []WorkerID{"w000"}}
	starts := a.respond(h, h.submit(t, "spread", jobs.Step{Count: 2, CPUMilli: 1000, EstimateMS: 60_000, MaxPerWorker: 1}))
	starts = append(starts, a.respond(h, h.advance(500))...)
	c.Assert(starts, qt.HasLen, 1)
	encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "plain", Steps: []jobs.Step{{Count: 1, CPUMilli: 32_000, EstimateMS: 500}}})
	c.Assert(err, qt.IsNil)
	starts = a.respond(h, h.step(SubmitRequested{RequestID: 2, ID: "plain", Encoded: encoded}))
	starts = append(starts, a.respond(h, h.advance(500))...)
	c.Assert(starts, qt.HasLen, 1)
	c.Assert(starts[0].Worker, qt.Equals, WorkerID("w001"))
}
