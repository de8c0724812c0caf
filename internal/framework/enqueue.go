package framework

import (
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Enqueue implements policy.Decider. It replaces a task that waits already and
// ignores a task that runs. A task whose last attempt failed or never started
// backs off first.
func (k *Kernel) Enqueue(now time.Duration, task policy.Task) {
	k.cluster.Now = now
	if old := k.cluster.taskByID[task.ID]; old != nil {
		if old.state == statePlaced {
			return
		}
		k.removeTask(old)
	}
	t := k.newTaskInfo(task)
	k.queues.attach(t)
	k.estimate(t)
	t.LatestStart = k.latestStart(t)
	if wait := k.backoffs.until(task.ID); wait > now {
		k.queues.addBackoff(t, wait)
		return
	}
	k.queues.add(t)
}

// Dequeue implements policy.Decider. It ignores a running or unknown task.
func (k *Kernel) Dequeue(id spec.TaskID) {
	t := k.cluster.taskByID[id]
	if t == nil || t.state == statePlaced {
		return
	}
	k.removeTask(t)
	k.backoffs.drop(id)
	k.pastReasons.drop(id)
}

// Restore implements policy.Decider. The worker must have been set before; a
// task on an unknown worker is ignored, because it cannot reserve resources.
func (k *Kernel) Restore(now time.Duration, task policy.Task, worker spec.WorkerID) {
	k.cluster.Now = now
	w := k.cluster.workerByID[worker]
	if w == nil {
		return
	}
	if old := k.cluster.taskByID[task.ID]; old != nil {
		if old.state == statePlaced {
			return
		}
		k.removeTask(old)
	}
	t := k.newTaskInfo(task)
	k.estimate(t)
	t.Need = task.Resources
	for _, p := range k.plugins.reserve {
		p.Reserve(&k.cluster, t, w)
	}
	k.place(t, w)
}

// newTaskInfo returns a TaskInfo for a task and registers it in the cluster.
func (k *Kernel) newTaskInfo(task policy.Task) *TaskInfo {
	var t *TaskInfo
	if last := len(k.freeTasks) - 1; last >= 0 {
		t = k.freeTasks[last]
		k.freeTasks = k.freeTasks[:last]
	} else {
		t = new(TaskInfo)
	}
	k.seq++
	kind := k.cluster.indexKind(task.ID.Job.Team, task.Kind)
	*t = TaskInfo{
		Task:         task,
		KindIndex:    kind.kind,
		NameIndex:    kind.name,
		ServiceIndex: k.cluster.ServiceIndex(task.Service),
		Need:         task.Resources,
		ThrottledTo:  100,
		seq:          k.seq,
		allPos:       len(k.cluster.Tasks),
	}
	k.cluster.Tasks = append(k.cluster.Tasks, t)
	k.cluster.taskByID[task.ID] = t
	return t
}

// maxFreeTasks bounds the TaskInfos kept for reuse.
const maxFreeTasks = 1024

// removeTask removes a task that holds no reservations.
func (k *Kernel) removeTask(t *TaskInfo) {
	if t.equiv != nil {
		k.queues.detach(t)
	}
	last := len(k.cluster.Tasks) - 1
	k.cluster.Tasks[t.allPos] = k.cluster.Tasks[last]
	k.cluster.Tasks[t.allPos].allPos = t.allPos
	k.cluster.Tasks[last] = nil
	k.cluster.Tasks = k.cluster.Tasks[:last]
	delete(k.cluster.taskByID, t.ID)
	if len(k.freeTasks) < maxFreeTasks {
		k.freeTasks = append(k.freeTasks, t)
	}
}

// estimate resets Need and the predictions to the declaration and calls the
// Estimators. Need never exceeds the largest worker unless the declaration does.
func (k *Kernel) estimate(t *TaskInfo) {
	t.Need = t.Resources
	t.Predicted = t.RunTime
	t.Shortest = 0
	for _, p := range k.plugins.estimate {
		p.Estimate(&k.cluster, t)
	}
}

// latestStart returns the earliest latest start of all Orderers, which orders
// the queue. It is never before the submission, so that a task waits only for
// tasks submitted before its own latest start, and no class can starve another.
func (k *Kernel) latestStart(t *TaskInfo) time.Duration {
	earliest := NoLatestStart
	for _, p := range k.plugins.order {
		earliest = min(earliest, p.LatestStart(&k.cluster, t))
	}
	return max(earliest, t.Submitted)
}
