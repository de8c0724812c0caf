package policybench

import (
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Clairvoyant uses every actual run time and size, and orders by least actual
// laxity. It ignores the service's latency, so that it bounds what any order can
// meet.
func Clairvoyant(t *trace, seed uint64) policy.Decider {
	left := make(map[spec.TaskID]time.Duration, len(t.tasks))
	for i := range t.tasks {
		each := &t.tasks[i]
		if each.task.Class == spec.Deadline {
			left[each.task.ID] = seconds(each.run)
		}
	}
	memory := make(map[spec.TaskID]float64, len(t.tasks))
	for i := range t.tasks {
		memory[t.tasks[i].task.ID] = t.tasks[i].memory
	}
	latest := func(task policy.Task) float64 {
		if task.Deadline == 0 {
			return 0
		}
		remaining := float64(left[task.ID]) * (1 - task.Progress)
		return float64(task.Deadline) - remaining
	}
	b := newBaseline(leastLoaded, false, seed)
	b.memory = memory
	b.order = func(_ *baseline, task policy.Task) float64 { return latest(task) }
	b.victim = func(_ *baseline, s *workerState) int {
		best := -1
		for i, each := range s.running {
			if each.Class == spec.Deadline && (best < 0 || latest(each) > latest(s.running[best])) {
				best = i
			}
		}
		return best
	}
	return b
}
