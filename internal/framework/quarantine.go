package framework

import "redwingvale/internal/policy"

// checkWorker calls the quarantine plug-ins for a worker and applies their
// decisions.
func (k *Kernel) checkWorker(w *Worker) {
	for _, p := range k.plugins.quarantine {
		answer, why := p.CheckWorker(&k.cluster, w)
		switch answer {
		case Isolate:
			k.isolate(w, why)
		case Probe:
			w.Probing = true
		case Release:
			k.releaseWorker(w, why)
		}
	}
	k.updateIndex(w)
}

// isolate stops the placement of tasks on a worker.
func (k *Kernel) isolate(w *Worker, why string) {
	w.Probing = false
	if w.Isolated {
		return
	}
	w.Isolated = true
	k.isolated = append(k.isolated, w)
	k.pendingQuarantine = append(k.pendingQuarantine, policy.Action{Kind: policy.ActionQuarantine, Worker: w.ID, Why: why})
}

// releaseWorker returns an isolated worker to service.
func (k *Kernel) releaseWorker(w *Worker, why string) {
	if !w.Isolated {
		return
	}
	w.Isolated, w.Probing = false, false
	for i, each := range k.isolated {
		if each == w {
			k.isolated = append(k.isolated[:i], k.isolated[i+1:]...)
			break
		}
	}
	k.pendingQuarantine = append(k.pendingQuarantine, policy.Action{Kind: policy.ActionRelease, Worker: w.ID, Why: why})
	k.updateIndex(w)
	k.activateAfterHealthChange(w)
}

// reviewQuarantine checks the isolated workers and appends the quarantines and
// releases since the last review to out.
func (k *Kernel) reviewQuarantine(out []policy.Action) []policy.Action {
	for _, w := range append([]*Worker(nil), k.isolated...) {
		probing := w.Probing
		k.checkWorker(w)
		if w.Probing && !probing {
			k.activateAfterHealthChange(w)
		}
	}
	out = append(out, k.pendingQuarantine...)
	k.pendingQuarantine = k.pendingQuarantine[:0]
	return out
}

// activateAfterHealthChange activates the parked tasks that fit into a worker
// that was released or may be probed.
func (k *Kernel) activateAfterHealthChange(w *Worker) {
	if !w.Schedulable() {
		return
	}
	free := w.Free()
	k.queues.activateFitting(HealthChanged|CapacityFreed, &free)
}
