package group

import "redwingvale/internal/fence"

// Fence returns the ownership as the group's stream states it, and whether
// the stream was read far enough to know it.
func (c *Core) Fence() (fence.Fence, bool) {
	return c.state().fence, c.follow.complete || !c.follow.started
}

// LastVerdict returns the verdict on the last record that was read. A repeat
// counts as void.
func (c *Core) LastVerdict() fence.Verdict { return c.lastVerdict }

// Summary counts what a group holds.
type Summary struct {
	Jobs    int
	Waiting int
	Running int
}

// Summary counts the group's jobs and tasks.
func (c *Core) Summary() Summary {
	var out Summary
	for _, j := range c.state().jobs {
		out.Jobs++
		for _, t := range j.tasks {
			switch t.state {
			case taskWaiting:
				out.Waiting++
			case taskRunning:
				out.Running++
			}
		}
	}
	return out
}
