package planner

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// TestSuccessorKnowsEveryWorkerThatMayRunATask guards against a task that runs twice
// after a change of leader: a worker joins while the log does not accept records, gets
// tasks, and its directory entry has lapsed when the successor begins. The successor
// must learn of every worker to which a start was sent.
func TestSuccessorKnowsEveryWorkerThatMayRunATask(t *testing.T) {
	for _, test := range []struct {
		name   string
		joined WorkerInfo
	}{
		{"new worker", WorkerInfo{ID: "new", Address: "b", Service: "s", Capacity: testWorker.Capacity, StartedMS: 9}},
		{"worker restarted at another address", WorkerInfo{ID: "w", Address: "b", Service: "s", Capacity: testWorker.Capacity, StartedMS: 9}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			first := newHarness(safeguards{})
			first.step(QueuesChanged{Queues: []Queue{testQueue}})
			first.join(testWorker)
			first.confirmWrites(first.advance(100))

			// From here on the log does not confirm anything.
			full := testWorker
			full.Draining = true
			listed := []WorkerInfo{test.joined}
			if test.joined.ID != testWorker.ID {
				listed = append(listed, full)
			}
			effects := slices.Clone(first.step(WorkersChanged{Workers: listed}))
			effects = append(effects, first.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 9000})...)
			effects = append(effects, first.report(test.joined, Report{StartedMS: 9, ClockMS: 100})...)
			effects = append(effects, first.advance(500)...)
			for _, e := range effects {
				s, ok := e.(Start)
				if !ok {
					continue
				}
				// The directory lists nothing at the beginning of the successor's term.
				config := first.core.config
				config.FirstTerm = false
				w := New(config, first.core.stateMachine, 2, first.time()).workers[s.Worker]
				c.Assert(w != nil && w.info.Address == s.Address, qt.IsTrue, qt.Commentf("start sent to %s at %s", s.Worker, s.Address))
			}

			// Once the log holds its record, the worker is used.
			first.confirmWrites(effects)
			first.confirmWrites(first.advance(100))
			first.report(test.joined, Report{StartedMS: 9, ClockMS: 700})
			first.advance(100)
			c.Assert(first.core.workers[test.joined.ID].runs, qt.HasLen, 1)
		})
	}
}
