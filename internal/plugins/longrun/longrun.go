// Package longrun bounds the wait of long-running tasks.
//
// Order:
//
//	latest start = submitted + 30 s
//
// For a long-running task that still waits for free resources after its latest
// start, batch tasks are moved: each review chooses the worker on which this
// loses the least work.
//
// The kernel bounds how often long-running tasks themselves are moved
// (MaxMovesPerDay of the service, 4 by default).
package longrun

import (
	"time"

	"redwingvale/internal/framework"
	"redwingvale/internal/plugins/preempt"
	"redwingvale/internal/plugins/relief"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Name is the name of the plug-in.
const Name = "longrun"

// MaxWait is the wait after which batch tasks are moved for a long-running task.
const MaxWait = 30 * time.Second

func init() { framework.Register(Name, New) }

// Plugin implements order and moves batch tasks at reviews.
type Plugin struct{ search preempt.Search }

var (
	_ framework.Orderer  = (*Plugin)(nil)
	_ framework.Periodic = (*Plugin)(nil)
)

// New returns the plug-in.
func New(framework.Config) framework.Plugin { return &Plugin{} }

// Name implements framework.Plugin.
func (*Plugin) Name() string { return Name }

// LatestStart returns the latest start of a long-running task.
func (*Plugin) LatestStart(_ *framework.Cluster, t *framework.TaskInfo) time.Duration {
	if t.Class != spec.LongRunning {
		return framework.NoLatestStart
	}
	return t.Submitted + MaxWait
}

// Propose moves batch tasks to free resources for the long-running tasks that
// have waited longer than MaxWait.
func (p *Plugin) Propose(c *framework.Cluster, out []policy.Action) []policy.Action {
	c.EachParked(func(t *framework.TaskInfo, refusal framework.Status) {
		late := t.Class == spec.LongRunning && t.LatestStart <= c.Now
		if !late || refusal.RetryOn&framework.CapacityFreed == 0 {
			return
		}
		for _, victim := range p.search.CheapestVictims(c, t, cost(c)) {
			why := "a long-running task has waited longer than 30s for room"
			out = append(out, policy.Action{Kind: policy.ActionMove, Task: victim.ID, Why: why})
		}
	})
	return out
}

// cost returns the cost function of preempt.Search. It allows batch tasks to be
// moved, at the cost of the work that they lose.
func cost(c *framework.Cluster) func(*framework.TaskInfo) (time.Duration, bool) {
	return func(t *framework.TaskInfo) (time.Duration, bool) {
		return relief.LostWork(c, t), t.Class == spec.Deadline
	}
}
