package framework

import (
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Kernel implements policy.Decider.
type Kernel struct {
	cluster Cluster
	queues  queues
	index   index
	random  random
	plugins plugins
	// seq numbers the tasks in the order of Enqueue and Restore.
	seq uint64
	// dirty holds the workers with a report that no review has seen.
	dirty []*Worker
	// sick holds the isolated workers in order of isolation.
	sick []*Worker
	// verdicts holds quarantines and releases that no review has returned.
	verdicts []policy.Action
	// history explains tasks that were moved or refused and are gone.
	history history
	// retries remembers attempts that failed, for the next Enqueue.
	retries retries
	// moves counts moves of long-running tasks.
	moves moveLog
	// free holds items for reuse.
	free []*Item
	// candidates and proposals are reused between calls.
	candidates []candidate
	proposals  []policy.Action
}

var _ policy.Decider = (*Kernel)(nil)

// New returns a kernel with new instances of the configured plug-ins. It
// fails when a named plug-in is not registered.
func New(cfg Config) (*Kernel, error) {
	cfg = cfg.withDefaults()
	list, err := build(cfg, cfg.Plugins)
	if err != nil {
		return nil, err
	}
	k := &Kernel{
		queues:  newQueues(),
		random:  newRandom(cfg.Seed),
		plugins: sortPlugins(list),
		history: newHistory(),
		retries: newRetries(),
		moves:   newMoveLog(),
	}
	k.cluster = newCluster(cfg, k.plugins.score)
	k.cluster.queues = &k.queues
	return k, nil
}

// Configure implements policy.Decider.
func (k *Kernel) Configure(now time.Duration, services []policy.Service) {
	k.cluster.Now = now
	k.cluster.SetServices(services)
	for _, w := range k.cluster.Workers {
		w.ServiceIndex = k.cluster.ServiceIndex(w.Service)
	}
	for _, t := range k.cluster.Items {
		t.ServiceIndex = k.cluster.ServiceIndex(t.Service)
	}
	for _, p := range k.plugins.configured {
		p.Configured(&k.cluster)
	}
	k.queues.wake(Reconfigured)
}

// SetWorker implements policy.Decider. A worker that was removed returns with
// its former index.
func (k *Kernel) SetWorker(now time.Duration, worker spec.Worker) {
	k.cluster.Now = now
	w := k.cluster.workerByID[worker.ID]
	if w == nil {
		w = &Worker{Index: len(k.cluster.Workers)}
		k.cluster.Workers = append(k.cluster.Workers, w)
		k.cluster.workerByID[worker.ID] = w
		k.index.grow(len(k.cluster.Workers))
	}
	w.Worker = worker
	w.Removed = false
	w.ServiceIndex = k.cluster.ServiceIndex(worker.Service)
	k.measureLargest()
	k.refresh(w)
	k.queues.wake(WorkersChanged)
}

// RemoveWorker implements policy.Decider.
func (k *Kernel) RemoveWorker(now time.Duration, id spec.WorkerID) {
	k.cluster.Now = now
	w := k.cluster.workerByID[id]
	if w == nil {
		return
	}
	w.Removed = true
	k.measureLargest()
	k.refresh(w)
}

// SetGranted implements policy.Decider.
func (k *Kernel) SetGranted(now time.Duration, id spec.WorkerID, granted spec.Resources) {
	k.cluster.Now = now
	w := k.cluster.workerByID[id]
	if w == nil || w.Granted == granted {
		return
	}
	for _, p := range k.plugins.grants {
		p.Granted(&k.cluster, w, granted)
	}
	w.Granted = granted
	k.refresh(w)
	k.wakeRoom(w)
}

// measureLargest finds the largest capacity of the present workers.
func (k *Kernel) measureLargest() {
	k.cluster.Largest = spec.Resources{}
	for _, w := range k.cluster.Workers {
		if !w.Removed {
			k.cluster.Largest = largest(k.cluster.Largest, w.Capacity)
		}
	}
}

// refresh brings the index up to date with a worker.
func (k *Kernel) refresh(w *Worker) {
	if w.Takes() {
		k.index.set(w.Index, w.Free())
		return
	}
	k.index.set(w.Index, noRoom)
}

// wakeRoom wakes the parked tasks that fit into a worker's free resources.
func (k *Kernel) wakeRoom(w *Worker) {
	if !w.Takes() {
		return
	}
	free := w.Free()
	k.queues.wakeRoom(RoomFreed, &free)
}
