package planner

import (
	"cmp"
	"slices"
	"strings"
	"unicode/utf8"

	"redwingvale/internal/jobs"
)

// A worker that drains gets no new tasks. The leader records that it is closed, and
// the tasks that may still run there or whose ends may not be in the log yet. If the
// worker leaves and the leader changes, the successor then holds back these tasks
// only, instead of every task that it has found nowhere.
//
// The list is complete when it is recorded: the worker has reported with this term's
// token, so that it refuses the starts of former leaders, and nothing starts there
// before the log says again that the worker is open.

// closedCheckMS is the minimum time between two checks of a closed worker's list,
// which only shrinks.
const closedCheckMS = 100

// closure is what the log says about the closing of a worker.
type closure struct {
	// closed is set while the worker's record says that nothing starts there.
	closed bool
	// tasks is the record's list, sorted. It stays as it is until it has become
	// empty, so that a drain takes two writes.
	tasks     []jobs.Task
	checkedMS int64
	// held is the predecessor's list until the worker is settled: none of these
	// tasks starts before.
	held []jobs.Task
	// unrecorded are the ends that may not be in the log yet.
	unrecorded []unrecordedEnd
	// unmatched are the tasks that the newest report lists as running without a run
	// of this leader.
	unmatched []jobs.Task
}

type unrecordedEnd struct {
	number int64
	task   jobs.Task
}

// open withdraws the closing of a worker; the record without it has to follow.
func (cl *closure) open() { cl.closed, cl.tasks = false, nil }

// acknowledged drops the ends that the log holds.
func (cl *closure) acknowledged(number int64) {
	cl.unrecorded = slices.DeleteFunc(cl.unrecorded, func(e unrecordedEnd) bool { return e.number <= number })
}

// possibleTasks returns the tasks that may run on the worker or whose ends may not be
// in the log yet, sorted. The worker must have reported all of its runs and ends.
func (w *worker) possibleTasks() []jobs.Task {
	var tasks []jobs.Task
	for _, runs := range [2][]*run{w.runs, w.ended} {
		for _, r := range runs {
			tasks = append(tasks, r.ref)
		}
	}
	for _, e := range w.closure.unrecorded {
		tasks = append(tasks, e.task)
	}
	for i := range w.orphans {
		tasks = append(tasks, w.orphans[i].task.Task)
	}
	tasks = append(tasks, w.closure.unmatched...)
	slices.SortFunc(tasks, compareTasks)
	return slices.Compact(tasks)
}

func compareTasks(a, b jobs.Task) int {
	return cmp.Or(strings.Compare(string(a.Job), string(b.Job)), cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// checkClosed closes a draining worker, opens one that no longer drains, and empties
// the list of a closed one once none of its tasks can run there.
func (c *Core) checkClosed(w *worker) {
	cl := &w.closure
	switch {
	case w.dead || cl.held != nil:
		// Only the predecessor's list says what may run there.
	case cl.closed && w.reported && !w.info.Draining:
		c.openWorker(w, "no longer draining")
	case !cl.closed && !c.mayClose(w), c.now.MS-cl.checkedMS < closedCheckMS:
	case !cl.closed:
		cl.checkedMS = c.now.MS
		c.closeWorker(w)
	default:
		cl.checkedMS = c.now.MS
		tasks := w.possibleTasks()
		added := func(t jobs.Task) bool {
			_, found := slices.BinarySearchFunc(cl.tasks, t, compareTasks)
			return !found
		}
		switch {
		case slices.ContainsFunc(tasks, added):
			c.openWorker(w, "more tasks than recorded")
		case len(tasks) == 0 && len(cl.tasks) > 0:
			cl.tasks = nil
			c.markWorkerDirty(w.info.ID)
		}
	}
}

// mayClose reports whether nothing starts on a worker any more and all that may run
// there is known. The present record must be in the log: it is what the list replaces.
func (c *Core) mayClose(w *worker) bool {
	return w.info.Draining && w.reported && w.confirmed > 0 && !w.moreEnded && w.entryCurrent() && w.recorded
}

// closeWorker closes a worker unless the record would exceed the log's limits.
func (c *Core) closeWorker(w *worker) {
	tasks := w.possibleTasks()
	for _, t := range tasks {
		if parsed, ok := jobs.ParseTask(t.String()); !ok || parsed != t || !utf8.ValidString(t.String()) {
			// A row of a faulty worker: the record could not name the task.
			return
		}
	}
	w.closure.closed, w.closure.tasks = true, tasks
	if record, _ := c.workerRecord(w.info.ID); !c.config.Log.Allows(record) {
		w.closure.open()
		return
	}
	c.markWorkerDirty(w.info.ID)
	c.emit(Decision{Event: "worker_closed", Worker: w.info.ID, Reason: "draining", Details: []Detail{{Name: "tasks", Number: int64(len(tasks))}}})
}

// openWorker lets tasks start on a worker again once the log says so.
func (c *Core) openWorker(w *worker, reason string) {
	w.closure.open()
	c.markWorkerDirty(w.info.ID)
	c.emit(Decision{Event: "worker_opened", Worker: w.info.ID, Reason: reason})
}

// inheritClosure takes over what the predecessor has recorded about the closing of a
// worker. A worker with a list that cannot be read counts as open.
func (c *Core) inheritClosure(w *worker, closed bool, names []string) {
	tasks := make([]jobs.Task, 0, len(names))
	for _, name := range names {
		t, ok := jobs.ParseTask(name)
		if !ok {
			return
		}
		tasks = append(tasks, t)
	}
	if !closed {
		return
	}
	slices.SortFunc(tasks, compareTasks)
	w.closure.closed, w.closure.tasks = true, tasks
	if len(tasks) > 0 {
		w.closure.held = tasks
		c.unsettled = append(c.unsettled, w)
		c.holdTasks(tasks)
	}
}

func (c *Core) holdTasks(tasks []jobs.Task) {
	if c.heldTasks == nil {
		c.heldTasks = map[jobs.Task]bool{}
	}
	for _, t := range tasks {
		c.heldTasks[t] = true
	}
}

// heldBack reports whether a closed worker that has not reported may still run a task
// or list an end of it. In a gang this holds for all members.
func (c *Core) heldBack(t *task) bool {
	if len(c.heldTasks) == 0 || c.disabled.heldTasks {
		return false
	}
	if !t.step.spec.Gang {
		return c.heldTasks[t.ref()]
	}
	for i := range t.step.tasks {
		if c.heldTasks[t.step.tasks[i].ref()] {
			return true
		}
	}
	return false
}

// settleClosed releases the tasks that were held back for closed workers that have
// reported since, or whose leases must have expired.
func (c *Core) settleClosed() {
	if len(c.unsettled) == 0 {
		return
	}
	before := len(c.unsettled)
	c.unsettled = slices.DeleteFunc(c.unsettled, func(w *worker) bool {
		reason := c.settledBy(w)
		if reason == "" {
			return false
		}
		c.emit(Decision{Event: "closed_worker_settled", Worker: w.info.ID, Reason: reason, AgeMS: c.now.MS - c.termStartMS, Details: []Detail{{Name: "tasks", Number: int64(len(w.closure.held))}}})
		w.closure.held = nil
		return true
	})
	if len(c.unsettled) == before {
		return
	}
	clear(c.heldTasks)
	for _, w := range c.unsettled {
		c.holdTasks(w.closure.held)
	}
	c.placementDue = true
}

// settledBy says why nothing that a former leader started on a closed worker is
// unknown any more; it returns "" before.
func (c *Core) settledBy(w *worker) string {
	switch {
	case w.dead:
		return "dead: " + w.deadReason
	case w.reported && !w.moreEnded:
		return "report"
	case w.reported && c.leaseOverUnrenewed(w), !w.reported && c.settledMS()-c.termStartMS > c.inheritedLeaseMS(w):
		return "time"
	}
	return ""
}
