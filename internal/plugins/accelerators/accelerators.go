// Package accelerators prevents tasks that need no accelerator from taking the
// processors, memory and slots without which a free accelerator cannot be used.
//
// Filter, for a task without accelerators on a worker with f free ones, if
// accelerators were requested within the last 10 minutes:
//
//	free_d - need_d >= f * 0.5 * capacity_d / accelerators, d = processors, memory
//	free slots - need slots >= 1
//
// The filter does not apply to a task past its latest start.
//
// Score of a task without accelerators: 1 on a worker that has none free, else
// 0. Score of a task with accelerators: 1 / (1 + accelerators left free), so
// that partly used workers are filled first.
package accelerators

import (
	"time"

	"redwingvale/internal/framework"
)

// Name is the name of the plug-in.
const Name = "accelerators"

const (
	// reservedShare is the part of an accelerator's equal share of the worker's
	// resources that is kept free for it.
	reservedShare = 0.5
	// demandWindow is how long the request of one task keeps resources reserved.
	demandWindow = 10 * time.Minute
)

func init() { framework.Register(Name, New) }

// Plugin implements filter and score.
type Plugin struct {
	requested   bool
	requestedAt time.Duration
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

// Admit records a request for accelerators. It always succeeds.
func (p *Plugin) Admit(c *framework.Cluster, t *framework.TaskInfo) framework.Status {
	if t.Need.Accelerators > 0 {
		p.requested, p.requestedAt = true, c.Now
	}
	return framework.Status{}
}

// Filter refuses a worker on which a task without accelerators would strand free
// accelerators.
func (p *Plugin) Filter(c *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) framework.Status {
	if t.Need.Accelerators > 0 || w.Capacity.Accelerators == 0 {
		return framework.Status{}
	}
	if !p.requested || c.Now-p.requestedAt > demandWindow || t.LatestStart <= c.Now {
		return framework.Status{}
	}
	free := w.Free()
	if free.Accelerators <= 0 {
		return framework.Status{}
	}
	share := reservedShare * float64(free.Accelerators) / float64(w.Capacity.Accelerators)
	left := free.Sub(t.Need)
	strands := left.Slots < 1 ||
		left.MilliCPU < int64(share*float64(w.Capacity.MilliCPU)) ||
		left.MemoryMiB < int64(share*float64(w.Capacity.MemoryMiB))
	if !strands {
		return framework.Status{}
	}
	return framework.Refuse(Name, "would strand free accelerators", framework.CapacityFreed|framework.WorkersChanged)
}

// Score packs tasks with accelerators together and keeps other tasks away from
// free accelerators.
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
