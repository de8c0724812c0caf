package planner

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// TestEndsAcknowledgedWhileJobsWait guards against ends that are never
// acknowledged, or acknowledged before they are recorded: on a large deployment
// with a slow log more jobs change during one write than the next one can hold.
func TestEndsAcknowledgedWhileJobsWait(t *testing.T) {
	const (
		jobCount, tasksPerJob = 800, 12
		workerCount           = 8
		writeTakesMS          = 500
	)
	c := qt.New(t)
	h := newHarness(safeguards{})
	workers := make([]WorkerInfo, workerCount)
	for i := range workers {
		workers[i] = testWorker
		workers[i].ID, workers[i].Address = WorkerID(fmt.Sprint("w", i)), fmt.Sprint("a", i)
	}
	h.confirmWrites(h.step(WorkersChanged{Workers: workers}))
	for i := range jobCount {
		h.confirmWrites(h.submit(t, jobs.ID(fmt.Sprintf("%03d", i)), jobs.Step{Count: tasksPerJob, CPUMilli: 32_000, EstimateMS: 900}))
	}
	h.confirmWrites(h.advance(100))

	var outstanding *Write
	var writeEndsMS int64
	handleWrites := func(effects []Effect) {
		for _, e := range effects {
			if w, ok := e.(Write); ok {
				outstanding, writeEndsMS = &w, h.now+writeTakesMS
			}
		}
	}
	listed := map[int64]int64{} // the last end that each worker had listed by a given time
	ends := map[WorkerID][]jobs.Task{}
	checked := map[WorkerID]int64{}
	ended, number := 0, int64(0)
	for ended+3*workerCount <= jobCount*tasksPerJob {
		if outstanding != nil && h.now >= writeEndsMS {
			w := *outstanding
			outstanding = nil
			for _, r := range w.Records {
				_, err := h.core.stateMachine.Apply(r)
				c.Assert(err, qt.IsNil)
			}
			handleWrites(h.step(WriteDone{Seq: w.Seq}))
		}
		for _, info := range workers {
			r := Report{StartedMS: 7, ClockMS: h.now - 1_000_000}
			for k := range int64(3) {
				ref := jobs.Task{Job: jobs.ID(fmt.Sprintf("%03d", ended%jobCount)), Index: ended / jobCount}
				r.Ended = append(r.Ended, EndedTask{Number: number + k + 1, Task: ref, Run: 1, Kind: EndDone})
				ends[info.ID] = append(ends[info.ID], ref)
				ended++
			}
			handleWrites(h.report(info, r))
		}
		number += 3
		listed[h.now] = number
		for _, info := range workers {
			acked, due := h.core.workers[info.ID].ackableEnd, listed[h.now-ackLimitMS]
			for ; checked[info.ID] < acked; checked[info.ID]++ {
				ref := ends[info.ID][checked[info.ID]]
				entry := h.core.stateMachine.SubmittedEntry(ref.Job)
				c.Assert(entry.Progress != nil && entry.Progress.IsDone(entry.Job, ref), qt.IsTrue, qt.Commentf("%s is acknowledged and not recorded", ref))
			}
			c.Assert(acked >= due, qt.IsTrue, qt.Commentf("acknowledged up to %d of %d after %d ms, jobs to record %d", acked, due, ackLimitMS, len(h.core.journal.dirty)))
		}
		h.now += 20
		handleWrites(h.step(Tick{}))
	}
}
