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

// Guards against work that stands still beside reservations for a wide step although
// it would not delay that step: tasks that are over before the room can be used, that
// fit beside the step, or that fit on a worker that it does not need.
func TestWorkRunsBesideReservations(t *testing.T) {
	for _, test := range []struct {
		name           string
		workers, count int
		step           jobs.Step
	}{
		{"over before the room can be used", 1, 2, jobs.Step{CPUMilli: 4000, EstimateMS: 500}},
		{"fits beside the wide step", 1, 2, jobs.Step{CPUMilli: 1000, EstimateMS: 300_000}},
		{"lasts, and fits beside the wide step", 1, 2, jobs.Step{CPUMilli: 1000, EstimateMS: 300, LongRunning: true}},
		{"fits on the other workers", 4, 6, jobs.Step{CPUMilli: 4000, EstimateMS: 300_000}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			sim := newWideWorkers(test.workers)
			sim.addSteps("batch", "long", jobs.Step{Count: test.workers, CPUMilli: 8000, MemoryMB: 500, EstimateMS: 60_000, MaxPerWorker: 1})
			sim.run(sim.now + 2000)
			sim.addSteps("urgent", "wide", jobs.Step{Count: test.workers, CPUMilli: 30_000, MemoryMB: 500, EstimateMS: 1000})
			sim.run(sim.now + 2000)
			submittedMS := sim.now
			test.step.Count, test.step.MemoryMB = test.count, 500
			sim.addSteps("batch", "narrow", test.step)
			sim.run(sim.now + 10_000)
			c.Assert(sim.violations, qt.HasLen, 0)
			started := sim.startedMS("narrow")
			c.Assert(started >= submittedMS && started < submittedMS+1000, qt.IsTrue, qt.Commentf("submitted at %d, started at %d", submittedMS, started))
			sim.run(sim.now + 60_000)
			c.Assert(sim.startedMS("wide") > 0, qt.IsTrue)
		})
	}
}

// Guards against a wide step that starves, or waits much longer than the runs in its
// way, behind a stream of narrow tasks whose estimates are wrong.
func TestReservationBoundsDelay(t *testing.T) {
	const longMS, narrowMS = 5000, 3000
	for _, estimateMS := range []int{50, narrowMS, 20_000} {
		t.Run(fmt.Sprint("estimate ", estimateMS), func(t *testing.T) {
			c := qt.New(t)
			sim := newWideWorkers(1)
			sim.duration = func(t jobs.Task) int64 {
				if t.Job == "long" {
					return longMS
				}
				return narrowMS
			}
			sim.addSteps("batch", "long", jobs.Step{Count: 1, CPUMilli: 8000, MemoryMB: 500, EstimateMS: longMS})
			sim.run(sim.now + 1000)
			submittedMS := sim.now
			sim.addSteps("urgent", "wide", jobs.Step{Count: 1, CPUMilli: 30_000, MemoryMB: 500, EstimateMS: 1000})
			for i := range 100 {
				sim.at(int64(i)*200, func() {
					sim.addSteps("batch", fmt.Sprintf("narrow%03d", i), jobs.Step{Count: 1, CPUMilli: 3000, MemoryMB: 500, EstimateMS: estimateMS})
				})
			}
			sim.run(sim.now + 25_000)
			c.Assert(sim.violations, qt.HasLen, 0)
			started := sim.startedMS("wide")
			c.Assert(started > 0 && started-submittedMS <= longMS+narrowMS+500, qt.IsTrue, qt.Commentf("started after %d ms", started-submittedMS))
		})
	}
}
