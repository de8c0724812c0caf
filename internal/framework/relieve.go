package framework

import (
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Relieve implements policy.Decider. Resources that are free or that leaving
// tasks will free count towards need, so a repeated call evicts nothing more.
func (k *Kernel) Relieve(now time.Duration, id spec.WorkerID, need spec.Resources) []policy.Action {
	k.cluster.Now = now
	w := k.cluster.workerByID[id]
	if w == nil {
		return nil
	}
	missing := need.Sub(w.Free())
	for _, t := range w.Running {
		if t.Leaving {
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
	return k.take(missing)
}

// take returns proposals in their order until missing is covered, and then
// drops those that turn out not to be needed, the last first.
func (k *Kernel) take(missing spec.Resources) []policy.Action {
	var chosen []policy.Action
	for _, a := range k.proposals {
		if missing.Fits(spec.Resources{}) {
			break
		}
		t := k.cluster.itemByID[a.Task]
		if t == nil || !k.MayActOn(t, a.Kind) || !helps(t.Need, missing) {
			continue
		}
		missing = missing.Sub(t.Need)
		chosen = append(chosen, a)
	}
	kept := chosen[:0]
	for i := len(chosen) - 1; i >= 0; i-- {
		need := k.cluster.itemByID[chosen[i].Task].Need
		if missing.Add(need).Fits(spec.Resources{}) {
			missing = missing.Add(need)
			chosen[i].Task = spec.TaskID{}
		}
	}
	for _, a := range chosen {
		if t := k.cluster.itemByID[a.Task]; t != nil {
			k.apply(t, &a)
			kept = append(kept, a)
		}
	}
	return kept
}

// helps reports whether freeing need reduces a dimension that is missing.
func helps(need, missing spec.Resources) bool {
	return (need.MilliCPU > 0 && missing.MilliCPU > 0) ||
		(need.MemoryMiB > 0 && missing.MemoryMiB > 0) ||
		(need.Accelerators > 0 && missing.Accelerators > 0) ||
		(need.Slots > 0 && missing.Slots > 0) ||
		(need.Connections > 0 && missing.Connections > 0)
}
