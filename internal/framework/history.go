package framework

import (
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// The backoff after the nth consecutive failure of a task is
//
//	initialBackoff * 2^(n-1), at most maxBackoff
const (
	initialBackoff = time.Second
	maxBackoff     = time.Minute
)

// maxTrackedTasks bounds the tasks in each of the records below.
const maxTrackedTasks = 8192

// fifo keeps tasks in order of insertion, to evict the oldest from a record.
type fifo struct{ ids []spec.TaskID }

// add appends a new task and returns the one to evict, if any.
func (f *fifo) add(id spec.TaskID) (spec.TaskID, bool) {
	f.ids = append(f.ids, id)
	if len(f.ids) <= maxTrackedTasks {
		return spec.TaskID{}, false
	}
	oldest := f.ids[0]
	f.ids = f.ids[1:]
	return oldest, true
}

// backoff is the backoff state of one task.
type backoff struct {
	failures int
	until    time.Duration
}

// backoffs holds the tasks whose last attempt failed or never started.
type backoffs struct {
	byTask map[spec.TaskID]backoff
	order  fifo
}

func newBackoffs() backoffs { return backoffs{byTask: map[spec.TaskID]backoff{}} }

// recordEnd records how an attempt ended.
func (b *backoffs) recordEnd(id spec.TaskID, end policy.EndKind, now time.Duration) {
	if end != policy.EndFailed && end != policy.EndNotStarted {
		b.drop(id)
		return
	}
	entry, known := b.byTask[id]
	entry.failures++
	wait := min(initialBackoff<<min(entry.failures-1, 10), maxBackoff)
	entry.until = now + wait
	b.byTask[id] = entry
	if known {
		return
	}
	if oldest, full := b.order.add(id); full {
		b.drop(oldest)
	}
}

func (b *backoffs) until(id spec.TaskID) time.Duration { return b.byTask[id].until }

func (b *backoffs) drop(id spec.TaskID) {
	if len(b.byTask) > 0 {
		delete(b.byTask, id)
	}
}

// reasonLog holds the reasons why tasks were moved or evicted, for Explain.
type reasonLog struct {
	byTask map[spec.TaskID]policy.Reason
	order  fifo
}

func newReasonLog() reasonLog { return reasonLog{byTask: map[spec.TaskID]policy.Reason{}} }

func (r *reasonLog) add(id spec.TaskID, reason policy.Reason) {
	_, known := r.byTask[id]
	r.byTask[id] = reason
	if known {
		return
	}
	if oldest, full := r.order.add(id); full {
		delete(r.byTask, oldest)
	}
}

func (r *reasonLog) drop(id spec.TaskID) { delete(r.byTask, id) }

// moveLog holds the times at which long-running tasks were moved within the
// last day.
type moveLog struct {
	byTask map[spec.TaskID][]time.Duration
	order  fifo
}

// moveWindow is the period in which the moves of a long-running task are
// counted.
const moveWindow = 24 * time.Hour

func newMoveLog() moveLog { return moveLog{byTask: map[spec.TaskID][]time.Duration{}} }

// count returns the number of moves of a task within the window. Moves from
// before this owner first saw the task count as if they had just happened.
func (m *moveLog) count(t *TaskInfo, now time.Duration) int {
	times, known := m.byTask[t.ID]
	if !known {
		for range t.Moves {
			times = append(times, now)
		}
		m.track(t.ID, times)
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

func (m *moveLog) track(id spec.TaskID, times []time.Duration) {
	m.byTask[id] = times
	if oldest, full := m.order.add(id); full {
		delete(m.byTask, oldest)
	}
}
