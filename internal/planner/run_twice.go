package planner

import (
	"cmp"
	"slices"

	"redwingvale/internal/jobs"
)

// maxRunsTwice bounds the memory of the second runs that have been logged.
const maxRunsTwice = 1000

// workerRun names a run on a worker.
type workerRun struct {
	task   jobs.Task
	run    int
	worker WorkerID
}

// noteSecondRun logs a run that a worker lists and this leader does not know, if the
// run's task already has another one or is done.
func (c *Core) noteSecondRun(w *worker, rt *RunningTask, sentMS int64) {
	if rt.Run > maxRun {
		return
	}
	t := c.taskOf(rt.Task)
	switch {
	case t == nil:
		if c.doneBefore(rt.Task, sentMS) {
			c.logRunTwice(w, rt.Task, rt.Run, nil, "listed, job has ended")
		}
	case t.step.spec.Speculative:
	case len(t.runs) > 0:
		c.logRunTwice(w, rt.Task, rt.Run, t.runs[0], "listed")
	case t.last.isDone() || t.done && !t.step.spec.Gang:
		// The end of one member completes its whole gang.
		c.logRunTwice(w, rt.Task, rt.Run, t.last, "listed, task is done")
	}
}

// doneBefore reports whether the log holds a task as done, and its job as final since
// before the given time.
func (c *Core) doneBefore(ref jobs.Task, ms int64) bool {
	entry := c.stateMachine.SubmittedEntry(ref.Job)
	if entry == nil || entry.Job == nil || entry.Progress == nil || !entry.Job.HasStep(ref.Occurrence, ref.Step) {
		return false
	}
	spec := &entry.Job.Steps[ref.Step]
	return !spec.Speculative && !spec.Gang && ref.Index >= 0 && ref.Index < spec.Count &&
		entry.Progress.IsDone(entry.Job, ref) && c.now.MS-ms < c.now.UnixMS-entry.Progress.EndedMS
}

// noteSecondDone logs the end of a run as done if another run of its task is active or
// has ended as done.
func (c *Core) noteSecondDone(w *worker, t *task, end *EndedTask) {
	if end.Kind != EndDone || t.step.spec.Speculative {
		return
	}
	if i := slices.IndexFunc(t.runs, func(r *run) bool { return !r.isOn(w, end.Run) }); i >= 0 {
		c.logRunTwice(w, end.Task, end.Run, t.runs[i], "ended as done")
	} else if t.last.isDone() && !t.last.isOn(w, end.Run) {
		c.logRunTwice(w, end.Task, end.Run, t.last, "ended as done, task is done")
	}
}

// isDone reports whether the run is known to have ended as done.
func (r *run) isDone() bool { return r != nil && r.over == string(EndDone) }

// isOn reports whether r is the worker's run with a number. A worker that leaves and
// returns is the same one.
func (r *run) isOn(w *worker, number int) bool {
	return r != nil && r.worker.info.ID == w.info.ID && r.number == number
}

// setLast remembers the last run of a task that is over, or the one that completed it.
func (t *task) setLast(r *run, nowMS int64) {
	r.overMS = nowMS
	if !t.last.isDone() {
		t.last = r
	}
}

// logRunTwice logs once that a task has a second run: that of w, beside another one,
// which may be unknown.
func (c *Core) logRunTwice(w *worker, ref jobs.Task, number int, other *run, reason string) {
	key := workerRun{ref, number, w.info.ID}
	if c.runsTwice[key] {
		return
	}
	if c.runsTwice == nil || len(c.runsTwice) == maxRunsTwice {
		c.runsTwice = map[workerRun]bool{}
	}
	c.runsTwice[key] = true
	d := Decision{Event: "run_twice", Warn: true, Job: ref.Job, Task: ref.String(), Run: number, Worker: w.info.ID, Reason: reason}
	number64 := func(name string, value int64) { d.Details = append(d.Details, Detail{Name: name, Number: value}) }
	text := func(name, value string) { d.Details = append(d.Details, Detail{Name: name, Text: value}) }
	age := func(name string, ms int64) {
		if ms > 0 {
			number64(name, c.now.MS-ms)
		}
	}
	text("known_from", c.knownFrom(w))
	age("known_ms", w.addedMS)
	age("first_report_ms", w.firstReportMS)
	if t := c.taskOf(ref); t != nil && t.last.isOn(w, number) {
		// This leader started or adopted the run and counted it as over.
		c.addRun(&d, "", t.last)
	}
	if other != nil {
		number64("other_run", int64(other.number))
		text("other_worker", string(other.worker.info.ID))
		text("other_known_from", c.knownFrom(other.worker))
		c.addRun(&d, "other_", other)
	}
	if j := c.jobs[ref.Job]; j != nil {
		d.Details = append(d.Details, c.startDetails(j)...)
	}
	c.emit(d)
}

// addRun adds what this leader knows of a run to a decision.
func (c *Core) addRun(d *Decision, prefix string, r *run) {
	startedBy := "this leader"
	if r.adopted {
		startedBy = "another leader"
	}
	d.Details = append(d.Details, Detail{Name: prefix + "started_by", Text: startedBy}, Detail{Name: prefix + "state", Text: cmp.Or(r.over, r.phase.String())})
	for _, at := range []struct {
		name string
		ms   int64
	}{{"started_ms", r.sentMS}, {"listed_ms", r.firstReportMS}, {"over_ms", r.overMS}} {
		if at.ms > 0 {
			d.Details = append(d.Details, Detail{Name: prefix + at.name, Number: c.now.MS - at.ms})
		}
	}
}

var runPhaseNames = [...]string{"starting", "start unknown", "running", "stopping", "awaiting end"}

// String returns the phase's name in log lines.
func (p runPhase) String() string { return runPhaseNames[p] }
