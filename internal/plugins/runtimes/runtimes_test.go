package runtimes

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/framework"
	"redwingvale/internal/policy"
)

// Guards against predictions that follow a wrong declaration, and against
// learning from attempts that do not show the run time.
func TestEstimateFollowsTheKind(t *testing.T) {
	c := qt.New(t)
	cluster := &framework.Cluster{Kinds: make([]framework.KindKey, 1)}
	p := New(framework.Config{}).(*Plugin)
	item := func(progress float64, throttled bool) *framework.TaskInfo {
		return &framework.TaskInfo{
			Task: policy.Task{RunTime: time.Minute}, Predicted: time.Minute,
			StartProgress: progress, Throttled: throttled,
		}
	}
	for i := range 20 {
		p.Learn(cluster, item(0, false), policy.EndDone, 2*time.Minute+time.Duration(i)*time.Second)
	}
	p.Learn(cluster, item(0, false), policy.EndFailed, time.Second)
	p.Learn(cluster, item(0, true), policy.EndDone, time.Hour)
	p.Learn(cluster, item(0.95, false), policy.EndDone, time.Second)
	next := item(0, false)
	p.Estimate(cluster, next)
	c.Assert(next.Predicted, qt.Equals, 2*time.Minute+18*time.Second)
	c.Assert(next.Shortest, qt.Equals, 96*time.Second)
}
