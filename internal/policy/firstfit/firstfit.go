// Package firstfit implements a Decider that ignores interference: first come,
// first served, on the first worker with enough free resources. It is used as
// the baseline and in tests.
package firstfit

import (
	"sort"
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Decider places tasks in the order of their arrival. The zero value is not
// usable; call New.
type Decider struct {
	queue   []policy.Task
	workers map[spec.WorkerID]*worker
	// order holds the workers that take tasks, sorted by id.
	order   []spec.WorkerID
	running map[spec.TaskID]running
}

type worker struct {
	capacity    spec.Resources
	granted     spec.Resources
	used        spec.Resources
	schedulable bool
}

type running struct {
	task   policy.Task
	worker spec.WorkerID
}

// New returns a Decider without workers.
func New() *Decider {
	return &Decider{
		workers: make(map[spec.WorkerID]*worker),
		running: make(map[spec.TaskID]running),
	}
}

var _ policy.Decider = (*Decider)(nil)

// Configure does nothing: firstfit ignores services.
func (d *Decider) Configure(time.Duration, []policy.Service) {}

// SetWorker adds a worker or changes its capacity.
func (d *Decider) SetWorker(_ time.Duration, w spec.Worker) {
	known := d.worker(w.ID)
	known.capacity = w.Capacity
	known.schedulable = true
	d.sortWorkers()
}

// RemoveWorker stops placing on a worker.
func (d *Decider) RemoveWorker(_ time.Duration, id spec.WorkerID) {
	d.worker(id).schedulable = false
	d.sortWorkers()
}

// SetGranted sets the resources of a worker that tasks may not use.
func (d *Decider) SetGranted(_ time.Duration, id spec.WorkerID, granted spec.Resources) {
	d.worker(id).granted = granted
}

// Enqueue adds a waiting task at the end of the queue.
func (d *Decider) Enqueue(_ time.Duration, task policy.Task) {
	d.queue = append(d.queue, task)
}

// Dequeue removes a waiting task.
func (d *Decider) Dequeue(id spec.TaskID) {
	for i, task := range d.queue {
		if task.ID == id {
			d.queue = append(d.queue[:i], d.queue[i+1:]...)
			return
		}
	}
}

// Restore adds a task that is already running.
func (d *Decider) Restore(_ time.Duration, task policy.Task, id spec.WorkerID) {
	w := d.worker(id)
	w.used = w.used.Add(task.Resources)
	d.running[task.ID] = running{task: task, worker: id}
}

// Schedule places up to limit waiting tasks. It skips a task that fits on no
// worker.
func (d *Decider) Schedule(now time.Duration, limit int) []policy.Placement {
	var out []policy.Placement
	kept := d.queue[:0:0]
	for _, task := range d.queue {
		id, found := spec.WorkerID(""), false
		if len(out) < limit {
			id, found = d.firstFit(task)
		}
		if !found {
			kept = append(kept, task)
			continue
		}
		d.Restore(now, task, id)
		out = append(out, policy.Placement{Task: task.ID, Worker: id, Why: "first fit"})
	}
	if len(out) > 0 {
		d.queue = kept
	}
	return out
}

// Ended frees what the task holds.
func (d *Decider) Ended(_ time.Duration, id spec.TaskID, _ policy.EndKind, _ time.Duration) {
	r, ok := d.running[id]
	if !ok {
		return
	}
	w := d.worker(r.worker)
	w.used = w.used.Sub(r.task.Resources)
	delete(d.running, id)
}

// Observe does nothing: firstfit learns nothing.
func (d *Decider) Observe(time.Duration, policy.Report) {}

// Review returns no actions.
func (d *Decider) Review(time.Duration) []policy.Action { return nil }

// Relieve evicts tasks of a worker until need is covered: batch tasks first, then
// those with the fewest moves.
func (d *Decider) Relieve(_ time.Duration, id spec.WorkerID, need spec.Resources) []policy.Action {
	var out []policy.Action
	var freed spec.Resources
	for _, r := range d.evictionOrder(id) {
		if need.Fits(freed) {
			break
		}
		freed = freed.Add(r.task.Resources)
		out = append(out, policy.Action{
			Kind: policy.ActionEvict, Task: r.task.ID, Worker: id, Why: "urgent requests want slots",
		})
	}
	return out
}

// Explain returns a single reason for a waiting task.
func (d *Decider) Explain(id spec.TaskID) []policy.Reason {
	for _, task := range d.queue {
		if task.ID == id {
			return []policy.Reason{{Dimension: "firstfit", Workers: len(d.order), Detail: "no worker has room"}}
		}
	}
	return nil
}

// Overdue returns nothing: firstfit does not predict run times.
func (d *Decider) Overdue(time.Duration) []spec.TaskID { return nil }

func (d *Decider) firstFit(task policy.Task) (spec.WorkerID, bool) {
	for _, id := range d.order {
		w := d.workers[id]
		if task.Resources.Fits(w.capacity.Sub(w.used).Sub(w.granted)) {
			return id, true
		}
	}
	return "", false
}

func (d *Decider) evictionOrder(id spec.WorkerID) []running {
	var out []running
	for _, r := range d.running {
		if r.worker == id {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i].task, out[j].task
		if a.Class != b.Class {
			return a.Class > b.Class
		}
		if a.Moves != b.Moves {
			return a.Moves < b.Moves
		}
		return a.ID.String() < b.ID.String()
	})
	return out
}

func (d *Decider) worker(id spec.WorkerID) *worker {
	w, ok := d.workers[id]
	if !ok {
		w = &worker{}
		d.workers[id] = w
	}
	return w
}

func (d *Decider) sortWorkers() {
	d.order = d.order[:0]
	for id, w := range d.workers {
		if w.schedulable {
			d.order = append(d.order, id)
		}
	}
	sort.Slice(d.order, func(i, j int) bool { return d.order[i] < d.order[j] })
}
