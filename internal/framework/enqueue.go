package framework

import (
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Enqueue implements policy.Decider. A task that already waits is replaced; a
// task that runs is left alone. A task whose last attempt failed or never
// started backs off first.
func (k *Kernel) Enqueue(now time.Duration, task policy.Task) {
	k.cluster.Now = now
	if old := k.cluster.itemByID[task.ID]; old != nil {
		if old.state == assumed {
			return
		}
		k.forget(old)
	}
	t := k.newItem(task)
	k.queues.attach(t)
	k.estimate(t)
	t.LatestStart = k.latestStart(t)
	if wait := k.retries.wait(task.ID); wait > now {
		k.queues.addBackoff(t, wait)
		return
	}
	k.queues.add(t)
}

// Dequeue implements policy.Decider. A running or unknown task is left alone.
func (k *Kernel) Dequeue(id spec.TaskID) {
	t := k.cluster.itemByID[id]
	if t == nil || t.state == assumed {
		return
	}
	k.forget(t)
	k.retries.drop(id)
	k.history.drop(id)
}

// Restore implements policy.Decider. The worker must have been set before;
// otherwise the task is left out, because nothing is known to reserve on.
func (k *Kernel) Restore(now time.Duration, task policy.Task, worker spec.WorkerID) {
	k.cluster.Now = now
	w := k.cluster.workerByID[worker]
	if w == nil {
		return
	}
	if old := k.cluster.itemByID[task.ID]; old != nil {
		if old.state == assumed {
			return
		}
		k.forget(old)
	}
	t := k.newItem(task)
	k.estimate(t)
	t.Need = task.Resources
	for _, p := range k.plugins.reserve {
		p.Reserve(&k.cluster, t, w)
	}
	k.assume(t, w)
}

// newItem returns an item for a task and registers it.
func (k *Kernel) newItem(task policy.Task) *Item {
	var t *Item
	if last := len(k.free) - 1; last >= 0 {
		t = k.free[last]
		k.free = k.free[:last]
	} else {
		t = new(Item)
	}
	k.seq++
	kind := k.cluster.indexKind(task.ID.Job.Team, task.Kind)
	*t = Item{
		Task:         task,
		KindIndex:    kind.kind,
		NameIndex:    kind.name,
		ServiceIndex: k.cluster.ServiceIndex(task.Service),
		Need:         task.Resources,
		ThrottledTo:  100,
		seq:          k.seq,
		allPos:       len(k.cluster.Items),
	}
	k.cluster.Items = append(k.cluster.Items, t)
	k.cluster.itemByID[task.ID] = t
	return t
}

// maxFreeItems bounds the items kept for reuse.
const maxFreeItems = 1024

// forget removes a task that holds nothing.
func (k *Kernel) forget(t *Item) {
	if t.shape != nil {
		k.queues.detach(t)
	}
	last := len(k.cluster.Items) - 1
	k.cluster.Items[t.allPos] = k.cluster.Items[last]
	k.cluster.Items[t.allPos].allPos = t.allPos
	k.cluster.Items[last] = nil
	k.cluster.Items = k.cluster.Items[:last]
	delete(k.cluster.itemByID, t.ID)
	if len(k.free) < maxFreeItems {
		k.free = append(k.free, t)
	}
}

// estimate asks the plug-ins what a task needs. Need never exceeds the largest
// worker unless the declaration does.
func (k *Kernel) estimate(t *Item) {
	t.Need = t.Resources
	t.Predicted = t.RunTime
	t.Shortest = 0
	for _, p := range k.plugins.estimate {
		p.Estimate(&k.cluster, t)
	}
}

// latestStart asks the plug-ins for the task's place in the queue. It is never
// before the submission, so that a task waits only for those that came before
// its own latest start, and no class can starve another.
func (k *Kernel) latestStart(t *Item) time.Duration {
	earliest := NoLatestStart
	for _, p := range k.plugins.order {
		earliest = min(earliest, p.LatestStart(&k.cluster, t))
	}
	return max(earliest, t.Submitted)
}
