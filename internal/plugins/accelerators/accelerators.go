// Package accelerators keeps tasks that need no accelerator from taking the
// processors, memory and slots without which a free accelerator is useless.
//
// Filter, for a task without accelerators on a worker with f free ones, while
// accelerators were asked for within the last 10 minutes:
//
//	free_d - need_d >= f * 0.5 * capacity_d / accelerators, d = processors, memory
//	free slots - need slots >= 1
//
// The filter does not apply to a task past its latest start.
//
// Score of a task without accelerators: 1 on a worker that has none free, else
// 0. Score of a task with accelerators: 1 / (1 + accelerators left free), so
// that partly used workers fill up first.
package accelerators

import (
	"time"

	"redwingvale/internal/framework"
)

// Name is the name of the plug-in.
const Name = "accelerators"

const (
	// keptShare is the part of an accelerator's equal share of the worker
	// that stays free for it.
	keptShare = 0.5
	// demandWindow is how long one task keeps the reservation alive.
	demandWindow = 10 * time.Minute
)

func init() { framework.Register(Name, New) }

// Plugin implements filter and score.
type Plugin struct {
	asked   bool
	askedAt time.Duration
}

var (
	_ framework.Filterer = (*Plugin)(nil)
	_ framework.Scorer   = (*Plugin)(nil)
	_ framework.Admitter = (*Plugin)(nil)
)

// New returns the plug-in.
func New(framework.Config) framework.Plugin { return &Plugin{} }

// Name implements framework.Plugin.
func (*Plugin) Name() string { return Name }

// Admit notes the demand for accelerators. It always succeeds.
func (p *Plugin) Admit(c *framework.Cluster, t *framework.TaskInfo) framework.Status {
	if t.Need.Accelerators > 0 {
		p.asked, p.askedAt = true, c.Now
	}
	return framework.Status{}
}

// Filter refuses a small task that would strand accelerators.
func (p *Plugin) Filter(c *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) framework.Status {
	if t.Need.Accelerators > 0 || w.Capacity.Accelerators == 0 {
		return framework.Status{}
	}
	if !p.asked || c.Now-p.askedAt > demandWindow || t.LatestStart <= c.Now {
		return framework.Status{}
	}
	free := w.Free()
	if free.Accelerators <= 0 {
		return framework.Status{}
	}
	share := keptShare * float64(free.Accelerators) / float64(w.Capacity.Accelerators)
	left := free.Sub(t.Need)
	strands := left.Slots < 1 ||
		left.MilliCPU < int64(share*float64(w.Capacity.MilliCPU)) ||
		left.MemoryMiB < int64(share*float64(w.Capacity.MemoryMiB))
	if !strands {
		return framework.Status{}
	}
	return framework.Refuse(Name, "would strand free accelerators", framework.CapacityFreed|framework.WorkersChanged)
}

// Score keeps accelerators together and small tasks away from them.
func (p *Plugin) Score(_ *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) float64 {
	free := w.Free().Accelerators
	if t.Need.Accelerators > 0 {
		return 1 / float64(1+max(0, free-t.Need.Accelerators))
	}
	if free > 0 {
		return 0
	}
	return 1
}
