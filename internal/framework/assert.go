package framework

import (
	"redwingvale/internal/invariant"
	"redwingvale/internal/spec"
)

// The values of Config.mutation; each switches off one mechanism.
const (
	mutationLag      = "lag"
	mutationRelease  = "release"
	mutationCapacity = "room"
	mutationDetach   = "detach"
	mutationMoves    = "moves"
)

// checkNotOvercommitted asserts after a placement that the worker is not overcommitted.
func (k *Kernel) checkNotOvercommitted(w *Worker) {
	if w.Free().NonNegative() {
		return
	}
	invariant.Check(false, invariant.NeverOvercommitted,
		"worker %s: capacity %+v, granted %+v, reserved %+v", w.ID, w.Capacity, w.Granted, w.Reserved)
}

// checkNotPlaced asserts before a placement that the task is neither placed nor
// queued. The condition comes first, because the arguments of a check allocate.
func (k *Kernel) checkNotPlaced(t *TaskInfo) {
	if t.Worker == nil && t.heap == nil {
		return
	}
	invariant.Check(false, invariant.SingleExecution,
		"task %s is placed while on a worker %t, queued %t", t.ID, t.Worker != nil, t.heap != nil)
}

// checkActionLag asserts that a task had no action within the measurement lag.
func (k *Kernel) checkActionLag(t *TaskInfo) {
	if !t.HasAction || k.cluster.Now >= t.LastAction+k.cluster.Lag {
		return
	}
	invariant.Check(false, invariant.InternalConsistency,
		"task %s has two actions within %v", t.ID, k.cluster.Lag)
}

// checkMovesLeft asserts that a long-running task has a move left today.
func (k *Kernel) checkMovesLeft(t *TaskInfo) {
	used, allowed := k.moves.count(t, k.cluster.Now), k.cluster.MovesPerDay(t)
	if used < allowed {
		return
	}
	invariant.Check(false, invariant.InternalConsistency,
		"long-running task %s moves although %d of %d moves are used", t.ID, used, allowed)
}

// Auditor is implemented by plug-ins that can check their own accounting
// against the cluster. Audit reports a violation through invariant.Check.
type Auditor interface {
	Plugin
	Audit(c *Cluster)
}

// Audit asserts that the whole state is consistent. It visits every task and
// worker, so it is for tests and takeovers, not for each decision.
func (k *Kernel) Audit() {
	k.auditTasks()
	k.auditWorkers()
	k.auditEquivClasses()
	for _, p := range k.plugins.audit {
		p.Audit(&k.cluster)
	}
}

// auditTasks asserts that each task is either queued once or placed once.
func (k *Kernel) auditTasks() {
	invariant.Check(len(k.cluster.Tasks) == len(k.cluster.taskByID), invariant.InternalConsistency,
		"%d tasks are listed, %d are known by id", len(k.cluster.Tasks), len(k.cluster.taskByID))
	queued := k.queues.active.len() + k.queues.backoff.len()
	for _, class := range k.queues.blocked {
		queued += class.parked.len()
	}
	running := 0
	for _, t := range k.cluster.Tasks {
		isQueued := t.heap != nil && t.heap.tasks[t.heapPos] == t
		isPlaced := t.Worker != nil && t.Worker.Running[t.runPos] == t
		invariant.Check(isQueued != isPlaced, invariant.InternalConsistency,
			"task %s: queued %t, placed %t", t.ID, isQueued, isPlaced)
		if isPlaced {
			running++
		}
	}
	invariant.Check(running == k.cluster.Running, invariant.InternalConsistency,
		"%d tasks run, %d are counted", running, k.cluster.Running)
	invariant.Check(queued+running == len(k.cluster.Tasks), invariant.InternalConsistency,
		"%d tasks queued and %d running of %d", queued, running, len(k.cluster.Tasks))
}

// auditWorkers asserts that reservations are the sum of the running tasks.
func (k *Kernel) auditWorkers() {
	for _, w := range k.cluster.Workers {
		var sum spec.Resources
		for _, t := range w.Running {
			sum = sum.Add(t.Need)
		}
		invariant.Check(sum == w.Reserved, invariant.NeverOvercommitted,
			"worker %s reserves %+v for tasks that need %+v", w.ID, w.Reserved, sum)
		want := noCapacity
		if w.Schedulable() {
			want = w.Free()
		}
		invariant.Check(k.index.nodes[k.index.leaves+w.Index] == want, invariant.InternalConsistency,
			"worker %s: the index is out of date", w.ID)
	}
}

// auditEquivClasses asserts that every blocked class has a parked or activated
// task.
func (k *Kernel) auditEquivClasses() {
	for i, class := range k.queues.blocked {
		invariant.Check(class.blocked && class.pos == i, invariant.InternalConsistency, "equivalence class %+v is at the wrong position", class.key)
		invariant.Check(class.parked.len() > 0 || class.trial != nil, invariant.InternalConsistency,
			"equivalence class %+v is blocked without tasks", class.key)
	}
}
