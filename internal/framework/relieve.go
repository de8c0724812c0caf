package framework

import (
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Relieve implements policy.Decider. Resources that are free, or that stopping
// tasks will free, count towards need, so a repeated call evicts nothing more.
func (k *Kernel) Relieve(now time.Duration, id spec.WorkerID, need spec.Resources) []policy.Action {
	k.cluster.Now = now
	w := k.cluster.workerByID[id]
	if w == nil {
		return nil
	}
	missing := need.Sub(w.Free())
	for _, t := range w.Running {
		if t.Stopping {
			missing = missing.Sub(t.Need)
		}
	}
	if missing.Fits(spec.Resources{}) {
		return nil
	}
	k.proposals = k.proposals[:0]
	for _, p := range k.plugins.evict {
		k.proposals = p.Evict(&k.cluster, w, missing, k.proposals)
	}
	return k.acceptNeeded(missing)
}

// acceptNeeded accepts proposals in their order until missing is covered, and
// then drops those that are not needed after all, the last first.
func (k *Kernel) acceptNeeded(missing spec.Resources) []policy.Action {
	var chosen []policy.Action
	for _, a := range k.proposals {
		if missing.Fits(spec.Resources{}) {
			break
		}
		t := k.cluster.taskByID[a.Task]
		if t == nil || !k.MayActOn(t, a.Kind) || !reducesShortfall(t.Need, missing) {
			continue
		}
		missing = missing.Sub(t.Need)
		chosen = append(chosen, a)
	}
	kept := chosen[:0]
	for i := len(chosen) - 1; i >= 0; i-- {
		need := k.cluster.taskByID[chosen[i].Task].Need
		if missing.Add(need).Fits(spec.Resources{}) {
			missing = missing.Add(need)
			chosen[i].Task = spec.TaskID{}
		}
	}
	for _, a := range chosen {
		if t := k.cluster.taskByID[a.Task]; t != nil {
			k.recordAction(t, &a)
			kept = append(kept, a)
		}
	}
	return kept
}

// reducesShortfall reports whether freeing need reduces the shortfall in at least
// one dimension.
func reducesShortfall(need, missing spec.Resources) bool {
	return (need.MilliCPU > 0 && missing.MilliCPU > 0) ||
		(need.MemoryMiB > 0 && missing.MemoryMiB > 0) ||
		(need.Accelerators > 0 && missing.Accelerators > 0) ||
		(need.Slots > 0 && missing.Slots > 0) ||
		(need.Connections > 0 && missing.Connections > 0)
}
