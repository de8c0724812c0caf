package planner

import (
	"fmt"
	"strings"
)

const (
	// explainAfterMS is how long a step waits before the reason is logged.
	explainAfterMS = 2000
	// explainFactor is the factor by which the wait has grown when it is logged again.
	explainFactor = 4
)

// explainWait logs why a step's waiting tasks fit on no worker: the number of workers
// that each obstacle rules out, and a step for which others are reserved.
func (c *Core) explainWait(s *step) {
	waited := c.now.MS - s.pendingSinceMS
	if waited < max(s.explainAtMS, explainAfterMS) {
		return
	}
	s.explainAtMS = explainFactor * waited
	var counts [obstacles]int
	var holder *step
	for _, w := range c.sortedWorkers {
		o := c.ruledOutBy(s, w)
		counts[o]++
		if o == reservedRoom && holder == nil {
			holder = c.reservedFor(w)
		}
	}
	var parts []string
	for o, n := range counts {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s:%d", obstacle(o), n))
		}
	}
	d := Decision{
		Event: "step_waits", Job: s.job.id, Task: s.id().String(),
		Reason: fmt.Sprintf("tasks=%d cpu=%d mem=%d ruled_out=%s", len(s.pending), s.spec.CPUMilli, s.spec.MemoryMB, strings.Join(parts, ",")),
		AgeMS:  waited,
	}
	if holder != nil {
		d.Details = []Detail{{Name: "reserved_for", Text: holder.id().String()}}
	}
	c.emit(d)
}

// String returns the step's name in log lines.
func (id StepID) String() string {
	return fmt.Sprintf("%s.%d.%d", id.Job, id.Occurrence, id.Step)
}
