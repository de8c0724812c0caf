package planner

import (
	"fmt"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// newOverloadHarness returns a harness with the overload control on.
func newOverloadHarness() *harness {
	h := newHarness(safeguards{})
	h.core.config.Overload = true
	h.core.config.StopTimeoutMS, h.core.config.RestoreMS = 500, 500
	return h
}

// narrowWorker has room for one task of 1,000 thousandths of a core.
func narrowWorker() WorkerInfo {
	w := testWorker
	w.Capacity = Resources{CPUMilli: 1000, MemoryMB: 64_000}
	return w
}

// Guards against a job that has nearly finished and waits behind every job that has
// not begun: its value is divided by the work that is left.
func TestRankFollowsWorkLeft(t *testing.T) {
	c := qt.New(t)
	h := newOverloadHarness()
	h.submit(t, "half", jobs.Step{Count: 4, CPUMilli: 1000, EstimateMS: 1000}, jobs.Step{Count: 4, CPUMilli: 1000, EstimateMS: 1000, After: []int{0}})
	h.submit(t, "fresh", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 100})
	h.submit(t, "serving", jobs.Step{Count: 4, CPUMilli: 1000, EstimateMS: 1000, LongRunning: true})
	rank := func(id jobs.ID, step int) int64 {
		return h.core.rankOf(h.core.jobs[id].open[0].steps[step]).value
	}
	c.Check(rank("half", 0), qt.Equals, int64(rankSteps))
	for i := range 4 {
		h.core.finishTask(&h.core.jobs["half"].open[0].steps[0].tasks[i])
	}
	c.Check(rank("half", 1), qt.Equals, int64(2*rankSteps))
	h.core.jobs["half"].open[0].steps[1].activeRuns = 4
	c.Check(rank("half", 1), qt.Equals, int64(rankSteps/minFractionLeft))
	c.Check(rank("fresh", 0), qt.Equals, int64(rankSteps))
	h.now += 1500
	h.step(Tick{})
	c.Check(rank("fresh", 0), qt.Equals, int64(rankSteps*lateValue))
	h.now += 8000
	h.step(Tick{})
	c.Check(rank("fresh", 0), qt.Equals, int64(0))
	c.Check(rank("serving", 0), qt.Equals, int64(rankSteps))
}

// Guards against a job that never starts beside a stream of jobs that are in time,
// and against one that takes all of the capacity once it has waited for long: it gets
// one start within 30 s, and then its former place.
func TestStarvationBound(t *testing.T) {
	c := qt.New(t)
	h := newOverloadHarness()
	narrow := narrowWorker()
	h.join(narrow)
	task := jobs.Step{Count: 1, CPUMilli: 1000, EstimateMS: 500}
	var ended []EndedTask
	var running []RunningTask
	var lastOld int64
	oldStarts, begun := 0, h.now
	handle := func(effects []Effect) {
		h.confirmWrites(effects)
		for _, e := range effects {
			start, ok := e.(Start)
			if !ok {
				continue
			}
			running = []RunningTask{{Task: start.Task, Run: start.Run}}
			if start.Task.Job == "old" {
				oldStarts++
				c.Check(h.now-max(lastOld, begun) <= starvationMS+2000, qt.IsTrue, qt.Commentf("%d ms without a start", h.now-lastOld))
				lastOld = h.now
			}
		}
	}
	handle(h.submit(t, "first", task))
	wide := task
	wide.Count = 40
	handle(h.submit(t, "old", wide))
	const seconds = 120
	for i := range 2 * seconds {
		handle(h.submit(t, jobs.ID(fmt.Sprint("stream", i)), task))
		handle(h.advance(480))
		for _, r := range running {
			ended = append(ended, EndedTask{Number: int64(len(ended) + 1), Task: r.Task, Run: r.Run, Kind: EndDone})
		}
		running = nil
		handle(append([]Effect(nil), h.report(narrow, Report{StartedMS: 7, ClockMS: 200 + h.now - begun, Ended: ended})...))
		handle(h.advance(20))
	}
	c.Check(oldStarts >= seconds*1000/(starvationMS+2000), qt.IsTrue, qt.Commentf("%d starts", oldStarts))
	c.Check(oldStarts <= seconds*1000/agingAfterMS, qt.IsTrue, qt.Commentf("%d starts", oldStarts))
}

// pausedRun returns a harness with two workers and a slowed best-effort task that has
// done some of its work.
func pausedRun(t *testing.T, overload bool, percent int, checkpoint string) (*harness, *worker, *run) {
	h := newOverloadHarness()
	h.core.config.Overload = overload
	other := testWorker
	other.ID, other.Address = "v", "b"
	h.confirmWrites(h.step(WorkersChanged{Workers: []WorkerInfo{testWorker, other}}))
	h.confirmWrites(h.report(testWorker, Report{StartedMS: 7, ClockMS: 100}))
	h.confirmWrites(h.report(other, Report{StartedMS: 7, ClockMS: 100}))
	h.submit(t, "fill", jobs.Step{Count: 3, CPUMilli: 1000, BestEffort: true, Checkpointing: true, Image: "fill", EstimateMS: 10_000})
	tasks := h.core.jobs["fill"].open[0].steps[0].tasks
	r := tasks[0].runs[0]
	r.phase, r.confirmedMS = running, h.now
	h.now += 2000
	rows := []RunningTask{{Task: r.ref, Run: 1, Percent: percent, Checkpoint: checkpoint}}
	info := testWorker
	if r.worker.info.ID == "v" {
		info = other
	}
	for _, w := range h.core.sortedWorkers {
		w.reportedMS = h.now
	}
	h.report(info, Report{StartedMS: 7, ClockMS: 2200, Running: rows})
	h.core.now = h.time()
	r.pace = moveBelow - 1
	h.core.effects = nil
	r.worker.interference.lastMoveMS = 0
	return h, r.worker, r
}

func (h *harness) moves(w *worker) bool {
	h.core.effects = nil
	h.core.moveBestEffort(w)
	_, stopped := findEffect[Stop](h.core.effects)
	return stopped
}

// Guards against a move that loses more work than it gains. The task takes 10 s and
// is slowed to 39 of 100; a stop and a restore take 1 s, and a move has to gain 1 s.
func TestMoveCountsLostWork(t *testing.T) {
	for _, test := range []struct {
		name            string
		percent         int
		checkpoint      string
		overload, moved bool
	}{
		{"5 s of work lost, 7.8 s gained", 50, "", true, true},
		{"8 s of work lost, 3.1 s gained", 80, "", true, false},
		{"nothing lost, 3.1 s gained", 80, "half", true, true},
		{"nothing lost, 1.5 s gained", 90, "half", true, false},
		{"lost work does not count while the setting is off", 80, "", false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, w, _ := pausedRun(t, test.overload, test.percent, test.checkpoint)
			qt.Check(t, h.moves(w), qt.Equals, test.moved)
		})
	}
}

// Guards against a task that is stopped again and again for the same reason before
// its runs can gain anything.
func TestStopPause(t *testing.T) {
	c := qt.New(t)
	h, w, r := pausedRun(t, true, 50, "half")
	c.Assert(h.moves(w), qt.IsTrue)
	c.Assert(r.task.stopped, qt.IsTrue)
	r.phase = running
	h.core.now.MS += stopPauseMS - 1
	r.worker.reportedMS, w.reportedMS = h.core.now.MS, h.core.now.MS
	for _, other := range h.core.sortedWorkers {
		other.reportedMS = h.core.now.MS
	}
	c.Check(h.moves(w), qt.IsFalse)
	c.Check(h.core.mayStopAgain(r.task, stopSlow), qt.IsTrue)
	h.core.now.MS++
	c.Check(h.moves(w), qt.IsTrue)
}

// Guards against a stopped task that waits behind the tasks of its step that never
// ran, and against a change of that order while the setting is off.
func TestStoppedTaskComesFirst(t *testing.T) {
	for _, overload := range []bool{true, false} {
		c := qt.New(t)
		h := newOverloadHarness()
		h.core.config.Overload = overload
		h.submit(t, "j", jobs.Step{Count: 4, CPUMilli: 1000, EstimateMS: 1000})
		s := h.core.jobs["j"].open[0].steps[0]
		w := &worker{entry: entry{info: testWorker}}
		for _, i := range []int{2, 3} {
			r := &run{task: &s.tasks[i], worker: w, phase: running}
			h.core.attach(r)
			h.core.stopForReplacement(r, stopSlow)
			h.core.detach(r)
			h.core.afterRun(r.task)
		}
		var order []int
		for _, waiting := range s.pending {
			order = append(order, waiting.index)
		}
		want := []int{0, 1, 2, 3}
		if overload {
			want = []int{2, 3, 0, 1}
		}
		c.Check(order, qt.DeepEquals, want)
	}
}

// Guards against a task whose checkpoint is lost with a draining worker, because a
// stop a moment before forbids another one.
func TestDrainingStopIsNotDelayedPastDeparture(t *testing.T) {
	c := qt.New(t)
	h := newOverloadHarness()
	w := &worker{entry: entry{info: testWorker}}
	w.drain.departureMS = h.now + 2000
	c.Check(h.core.mustLeaveNow(w), qt.IsTrue)
	w.drain.departureMS = h.now + 60_000
	c.Check(h.core.mustLeaveNow(w), qt.IsFalse)
}

// BenchmarkPlace measures a pass over 2,000 waiting steps while a few workers change.
// The jobs differ in size, progress and age.
func BenchmarkPlace(b *testing.B) {
	for _, workers := range []int{48, 350, 3500} {
		for _, overload := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/overload=%v", workers, overload), func(b *testing.B) {
				h, infos := newIdleSite(workers)
				h.core.config.Overload = overload
				for _, w := range h.core.sortedWorkers {
					w.used = Resources{CPUMilli: 31_000}
					w.reportedMS = math.MaxInt64 / 2
				}
				for i := range 2000 {
					step := jobs.Step{Count: 10, CPUMilli: 1500 + i%7*100, EstimateMS: 200 + i*37%3000}
					last := step
					last.After = []int{0}
					encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "q", Steps: []jobs.Step{step, last}})
					if err != nil {
						b.Fatal(err)
					}
					h.now += 5
					h.step(SubmitRequested{RequestID: 1, ID: jobs.ID(fmt.Sprintf("wide%06d", i)), Encoded: encoded})
				}
				for i, s := range h.core.ready {
					s.occurrence.steps[0].done = i % 5
				}
				b.ReportAllocs()
				n := 0
				for b.Loop() {
					n++
					h.now += minPassIntervalMS
					h.core.now = h.time()
					h.core.placementDue = true
					h.core.effects = h.core.effects[:0]
					for k := range 8 {
						h.core.markChanged(h.core.workers[infos[(n*8+k)%workers].ID])
					}
					h.core.schedule()
				}
				if len(h.core.ready) != 2000 {
					b.Fatalf("%d steps wait", len(h.core.ready))
				}
			})
		}
	}
}
