package framework

import (
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Ended implements policy.Decider. It forgets the task in every case; a task
// that is to run again is given to Enqueue again.
func (k *Kernel) Ended(now time.Duration, id spec.TaskID, end policy.EndKind, ran time.Duration) {
	k.cluster.Now = now
	t := k.cluster.itemByID[id]
	if t == nil {
		return
	}
	if t.state != assumed {
		k.forget(t)
		return
	}
	w := t.Worker
	if end != policy.EndNotStarted {
		for _, p := range k.plugins.learn {
			p.Learn(&k.cluster, t, end, ran)
		}
	}
	k.release(t, w)
	k.retries.ended(id, end, now)
	k.judge(w)
	k.wakeRoom(w)
	k.queues.wakeTeam(id.Job.Team)
	k.forget(t)
}

// release takes a task off its worker.
func (k *Kernel) release(t *Item, w *Worker) {
	for i := len(k.plugins.reserve) - 1; i >= 0; i-- {
		k.plugins.reserve[i].Unreserve(&k.cluster, t, w)
	}
	last := len(w.Running) - 1
	w.Running[t.runPos] = w.Running[last]
	w.Running[t.runPos].runPos = t.runPos
	w.Running[last] = nil
	w.Running = w.Running[:last]
	if k.cluster.Config.broken != brokenRelease {
		w.Reserved = w.Reserved.Sub(t.Need)
	}
	t.Worker = nil
	t.state = 0
	k.cluster.Running--
	k.refresh(w)
}
