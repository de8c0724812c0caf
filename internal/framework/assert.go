package framework

import (
	"redwingvale/internal/invariant"
	"redwingvale/internal/spec"
)

// The mechanisms that Config.broken can switch off.
const (
	brokenLag     = "lag"
	brokenRelease = "release"
	brokenRoom    = "room"
	brokenDetach  = "detach"
	brokenMoves   = "moves"
)

// checkRoom asserts after a placement that the worker is not overcommitted.
func (k *Kernel) checkRoom(w *Worker) {
	if w.Free().NonNegative() {
		return
	}
	invariant.Check(false, invariant.NeverOvercommitted,
		"worker %s: capacity %+v, granted %+v, reserved %+v", w.ID, w.Capacity, w.Granted, w.Reserved)
}

// checkWaits asserts before a placement that the task is neither assumed nor
// queued. The condition comes first, because the arguments of a check allocate.
func (k *Kernel) checkWaits(t *Item) {
	if t.Worker == nil && t.heap == nil {
		return
	}
	invariant.Check(false, invariant.OnePlaceAtATime,
		"task %s is placed: assumed before %t, queued %t", t.ID, t.Worker != nil, t.heap != nil)
}

// checkAction asserts that a task has had no action within the lag.
func (k *Kernel) checkAction(t *Item) {
	if !t.HasAction || k.cluster.Now >= t.LastAction+k.cluster.Lag {
		return
	}
	invariant.Check(false, invariant.InternalConsistency,
		"task %s has two actions within %v", t.ID, k.cluster.Lag)
}

// checkMoves asserts that a long-running task has a move left today.
func (k *Kernel) checkMoves(t *Item) {
	used, allowed := k.moves.count(t, k.cluster.Now), k.cluster.MovesPerDay(t)
	if used < allowed {
		return
	}
	invariant.Check(false, invariant.InternalConsistency,
		"long-running task %s moves although %d of %d moves are used", t.ID, used, allowed)
}

// Auditor is implemented by plug-ins that can check their own accounting
// against the cluster. Audit panics through invariant.Check.
type Auditor interface {
	Plugin
	Audit(c *Cluster)
}

// Audit asserts that the whole state is consistent. It visits every task and
// worker, so it is for tests and takeovers, not for each decision.
func (k *Kernel) Audit() {
	k.auditItems()
	k.auditWorkers()
	k.auditShapes()
	for _, p := range k.plugins.audit {
		p.Audit(&k.cluster)
	}
}

// auditItems asserts that each task is either queued once or assumed once.
func (k *Kernel) auditItems() {
	invariant.Check(len(k.cluster.Items) == len(k.cluster.itemByID), invariant.InternalConsistency,
		"%d tasks are listed, %d are known by id", len(k.cluster.Items), len(k.cluster.itemByID))
	queued := k.queues.active.len() + k.queues.backoff.len()
	for _, s := range k.queues.closed {
		queued += s.parked.len()
	}
	running := 0
	for _, t := range k.cluster.Items {
		isQueued := t.heap != nil && t.heap.items[t.heapPos] == t
		isAssumed := t.Worker != nil && t.Worker.Running[t.runPos] == t
		invariant.Check(isQueued != isAssumed, invariant.InternalConsistency,
			"task %s: queued %t, assumed %t", t.ID, isQueued, isAssumed)
		if isAssumed {
			running++
		}
	}
	invariant.Check(running == k.cluster.Running, invariant.InternalConsistency,
		"%d tasks run, %d are counted", running, k.cluster.Running)
	invariant.Check(queued+running == len(k.cluster.Items), invariant.InternalConsistency,
		"%d tasks queued and %d running of %d", queued, running, len(k.cluster.Items))
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
		want := noRoom
		if w.Takes() {
			want = w.Free()
		}
		invariant.Check(k.index.nodes[k.index.leaves+w.Index] == want, invariant.InternalConsistency,
			"worker %s: the index is out of date", w.ID)
	}
}

// auditShapes asserts that a parked task is in a closed shape that can wake.
func (k *Kernel) auditShapes() {
	for i, s := range k.queues.closed {
		invariant.Check(s.closed && s.pos == i, invariant.InternalConsistency, "shape %+v is misplaced", s.key)
		invariant.Check(s.parked.len() > 0 || s.trial != nil, invariant.InternalConsistency,
			"shape %+v is closed without tasks", s.key)
	}
}
