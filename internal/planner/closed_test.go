package planner

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

var (
	drainingWorker = func() WorkerInfo {
		info := testWorker
		info.Draining, info.RemainingMS = true, 2000
		return info
	}()
	otherWorker = WorkerInfo{ID: "v", Address: "b", Service: "s", Capacity: testWorker.Capacity, StartedMS: 7}
)

// recorded returns the log's record of the worker "w".
func (h *harness) recorded(c *qt.C) (k recordedWorker) {
	c.Assert(json.Unmarshal(h.core.stateMachine.Workers["w"], &k), qt.IsNil)
	return k
}

// newDrain returns a leader whose worker "w" runs the first task of the job "j" and
// drains; the second task waits.
func newDrain(t *testing.T, step jobs.Step) *harness {
	h := newHarness(safeguards{})
	h.join(testWorker)
	step.Count, step.CPUMilli, step.EstimateMS = 2, cmp.Or(step.CPUMilli, 20_000), 900
	s, _ := findEffect[Start](h.submit(t, "j", step))
	h.step(StartDone{Worker: "w", Task: s.Task, Run: s.Run, Token: s.Token, Outcome: Done})
	h.confirmWrites(h.advance(40))
	h.step(WorkersChanged{Workers: []WorkerInfo{drainingWorker, otherWorker}})
	h.confirmWrites(h.advance(200))
	return h
}

// nextAfterDrain returns the leader of the next term, with the given list of workers.
func (h *harness) nextAfterDrain(workers ...WorkerInfo) *harness {
	config := h.core.config
	config.FirstTerm, config.PriorLeaseMS = false, config.LeaseMS
	next := &harness{now: h.now + 100}
	next.core = New(config, h.core.stateMachine, h.core.epoch+1, next.time())
	next.step(QueuesChanged{Queues: []Queue{testQueue}})
	next.confirmWrites(next.step(WorkersChanged{Workers: workers}))
	next.confirmWrites(next.advance(40))
	return next
}

// startedAfter reports the worker "v" for some time and returns the indexes of the
// tasks that this leader has started there.
func (h *harness) startedAfter(ms int64, running ...RunningTask) (indexes []int) {
	for end := h.now + ms; h.now < end; {
		h.confirmWrites(h.report(otherWorker, Report{StartedMS: 7, ClockMS: h.now, Running: running}))
		h.confirmWrites(h.advance(40))
	}
	for _, r := range h.core.workers["v"].runs {
		if !r.adopted {
			indexes = append(indexes, r.task.index)
		}
	}
	slices.Sort(indexes)
	return indexes
}

// TestClosedWorkerDelaysItsTasksOnly guards against successors that start nothing for
// the length of a lease because workers have left, and against a second run of a task
// that a silent worker still runs. It holds for every successor of the leader that
// closed the worker.
func TestClosedWorkerDelaysItsTasksOnly(t *testing.T) {
	for _, test := range []struct {
		name string
		// then happens after the other task has started.
		then func(h *harness)
		want []int
	}{
		{"silent", func(*harness) {}, []int{1}},
		{"its lease is over", func(h *harness) { h.startedAfter(6500) }, []int{0, 1}},
		{"reports the run", func(h *harness) {
			h.report(drainingWorker, Report{StartedMS: 7, ClockMS: 900, Running: []RunningTask{{Task: jobs.Task{Job: "j"}, Run: 1}}})
		}, []int{1}},
		{"reports nothing", func(h *harness) { h.report(drainingWorker, Report{StartedMS: 7, ClockMS: 900}) }, []int{0, 1}},
		{"has more ends", func(h *harness) {
			h.report(drainingWorker, Report{StartedMS: 7, ClockMS: 900, MoreEnded: true})
		}, []int{1}},
		{"another worker answers", func(h *harness) {
			h.step(HoldDone{Worker: "w", Address: "a", Outcome: WrongWorker})
		}, []int{0, 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newDrain(t, jobs.Step{})
			for range 3 {
				c.Assert(h.recorded(c).Tasks, qt.DeepEquals, []string{"j.0.0.0"})
				h = h.nextAfterDrain(otherWorker)
			}
			c.Assert(h.startedAfter(300), qt.DeepEquals, []int{1})
			h.core.workers["v"].info.Capacity.CPUMilli = 64_000
			test.then(h)
			c.Assert(h.startedAfter(300), qt.DeepEquals, test.want)
		})
	}
}

// TestListedTaskOnOtherWorker guards against a start, and a run beyond the attempt
// limit, of a listed task that another worker runs: it is adopted, but not started
// again before the closed worker is settled.
func TestListedTaskOnOtherWorker(t *testing.T) {
	for _, test := range []struct {
		step jobs.Step
		// before and after are the tasks that start before and after w reports.
		before, after []int
	}{
		{jobs.Step{}, []int{1}, []int{0, 1}},
		{jobs.Step{LongRunning: true}, []int{1}, []int{0, 1}},
		{jobs.Step{Gang: true, CPUMilli: 10_000}, nil, []int{0, 1}},
	} {
		c := qt.New(t)
		h := newDrain(t, test.step).nextAfterDrain(otherWorker)
		run := RunningTask{Task: jobs.Task{Job: "j"}, Run: 2}
		h.startedAfter(100, run)
		c.Assert(h.core.jobs["j"].open[0].steps[0].tasks[0].runs, qt.HasLen, 1)
		h.core.workers["v"].info.Capacity.CPUMilli = 64_000
		h.confirmWrites(h.report(otherWorker, Report{StartedMS: 7, ClockMS: h.now, Ended: []EndedTask{ended(1, 0, 2, EndFailed)}}))
		c.Check(h.startedAfter(300), qt.DeepEquals, test.before)
		h.confirmWrites(h.report(drainingWorker, Report{StartedMS: 7, ClockMS: 900}))
		c.Check(h.startedAfter(300), qt.DeepEquals, test.after)
	}
}

// TestClosedRecordListsAllThatIsUnknown guards against a successor that starts a task
// whose start is unresolved, whose end its worker has not listed or the log does not
// hold, or that belongs to a job which the log does not hold.
func TestClosedRecordListsAllThatIsUnknown(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.confirmWrites(h.submit(t, "j", jobs.Step{Count: 5, CPUMilli: 100, EstimateMS: 900}))
	h.confirmWrites(h.advance(40))
	w := h.core.workers["w"]
	c.Assert(w.runs, qt.HasLen, 5)
	report := Report{StartedMS: 7, ClockMS: 300, MoreEnded: true, Running: []RunningTask{{Task: jobs.Task{Job: "gone"}, Run: 1}}}
	for _, r := range slices.Clone(w.runs) {
		switch r.task.index {
		case 0:
			h.step(StartDone{Worker: "w", Task: r.ref, Run: 1, Token: r.token, Outcome: OutcomeUnknown})
		case 1, 2:
			h.step(StartDone{Worker: "w", Task: r.ref, Run: 1, Token: r.token, Outcome: Done})
		}
	}
	h.now += 100
	report.Ended = []EndedTask{ended(1, 1, 1, EndDone)}
	effects := slices.Clone(h.report(testWorker, report))
	possible := func() string {
		var names []string
		for _, task := range w.possibleTasks() {
			names = append(names, task.String())
		}
		return strings.Join(names, " ")
	}
	c.Check(possible(), qt.Equals, "gone.0.0.0 j.0.0.0 j.0.0.1 j.0.0.2 j.0.0.3 j.0.0.4")
	h.confirmWrites(append(effects, h.step(WorkersChanged{Workers: []WorkerInfo{drainingWorker}})...))
	h.confirmWrites(h.advance(200))
	// The end of the second task is in the log, those of others are not listed yet.
	c.Check(possible(), qt.Equals, "gone.0.0.0 j.0.0.0 j.0.0.2 j.0.0.3 j.0.0.4")
	c.Check(h.recorded(c).Closed, qt.IsFalse)
}

// TestRecordOfClosedWorker guards against starts on a worker that the log holds as
// closed, against a list that grows while it stands, and against a write for each end.
func TestRecordOfClosedWorker(t *testing.T) {
	c := qt.New(t)
	h := newDrain(t, jobs.Step{CPUMilli: 10_000})
	list := []string{"j.0.0.0", "j.0.0.1"}
	c.Check(h.recorded(c).Tasks, qt.DeepEquals, list)
	end := func(number int64, index int) {
		h.confirmWrites(h.report(drainingWorker, Report{StartedMS: 7, ClockMS: h.now, Ended: []EndedTask{ended(number, index, 1, EndFailed)}}))
		h.confirmWrites(h.advance(300))
	}
	end(1, 0)
	c.Check(h.recorded(c).Tasks, qt.DeepEquals, list)
	end(2, 1)
	c.Check(h.recorded(c).Tasks, qt.HasLen, 0)
	c.Check(h.recorded(c).Closed, qt.IsTrue)

	// Both tasks wait for a worker. Nothing starts before the log holds it as open.
	effects := slices.Clone(h.step(WorkersChanged{Workers: []WorkerInfo{testWorker}}))
	effects = append(append(effects, h.report(testWorker, Report{StartedMS: 7, ClockMS: h.now})...), h.advance(300)...)
	c.Check(allStarts(effects), qt.HasLen, 0)
	h.confirmWrites(effects)
	c.Check(h.recorded(c).Closed, qt.IsFalse)
	h.confirmWrites(h.advance(100))
	c.Check(h.core.workers["w"].runs, qt.HasLen, 2)
}

// TestWorkerThatCannotBeClosed guards against starts that do not wait for a worker of
// which the log does not say what may run there: its list does not fit into a record
// or cannot be read, or a later incarnation is known.
func TestWorkerThatCannotBeClosed(t *testing.T) {
	later := drainingWorker
	later.StartedMS = 8
	for name, change := range map[string]func(h *harness) (list []WorkerInfo){
		"fits": func(h *harness) []WorkerInfo { return nil },
		"too large": func(h *harness) []WorkerInfo {
			h.core.openWorker(h.core.workers["w"], "test")
			h.core.config.Log.Record = len(h.core.stateMachine.Workers["w"])
			return nil
		},
		"unreadable": func(h *harness) []WorkerInfo {
			record := h.core.stateMachine.Workers["w"]
			h.core.stateMachine.Workers["w"] = []byte(strings.Replace(string(record), "j.0.0.0", "j.0.0", 1))
			return nil
		},
		"restarted": func(*harness) []WorkerInfo { return []WorkerInfo{later} },
	} {
		c := qt.New(t)
		h := newDrain(t, jobs.Step{})
		list := append(change(h), otherWorker)
		h.confirmWrites(h.advance(300))
		c.Check(h.recorded(c).Closed, qt.Equals, name != "too large")
		started := h.nextAfterDrain(list...).startedAfter(300)
		c.Check(len(started) > 0, qt.Equals, name == "fits", qt.Commentf(name))
	}
}
