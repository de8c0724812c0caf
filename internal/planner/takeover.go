package planner

import (
	"encoding/json"

	"redwingvale/internal/jobs"
)

// settle ends the first phase of a term: once every listed worker has
// answered, or has had its time, the tasks that were found nowhere are known
// to be either waiting or on a silent worker.
func (c *Core) settle() {
	silent := false
	if c.off.settleTerm && !c.settled && len(c.order) > 0 {
		c.settled = true
		c.account()
	}
	for _, w := range c.order {
		if (w.listed || w.inherited) && !w.dead && !w.answered {
			silent = true
		}
	}
	switch {
	case c.settled && !silent:
		return
	case !silent && len(c.order) > 0:
		c.settled = true
		c.account()
	case !c.settled && c.now.MS-c.termMS > c.inheritedLeaseMS():
		c.settled = true
		c.account()
	}
}

// inheritedLeaseMS is how long a run of a predecessor may go on, on a worker
// that does not answer.
func (c *Core) inheritedLeaseMS() int64 {
	return int64(float64(c.priorLeaseMS+deposedMS)*clockSlack) + leaseMarginMS
}

// account frees the tasks that were held back for a predecessor's runs.
func (c *Core) account() {
	for _, j := range c.jobs {
		if !j.inherited {
			continue
		}
		for _, s := range j.steps {
			for i := range s.tasks {
				s.tasks[i].unaccounted = false
			}
		}
	}
	c.wake = true
	c.emit(Decision{Event: "workers_settled", AgeMS: c.now.MS - c.termMS})
}

// knownWorker is a worker in the record of all workers.
type knownWorker struct {
	ID         WorkerID `json:"i"`
	Address    string   `json:"a"`
	Service    string   `json:"s"`
	DataCentre string   `json:"d,omitempty"`
	Capacity   Room     `json:"c"`
	Labels     []string `json:"l,omitempty"`
}

// appendWorkers adds the record of the workers to a write when it has changed.
func (c *Core) appendWorkers(records []jobs.Record) []jobs.Record {
	if !c.journal.workersDirty {
		return records
	}
	c.journal.workersDirty = false
	known := make([]knownWorker, 0, len(c.order))
	for _, w := range c.order {
		if !w.dead {
			known = append(known, knownWorker{w.info.ID, w.info.Address, w.info.Service, w.info.DataCentre, w.info.Capacity, w.info.Labels})
		}
	}
	value, err := json.Marshal(known)
	if err != nil {
		c.emit(Decision{Event: "workers_not_encoded", Reason: err.Error()})
		return records
	}
	return append(records, jobs.Record{Key: jobs.WorkersKey, Value: value})
}

// inheritWorkers takes over the workers that the predecessor knew. Those that
// the directory does not list are asked too, before tasks that were found
// nowhere start again: an entry may be missing while its worker runs on.
func (c *Core) inheritWorkers() {
	if len(c.book.Workers) == 0 || c.config.FirstTerm {
		return
	}
	var known []knownWorker
	if err := json.Unmarshal(c.book.Workers, &known); err != nil {
		c.emit(Decision{Event: "workers_invalid", Reason: err.Error()})
		return
	}
	for _, k := range known {
		w := &worker{token: c.epoch << tokenShift, nextHoldMS: c.now.MS, inherited: true}
		w.health.reset()
		w.info = WorkerInfo{ID: k.ID, Address: k.Address, Service: k.Service, DataCentre: k.DataCentre, Capacity: k.Capacity, Labels: k.Labels}
		c.workers[k.ID] = w
		c.order = append(c.order, w)
	}
	sortWorkers(c.order)
}
