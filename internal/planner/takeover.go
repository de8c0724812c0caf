package planner

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"redwingvale/internal/jobs"
)

// checkReconciled ends the first phase of a term: once every listed worker has
// answered, or has had its time, the tasks that were found nowhere are known
// to be either waiting or on a silent worker.
func (c *Core) checkReconciled() {
	silent := false
	if c.disabled.reconcileWorkers && !c.reconciled && len(c.sortedWorkers) > 0 {
		c.reconciled = true
		c.markReconciled()
	}
	for _, w := range c.sortedWorkers {
		if (w.listed || w.inherited) && !w.dead && !w.reported {
			silent = true
		}
	}
	switch {
	case c.reconciled && !silent:
		return
	case !silent && len(c.sortedWorkers) > 0:
		c.reconciled = true
		c.markReconciled()
	case !c.reconciled && c.now.MS-c.termStartMS > c.inheritedLeaseMS():
		c.reconciled = true
		c.markReconciled()
	}
}

// inheritedLeaseMS is how long a run of a predecessor may go on, on a worker
// that does not answer.
func (c *Core) inheritedLeaseMS() int64 {
	return int64(float64(c.priorLeaseMS+deposedLeaderMS)*clockSlack) + leaseMarginMS
}

// markReconciled frees the tasks that were held back for a predecessor's runs.
func (c *Core) markReconciled() {
	for _, j := range c.jobs {
		if !j.inherited {
			continue
		}
		for _, s := range j.steps {
			for i := range s.tasks {
				s.tasks[i].unreconciled = false
			}
		}
	}
	c.placementDue = true
	c.emit(Decision{Event: "workers_settled", AgeMS: c.now.MS - c.termStartMS})
}

// recordedWorker is a worker in the log.
type recordedWorker struct {
	ID         WorkerID `json:"i"`
	Address    string   `json:"a"`
	Service    string   `json:"s"`
	DataCentre string   `json:"d,omitempty"`
	Capacity   Room     `json:"c"`
	Labels     []string `json:"l,omitempty"`
}

// markWorkerDirty lets a worker's record be brought up to date.
func (c *Core) markWorkerDirty(id WorkerID) {
	c.journal.dirtyWorkers = append(c.journal.dirtyWorkers, id)
}

// appendWorkers adds the records of workers that have come, changed or gone.
func (c *Core) appendWorkers(b *batch) {
	n := &c.journal
	for added := 0; len(n.dirtyWorkers) > 0 && added < maxWorkersPerWrite; n.dirtyWorkers = n.dirtyWorkers[1:] {
		record, changed := c.workerRecord(n.dirtyWorkers[0])
		switch {
		case !changed:
			continue
		case !c.config.Log.Allows(record):
			c.notRecorded(record, "larger than the log allows")
			continue
		case !b.add(record):
			return
		}
		added++
	}
	if len(n.dirtyWorkers) == 0 && len(c.stateMachine.AllWorkers) > 0 {
		b.add(jobs.DropAllWorkers())
	}
}

// workerRecord returns what the log should hold of a worker, and whether it
// holds something else.
func (c *Core) workerRecord(id WorkerID) (jobs.Record, bool) {
	var value []byte
	if w := c.workers[id]; w != nil {
		var err error
		value, err = json.Marshal(recordedWorker{w.info.ID, w.info.Address, w.info.Service, w.info.DataCentre, w.info.Capacity, w.info.Labels})
		if err != nil {
			c.emit(Decision{Event: "worker_not_encoded", Worker: id, Reason: err.Error()})
			return jobs.Record{}, false
		}
	}
	return jobs.WorkerRecord(string(id), value), !bytes.Equal(value, c.stateMachine.Workers[string(id)])
}

// inheritWorkers takes over the workers that the predecessor knew. Those that
// the directory does not list are asked too, before tasks that were found
// nowhere start again: an entry may be missing while its worker runs on.
func (c *Core) inheritWorkers() {
	if c.config.FirstTerm {
		return
	}
	var known []recordedWorker
	if len(c.stateMachine.AllWorkers) > 0 {
		if err := json.Unmarshal(c.stateMachine.AllWorkers, &known); err != nil {
			c.emit(Decision{Event: "workers_invalid", Reason: err.Error()})
			known = nil
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.stateMachine.Workers)) {
		var k recordedWorker
		if err := json.Unmarshal(c.stateMachine.Workers[id], &k); err != nil || string(k.ID) != id {
			c.emit(Decision{Event: "worker_invalid", Worker: WorkerID(id), Reason: "record of another form"})
			c.markWorkerDirty(WorkerID(id))
			continue
		}
		known = append(known, k)
	}
	for _, k := range known {
		if c.workers[k.ID] != nil {
			continue
		}
		w := &worker{token: c.epoch << tokenShift, nextHoldMS: c.now.MS, inherited: true}
		w.health.reset()
		w.info = WorkerInfo{ID: k.ID, Address: k.Address, Service: k.Service, DataCentre: k.DataCentre, Capacity: k.Capacity, Labels: k.Labels}
		c.workers[k.ID] = w
		c.sortedWorkers = append(c.sortedWorkers, w)
		c.markWorkerDirty(k.ID)
	}
	sortWorkers(c.sortedWorkers)
}
