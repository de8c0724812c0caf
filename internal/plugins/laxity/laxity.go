// Package laxity orders tasks by the latest time at which they can start.
//
// Order, on the owner's monotonic clock, with the predicted remaining run time
// r = Predicted * (1 - Progress):
//
//	latest start = deadline - r * 1.1
//
// All laxities decrease at the same rate, so the order by latest start is the
// order by least laxity at any time. The latest start of a task without a
// deadline is submitted + 10 minutes.
//
// A task is forecast to miss its deadline when deadline < now + the shortest
// remaining time.
package laxity

import (
	"time"

	"redwingvale/internal/framework"
	"redwingvale/internal/spec"
)

// Name is the name of the plug-in.
const Name = "laxity"

// maxWaitWithoutDeadline is the wait after which a batch task without a deadline
// is as urgent as one that has to start now.
const maxWaitWithoutDeadline = 10 * time.Minute

// startMargin multiplies the predicted remaining time, to allow for the start.
const startMargin = 1.1

func init() { framework.Register(Name, New) }

// Plugin implements order and forecasts missed deadlines.
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
		return t.Submitted + maxWaitWithoutDeadline
	}
	return t.Deadline - time.Duration(float64(t.Remaining())*startMargin)
}

// MissesDeadline reports whether a task would end after its deadline even with
// the shortest run time. It makes no forecast when that is unknown.
func (Plugin) MissesDeadline(c *framework.Cluster, t *framework.TaskInfo) bool {
	if t.Deadline == 0 || t.Shortest == 0 {
		return false
	}
	done := t.Progress
	if t.Worker != nil {
		done = max(done, fastestProgress(c, t))
	}
	left := time.Duration(float64(t.Shortest) * (1 - done))
	return c.Now+left > t.Deadline
}

// fastestProgress is the progress of a running task if it takes the shortest run
// time.
func fastestProgress(c *framework.Cluster, t *framework.TaskInfo) float64 {
	ran := float64(c.Now-t.StartedAt) / float64(t.Shortest)
	return min(1, t.StartProgress+ran)
}
