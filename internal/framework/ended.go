package framework

import (
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Ended implements policy.Decider. It removes the task in every case; a task
// that is to run again is passed to Enqueue again.
func (k *Kernel) Ended(now time.Duration, id spec.TaskID, end policy.EndKind, ran time.Duration) {
	k.cluster.Now = now
	t := k.cluster.taskByID[id]
	if t == nil {
		return
	}
	if t.state != statePlaced {
		k.removeTask(t)
		return
	}
	w := t.Worker
	if end != policy.EndNotStarted {
		for _, p := range k.plugins.learn {
			p.Learn(&k.cluster, t, end, ran)
		}
	}
	k.release(t, w)
	k.backoffs.recordEnd(id, end, now)
	k.checkWorker(w)
	k.activateFitting(w)
	k.queues.activateTeam(id.Job.Team)
	k.removeTask(t)
}

// release removes a task from its worker and frees its reservations.
func (k *Kernel) release(t *TaskInfo, w *Worker) {
	for i := len(k.plugins.reserve) - 1; i >= 0; i-- {
		k.plugins.reserve[i].Unreserve(&k.cluster, t, w)
	}
	last := len(w.Running) - 1
	w.Running[t.runPos] = w.Running[last]
	w.Running[t.runPos].runPos = t.runPos
	w.Running[last] = nil
	w.Running = w.Running[:last]
	if k.cluster.Config.mutation != mutationRelease {
		w.Reserved = w.Reserved.Sub(t.Need)
	}
	t.Worker = nil
	t.state = 0
	k.cluster.Running--
	k.updateIndex(w)
}
