package framework

import (
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// The wait after the nth failure in a row of one task is
//
//	firstRetryWait * 2^(n-1), at most lastRetryWait
const (
	firstRetryWait = time.Second
	lastRetryWait  = time.Minute
)

// maxRemembered bounds the tasks whose past each memory below keeps.
const maxRemembered = 8192

// fifo remembers which keys are oldest, to bound a memory.
type fifo struct{ ids []spec.TaskID }

// add notes a new key and returns the one to drop, if any.
func (f *fifo) add(id spec.TaskID) (spec.TaskID, bool) {
	f.ids = append(f.ids, id)
	if len(f.ids) <= maxRemembered {
		return spec.TaskID{}, false
	}
	oldest := f.ids[0]
	f.ids = f.ids[1:]
	return oldest, true
}

// retry is the backing off of one task.
type retry struct {
	failures int
	until    time.Duration
}

// retries keeps the tasks whose last attempt failed or never started.
type retries struct {
	byTask map[spec.TaskID]retry
	order  fifo
}

func newRetries() retries { return retries{byTask: map[spec.TaskID]retry{}} }

// ended notes how an attempt ended.
func (r *retries) ended(id spec.TaskID, end policy.EndKind, now time.Duration) {
	if end != policy.EndFailed && end != policy.EndNotStarted {
		r.drop(id)
		return
	}
	entry, known := r.byTask[id]
	entry.failures++
	wait := min(firstRetryWait<<min(entry.failures-1, 10), lastRetryWait)
	entry.until = now + wait
	r.byTask[id] = entry
	if known {
		return
	}
	if oldest, full := r.order.add(id); full {
		r.drop(oldest)
	}
}

func (r *retries) wait(id spec.TaskID) time.Duration { return r.byTask[id].until }

func (r *retries) drop(id spec.TaskID) {
	if len(r.byTask) > 0 {
		delete(r.byTask, id)
	}
}

// history keeps why tasks were moved, for Explain.
type history struct {
	byTask map[spec.TaskID]policy.Reason
	order  fifo
}

func newHistory() history { return history{byTask: map[spec.TaskID]policy.Reason{}} }

func (h *history) add(id spec.TaskID, reason policy.Reason) {
	_, known := h.byTask[id]
	h.byTask[id] = reason
	if known {
		return
	}
	if oldest, full := h.order.add(id); full {
		delete(h.byTask, oldest)
	}
}

func (h *history) drop(id spec.TaskID) { delete(h.byTask, id) }

// moveLog keeps when long-running tasks were moved within the last day.
type moveLog struct {
	byTask map[spec.TaskID][]time.Duration
	order  fifo
}

// moveWindow is the time over which moves of a long-running task count.
const moveWindow = 24 * time.Hour

func newMoveLog() moveLog { return moveLog{byTask: map[spec.TaskID][]time.Duration{}} }

// count returns the moves of a task within the window. Moves that happened
// before this owner saw the task count as if they had just happened.
func (m *moveLog) count(t *Item, now time.Duration) int {
	times, known := m.byTask[t.ID]
	if !known {
		for range t.Moves {
			times = append(times, now)
		}
		m.keep(t.ID, times)
	}
	for len(times) > 0 && times[0]+moveWindow <= now {
		times = times[1:]
	}
	m.byTask[t.ID] = times
	return len(times)
}

func (m *moveLog) add(id spec.TaskID, now time.Duration) {
	m.byTask[id] = append(m.byTask[id], now)
}

func (m *moveLog) keep(id spec.TaskID, times []time.Duration) {
	m.byTask[id] = times
	if oldest, full := m.order.add(id); full {
		delete(m.byTask, oldest)
	}
}
