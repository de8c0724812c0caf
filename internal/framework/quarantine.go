package framework

import "redwingvale/internal/policy"

// judge asks the quarantine plug-ins about a worker and applies the answer.
func (k *Kernel) judge(w *Worker) {
	for _, p := range k.plugins.quarantine {
		answer, why := p.Judge(&k.cluster, w)
		switch answer {
		case Isolate:
			k.isolate(w, why)
		case Probe:
			w.Probing = true
		case Release:
			k.releaseWorker(w, why)
		}
	}
	k.refresh(w)
}

// isolate stops placing on a worker.
func (k *Kernel) isolate(w *Worker, why string) {
	w.Probing = false
	if w.Isolated {
		return
	}
	w.Isolated = true
	k.sick = append(k.sick, w)
	k.verdicts = append(k.verdicts, policy.Action{Kind: policy.ActionQuarantine, Worker: w.ID, Why: why})
}

// releaseWorker returns an isolated worker to service.
func (k *Kernel) releaseWorker(w *Worker, why string) {
	if !w.Isolated {
		return
	}
	w.Isolated, w.Probing = false, false
	for i, each := range k.sick {
		if each == w {
			k.sick = append(k.sick[:i], k.sick[i+1:]...)
			break
		}
	}
	k.verdicts = append(k.verdicts, policy.Action{Kind: policy.ActionRelease, Worker: w.ID, Why: why})
	k.refresh(w)
	k.wakeHealth(w)
}

// judgeAll judges the isolated workers and reports the verdicts since the
// last review.
func (k *Kernel) judgeAll(out []policy.Action) []policy.Action {
	for _, w := range append([]*Worker(nil), k.sick...) {
		probing := w.Probing
		k.judge(w)
		if w.Probing && !probing {
			k.wakeHealth(w)
		}
	}
	out = append(out, k.verdicts...)
	k.verdicts = k.verdicts[:0]
	return out
}

// wakeHealth wakes the tasks that a returned or probed worker may help.
func (k *Kernel) wakeHealth(w *Worker) {
	if !w.Takes() {
		return
	}
	free := w.Free()
	k.queues.wakeRoom(HealthChanged|RoomFreed, &free)
}
