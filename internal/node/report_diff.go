package node

import (
	"sync"

	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/planner"
)

// A worker's report lists all of its runs, and a leader of many workers gets
// thousands of reports a second, in most of which a run or two have come or gone.
// A delegate therefore sends the difference to the last report that the leader
// holds of the worker. The leader names that report in each hold call by the id of
// the call that returned it, so that a lost or reordered report only costs a
// complete one.

// heldReport is the list of a worker's runs in the report of a call.
type heldReport struct {
	id        uint64
	startedMS int64
	running   []planner.RunningTask
}

// reportBases holds, at a delegate, the last report of each worker that it has
// passed on.
type reportBases struct {
	mu       sync.Mutex
	byWorker map[planner.WorkerID]*reportBase
	// prunedAt is the number of workers at which unused entries are next removed.
	prunedAt int
}

// reportBase is the last report of one worker. Its lock is held while the next
// report is encoded and queued, so that the leader gets them in that order.
type reportBase struct {
	mu     sync.Mutex
	held   heldReport
	usedMS int64
}

const (
	// baseUnusedMS is how long a worker's report is kept without a new one.
	baseUnusedMS = 30_000
	minBases     = 64
)

func newReportBases() *reportBases {
	return &reportBases{byWorker: map[planner.WorkerID]*reportBase{}, prunedAt: minBases}
}

// of returns the entry of a worker.
func (b *reportBases) of(id planner.WorkerID, nowMS int64) *reportBase {
	b.mu.Lock()
	defer b.mu.Unlock()
	base := b.byWorker[id]
	if base == nil {
		if len(b.byWorker) >= b.prunedAt {
			b.prune(nowMS)
		}
		base = &reportBase{}
		b.byWorker[id] = base
	}
	base.usedMS = nowMS
	return base
}

// prune removes the entries of workers that are no longer called.
func (b *reportBases) prune(nowMS int64) {
	for id, base := range b.byWorker {
		if nowMS-base.usedMS > baseUnusedMS {
			delete(b.byWorker, id)
		}
	}
	b.prunedAt = max(2*len(b.byWorker), minBases)
}

// encode returns a report for the leader, as a difference if the leader holds the
// last one, and keeps it as the base of the next. The lock must be held.
func (b *reportBase) encode(id, known uint64, report planner.Report) *nodev1.WorkerReport {
	out := &nodev1.WorkerReport{StartedMs: report.StartedMS, ClockMs: report.ClockMS, MoreEnded: report.MoreEnded}
	running := report.Running
	if known > 0 && b.held.id == known && b.held.startedMS == report.StartedMS {
		out.Base = known
		running = encodeDifference(out, b.held.running, running)
	} else {
		for i := range running {
			out.Running = append(out.Running, encodeRunning(&running[i]))
		}
	}
	for i := range report.Ended {
		out.Ended = append(out.Ended, encodeEnded(&report.Ended[i]))
	}
	b.held = heldReport{id: id, startedMS: report.StartedMS, running: running}
	return out
}

// encodeDifference writes the difference of two lists of runs, and returns the
// second one in the order in which the leader will hold it.
func encodeDifference(out *nodev1.WorkerReport, base, running []planner.RunningTask) []planner.RunningTask {
	next := make([]planner.RunningTask, 0, len(running))
	matched := make([]bool, len(running))
	from := 0
	for i := range base {
		at := findUnmatched(running, matched, &base[i], from)
		if at < 0 {
			out.Dropped = append(out.Dropped, uint32(i))
			continue
		}
		from, matched[at] = at+1, true
		row := &running[at]
		if row.Checkpoint != base[i].Checkpoint {
			out.CheckpointRows = append(out.CheckpointRows, uint32(len(next)))
			out.Checkpoints = append(out.Checkpoints, row.Checkpoint)
		}
		out.Percent = append(out.Percent, uint32(max(row.Percent, 0)))
		out.Usage = append(out.Usage, int64(row.Usage))
		next = append(next, *row)
	}
	for i := range running {
		if !matched[i] {
			out.Running = append(out.Running, encodeRunning(&running[i]))
			next = append(next, running[i])
		}
	}
	return next
}

// findUnmatched returns the index of a run among the rows that are not matched
// yet, or -1. Lists keep their order, so the search begins behind the row that was
// found last.
func findUnmatched(rows []planner.RunningTask, matched []bool, want *planner.RunningTask, from int) int {
	for i := range rows {
		at := (from + i) % len(rows)
		if row := &rows[at]; !matched[at] && row.Run == want.Run && row.Task == want.Task {
			return at
		}
	}
	return -1
}

// decode replaces the leader's list by that of a report that a call has returned.
// It returns false, and leaves the list as it is, if the report is a difference to
// another list. The report's list is valid until the next call.
func (h *heldReport) decode(id uint64, m *nodev1.WorkerReport) (planner.Report, bool) {
	report := planner.Report{StartedMS: m.GetStartedMs(), ClockMS: m.GetClockMs(), MoreEnded: m.GetMoreEnded()}
	for _, e := range m.GetEnded() {
		report.Ended = append(report.Ended, decodeEnded(e))
	}
	switch {
	case m.GetBase() == 0:
		h.running = h.running[:0]
	case m.GetBase() != h.id || !h.applyDifference(m):
		return report, false
	}
	for _, r := range m.GetRunning() {
		h.running = append(h.running, decodeRunning(r))
	}
	h.id, h.startedMS = id, report.StartedMS
	report.Running = h.running
	return report, true
}

// applyDifference applies the changes of the rows that remain. It returns false
// and changes nothing if they do not fit the list.
func (h *heldReport) applyDifference(m *nodev1.WorkerReport) bool {
	kept := len(h.running) - len(m.GetDropped())
	if len(m.GetPercent()) != kept || len(m.GetUsage()) != kept || len(m.GetCheckpoints()) != len(m.GetCheckpointRows()) ||
		!ascendingBelow(m.GetDropped(), len(h.running)) || !ascendingBelow(m.GetCheckpointRows(), kept) {
		return false
	}
	dropped, next := m.GetDropped(), 0
	for i := range h.running {
		if len(dropped) > 0 && int(dropped[0]) == i {
			dropped = dropped[1:]
			continue
		}
		h.running[next] = h.running[i]
		h.running[next].Percent, h.running[next].Usage = int(m.Percent[next]), int(m.Usage[next])
		next++
	}
	clear(h.running[next:])
	h.running = h.running[:next]
	for i, row := range m.GetCheckpointRows() {
		h.running[row].Checkpoint = m.Checkpoints[i]
	}
	return true
}

// ascendingBelow reports whether the indexes rise and stay below a limit.
func ascendingBelow(indexes []uint32, limit int) bool {
	for i, index := range indexes {
		if int64(index) >= int64(limit) || i > 0 && index <= indexes[i-1] {
			return false
		}
	}
	return true
}
