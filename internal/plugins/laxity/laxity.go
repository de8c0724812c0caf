// Package laxity orders tasks by the latest time at which they can start.
//
// Order, on the owner's monotonic clock, with the predicted remaining run time
// r = Predicted * (1 - Progress):
//
//	latest start = deadline - r * 1.1
//
// All laxities shrink at the same rate, so the order by latest start is the
// order by least laxity at every moment. A task without a deadline gets
// submitted + 10 minutes.
//
// Late is true when deadline < now + the shortest remaining time known.
package laxity

import (
	"time"

	"redwingvale/internal/framework"
	"redwingvale/internal/spec"
)

// Name is the name of the plug-in.
const Name = "laxity"

// patience is the wait after which a batch task without a deadline is as
// urgent as one that has to start now.
const patience = 10 * time.Minute

// margin multiplies the predicted remaining time, for the start itself.
const margin = 1.1

func init() { framework.Register(Name, New) }

// Plugin implements order and forecasts late tasks.
type Plugin struct{}

var (
	_ framework.Orderer    = Plugin{}
	_ framework.Forecaster = Plugin{}
)

// New returns the plug-in.
func New(framework.Config) framework.Plugin { return Plugin{} }

// Name implements framework.Plugin.
func (Plugin) Name() string { return Name }

// LatestStart returns the latest start of a batch task.
func (Plugin) LatestStart(_ *framework.Cluster, t *framework.TaskInfo) time.Duration {
	if t.Class == spec.LongRunning {
		return framework.NoLatestStart
	}
	if t.Deadline == 0 {
		return t.Submitted + patience
	}
	return t.Deadline - time.Duration(float64(t.Remaining())*margin)
}

// MissesDeadline reports whether even the shortest run time known ends too late. A task
// without such knowledge is late only once its deadline has passed.
func (Plugin) MissesDeadline(c *framework.Cluster, t *framework.TaskInfo) bool {
	if t.Deadline == 0 || t.Shortest == 0 {
		return false
	}
	done := t.Progress
	if t.Worker != nil {
		done = max(done, assumedProgress(c, t))
	}
	left := time.Duration(float64(t.Shortest) * (1 - done))
	return c.Now+left > t.Deadline
}

// assumedProgress is the progress that a running task has if it runs as fast as
// the shortest run time known.
func assumedProgress(c *framework.Cluster, t *framework.TaskInfo) float64 {
	ran := float64(c.Now-t.StartedAt) / float64(t.Shortest)
	return min(1, t.StartProgress+ran)
}
