package planner

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"redwingvale/internal/jobs"
)

// checkReconciled settles closed workers and ends the first phase of a term. Once every listed or
// inherited worker has reported all of its runs and ends, or the leases of the
// predecessor must have expired, a task that no worker has reported is not
// running anywhere and has not ended. A worker that responds but has more ends
// than it lists is waited for, however long that takes. Closed workers delay only the
// tasks that their records list; see closed.go.
func (c *Core) checkReconciled() {
	c.settleClosed()
	if c.reconciled {
		return
	}
	if c.disabled.reconcileWorkers && len(c.sortedWorkers) > 0 {
		c.reconciled = true
		c.markReconciled()
		return
	}
	unreported, open := false, 0
	endsMissing, inheritedLease := false, c.maxInheritedLeaseMS(c.priorLeaseMS)
	for _, w := range c.sortedWorkers {
		if w.closure.closed {
			continue
		}
		open++
		if w.awaited() {
			unreported = true
			inheritedLease = max(inheritedLease, c.inheritedLeaseMS(w))
		}
		if w.moreEnded && !w.dead && !c.leaseOverUnrenewed(w) {
			endsMissing = true
		}
	}
	switch {
	case !unreported && open > 0,
		!endsMissing && c.settledMS()-c.termStartMS > inheritedLease:
		c.reconciled = true
		c.markReconciled()
	}
}

// inheritedLeaseMS returns how long after the beginning of the term a run started
// by a predecessor may continue on a worker that does not respond. A worker that
// restarted recently may have got the longest lease; see noteInheritedLease.
func (c *Core) inheritedLeaseMS(w *worker) int64 {
	if c.now.UnixMS-w.restartedMS < lateCallMS+c.config.MaxLeaseMS {
		return c.maxInheritedLeaseMS(c.config.MaxLeaseMS)
	}
	return c.maxInheritedLeaseMS(c.priorLeaseMS)
}

func (c *Core) maxInheritedLeaseMS(lease int64) int64 {
	return int64(float64(lease+DeposedLeaderMS)*clockSlack) + leaseMarginMS
}

// markReconciled allows tasks to start that were held back for possible runs of
// a predecessor.
func (c *Core) markReconciled() {
	for _, j := range c.jobs {
		if !j.inherited {
			continue
		}
		for s := range j.steps() {
			for i := range s.tasks {
				s.tasks[i].unreconciled = false
			}
		}
	}
	c.placementDue = true
	c.logSettled()
}

// recordedWorker is the record of a worker in the log.
type recordedWorker struct {
	ID         WorkerID  `json:"i"`
	Address    string    `json:"a"`
	Service    string    `json:"s"`
	DataCentre string    `json:"d,omitempty"`
	Capacity   Resources `json:"c"`
	Labels     []string  `json:"l,omitempty"`
	// StartedMS is the start of the worker's incarnation, RestartedMS the same if
	// an earlier incarnation was known.
	StartedMS   int64 `json:"t,omitempty"`
	RestartedMS int64 `json:"r,omitempty"`
	// Closed is set if nothing starts on this incarnation any more. Tasks are those
	// that may still run there or whose ends may not be in the log. Leaders of earlier
	// releases ignore both, wait for the worker, and record it without them.
	Closed bool     `json:"x,omitempty"`
	Tasks  []string `json:"o,omitempty"`
}

// recordsAs reports whether the records of a worker with either entry are the same.
func (i *WorkerInfo) recordsAs(other *WorkerInfo) bool {
	return i.ID == other.ID && i.Address == other.Address && i.Service == other.Service && i.DataCentre == other.DataCentre &&
		i.Capacity == other.Capacity && i.StartedMS == other.StartedMS && slices.Equal(i.Labels, other.Labels)
}

// markWorkerDirty schedules an update of a worker's record.
func (c *Core) markWorkerDirty(id WorkerID) {
	if w := c.workers[id]; w != nil {
		w.recorded = false
	}
	c.journal.workers = append(c.journal.workers, id)
}

// appendWorkers adds the records of new, changed and removed workers to a
// write.
func (c *Core) appendWorkers(b *batch) {
	jnl := &c.journal
	for added := 0; len(jnl.workers) > 0 && added < maxWorkersPerWrite; jnl.workers = jnl.workers[1:] {
		id := jnl.workers[0]
		record, changed := c.workerRecord(id)
		switch {
		case !changed:
			c.noteRecordedWorker(id)
			continue
		case !c.config.Log.Allows(record):
			c.notRecorded(record, "record exceeds the log's size limit")
			continue
		case !b.add(record):
			return
		}
		jnl.inFlightWorkers = append(jnl.inFlightWorkers, id)
		added++
	}
	if len(jnl.workers) == 0 && len(c.stateMachine.LegacyWorkers) > 0 {
		b.add(jobs.DropLegacyWorkers())
	}
}

// workerRecord returns the record that the log should hold of a worker, and
// whether it differs from the one that it holds.
func (c *Core) workerRecord(id WorkerID) (jobs.Record, bool) {
	var value []byte
	if w := c.workers[id]; w != nil {
		k := recordedWorker{w.info.ID, w.info.Address, w.info.Service, w.info.DataCentre, w.info.Capacity, w.info.Labels, w.info.StartedMS, w.restartedMS, w.closure.closed, nil}
		for _, t := range w.closure.tasks {
			k.Tasks = append(k.Tasks, t.String())
		}
		var err error
		value, err = json.Marshal(k)
		if err != nil {
			c.emit(Decision{Event: "worker_not_encoded", Worker: id, Reason: err.Error()})
			return jobs.Record{}, false
		}
	}
	return jobs.WorkerRecord(string(id), value), !bytes.Equal(value, c.stateMachine.Workers[string(id)])
}

// noteRecordedWorker notes whether the log's record of a worker is up to date. It is
// called while no write is outstanding.
func (c *Core) noteRecordedWorker(id WorkerID) {
	w := c.workers[id]
	if w == nil || w.recorded {
		return
	}
	if _, changed := c.workerRecord(id); !changed {
		w.recorded = true
		c.markChanged(w)
		c.placementDue = true
	}
}

// workersRecorded notes the workers of the last write.
func (c *Core) workersRecorded() {
	for _, id := range c.journal.inFlightWorkers {
		c.noteRecordedWorker(id)
	}
	c.journal.inFlightWorkers = c.journal.inFlightWorkers[:0]
}

// inheritWorkers takes over the workers that the predecessor recorded. Those
// that the directory does not list are called too, before tasks that no worker
// has reported start again: an entry may be missing while its worker keeps
// running.
func (c *Core) inheritWorkers() {
	if c.config.FirstTerm {
		return
	}
	var known []recordedWorker
	if len(c.stateMachine.LegacyWorkers) > 0 {
		if err := json.Unmarshal(c.stateMachine.LegacyWorkers, &known); err != nil {
			c.emit(Decision{Event: "workers_invalid", Reason: err.Error()})
			known = nil
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.stateMachine.Workers)) {
		var k recordedWorker
		if err := json.Unmarshal(c.stateMachine.Workers[id], &k); err != nil || string(k.ID) != id {
			c.emit(Decision{Event: "worker_invalid", Worker: WorkerID(id), Reason: "record is malformed or names a different worker"})
			c.markWorkerDirty(WorkerID(id))
			continue
		}
		known = append(known, k)
	}
	for _, k := range known {
		if c.workers[k.ID] != nil {
			continue
		}
		w := &worker{incarnation: newIncarnation(), token: c.epoch << tokenShift, nextHoldMS: c.now.MS, addedMS: c.now.MS, inherited: true, restartedMS: k.RestartedMS}
		w.info = WorkerInfo{ID: k.ID, Address: k.Address, Service: k.Service, DataCentre: k.DataCentre, Capacity: k.Capacity, Labels: k.Labels, StartedMS: k.StartedMS}
		c.inheritClosure(w, k.Closed, k.Tasks)
		c.workers[k.ID] = w
		c.sortedWorkers = append(c.sortedWorkers, w)
		c.markWorkerDirty(k.ID)
	}
	sortWorkers(c.sortedWorkers)
}
