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
	// unreviewed holds the workers with a report since the last review.
	unreviewed []*Worker
	// isolated holds the isolated workers in order of isolation.
	isolated []*Worker
	// pendingQuarantine holds the quarantines and releases that no review has
	// returned yet.
	pendingQuarantine []policy.Action
	// pastReasons holds why tasks were moved or evicted, for Explain.
	pastReasons reasonLog
	// backoffs holds the backoff of tasks whose last attempt failed, for the
	// next Enqueue.
	backoffs backoffs
	// moves records the moves of long-running tasks.
	moves moveLog
	// freeTasks holds removed TaskInfos for reuse.
	freeTasks []*TaskInfo
	// candidates and proposals are buffers that are reused between calls.
	candidates []candidate
	proposals  []policy.Action
}

var _ policy.Decider = (*Kernel)(nil)

// New returns a kernel with new instances of the configured plug-ins. It
// fails when a named plug-in is not registered.
func New(cfg Config) (*Kernel, error) {
	cfg = cfg.withDefaults()
	list, err := newPlugins(cfg, cfg.Plugins)
	if err != nil {
		return nil, err
	}
	k := &Kernel{
		queues:      newQueues(),
		random:      newRandom(cfg.Seed),
		plugins:     groupByExtensionPoint(list),
		pastReasons: newReasonLog(),
		backoffs:    newBackoffs(),
		moves:       newMoveLog(),
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
	for _, t := range k.cluster.Tasks {
		t.ServiceIndex = k.cluster.ServiceIndex(t.Service)
	}
	for _, p := range k.plugins.configured {
		p.OnConfigure(&k.cluster)
	}
	k.queues.activate(Reconfigured)
}

// SetWorker implements policy.Decider. A worker that was removed before keeps
// its index.
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
	k.updateLargest()
	k.updateIndex(w)
	k.queues.activate(WorkersChanged)
}

// RemoveWorker implements policy.Decider.
func (k *Kernel) RemoveWorker(now time.Duration, id spec.WorkerID) {
	k.cluster.Now = now
	w := k.cluster.workerByID[id]
	if w == nil {
		return
	}
	w.Removed = true
	k.updateLargest()
	k.updateIndex(w)
}

// SetGranted implements policy.Decider.
func (k *Kernel) SetGranted(now time.Duration, id spec.WorkerID, granted spec.Resources) {
	k.cluster.Now = now
	w := k.cluster.workerByID[id]
	if w == nil || w.Granted == granted {
		return
	}
	for _, p := range k.plugins.grants {
		p.OnGrantChange(&k.cluster, w, granted)
	}
	w.Granted = granted
	k.updateIndex(w)
	k.activateFitting(w)
}

// updateLargest recomputes the largest capacity of the present workers.
func (k *Kernel) updateLargest() {
	k.cluster.Largest = spec.Resources{}
	for _, w := range k.cluster.Workers {
		if !w.Removed {
			k.cluster.Largest = largest(k.cluster.Largest, w.Capacity)
		}
	}
}

// updateIndex updates the index entry of a worker.
func (k *Kernel) updateIndex(w *Worker) {
	if w.Schedulable() {
		k.index.set(w.Index, w.Free())
		return
	}
	k.index.set(w.Index, noCapacity)
}

// activateFitting activates the parked tasks that fit into a worker's free
// resources.
func (k *Kernel) activateFitting(w *Worker) {
	if !w.Schedulable() {
		return
	}
	free := w.Free()
	k.queues.activateFitting(CapacityFreed, &free)
}
