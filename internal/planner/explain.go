package planner

import (
	"fmt"
	"slices"
	"strings"
)

// explainAfterMS is how long a step waits before the reason is logged.
const explainAfterMS = 2000

// explainWait logs once why a step's waiting tasks fit on no worker: the number
// of workers that each reason rules out.
func (c *Core) explainWait(s *step) {
	if s.explained || c.now.MS-s.pendingSinceMS < explainAfterMS {
		return
	}
	s.explained = true
	counts := map[string]int{}
	for _, w := range c.sortedWorkers {
		counts[c.ruledOutBy(s, w)]++
	}
	var parts []string
	for _, reason := range []string{"service", "evacuated", "unusable", "processors", "memory", "accelerators", "label", "tasks_per_worker", "advice", "reserved", "cold", "disturbance", "suspect", "none"} {
		if counts[reason] > 0 {
			parts = append(parts, fmt.Sprintf("%s:%d", reason, counts[reason]))
		}
	}
	id := s.id()
	c.emit(Decision{
		Event: "step_waits", Job: id.Job, Task: fmt.Sprintf("%s.%d.%d", id.Job, id.Occurrence, id.Step),
		Reason: fmt.Sprintf("tasks=%d cpu=%d mem=%d ruled_out=%s", len(s.pending), s.spec.CPUMilli, s.spec.MemoryMB, strings.Join(parts, ",")),
		AgeMS:  c.now.MS - s.pendingSinceMS,
	})
}

// ruledOutBy returns the first reason why a worker cannot run the step's tasks
// now, or "none".
func (c *Core) ruledOutBy(s *step, w *worker) string {
	free, needed := w.info.Capacity.minus(w.used), s.resources()
	holder := c.reservedFor(w)
	switch {
	case w.info.Service != s.job.queue.Service:
		return "service"
	case c.evacuated(w):
		return "evacuated"
	case !w.recorded:
		return "unrecorded"
	case !c.usable(w):
		return "unusable"
	case s.spec.Label != "" && !slices.Contains(w.info.Labels, s.spec.Label):
		return "label"
	case needed.CPUMilli > free.CPUMilli:
		return "processors"
	case needed.MemoryMB > free.MemoryMB:
		return "memory"
	case needed.GPU > free.GPU:
		return "accelerators"
	case s.spec.MaxPerWorker > 0 && w.runsOf(s) >= s.spec.MaxPerWorker:
		return "tasks_per_worker"
	case s.job.queue.Advised && !s.advice.allows(w.info.ID, c.now.MS):
		return "advice"
	case holder != nil && holder != s && needed.CPUMilli > 0:
		return "reserved"
	case c.coldRoom(w) < 1:
		return "cold"
	case s.spec.BestEffort && !c.mayRunBestEffort(w, s):
		return "disturbance"
	case !w.health.admits(c.now.MS, w.runs):
		return "suspect"
	}
	return "none"
}
