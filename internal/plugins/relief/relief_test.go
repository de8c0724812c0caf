package relief

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/framework"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Guards against an order that loses more work than necessary, that spares
// borrowed capacity, or that makes tasks miss deadlines while others have slack.
func TestOrderOfVictims(t *testing.T) {
	c := qt.New(t)
	cluster := &framework.Cluster{Now: time.Hour}
	item := func(index uint32, started time.Duration, edit func(*framework.TaskInfo)) *framework.TaskInfo {
		t := &framework.TaskInfo{StartedAt: started, Predicted: 10 * time.Minute}
		t.ID.Index = index
		t.Class = spec.Deadline
		edit(t)
		return t
	}
	w := &framework.Worker{ServiceIndex: -1, Running: []*framework.TaskInfo{
		item(5, 59*time.Minute, func(t *framework.TaskInfo) { t.Class = spec.LongRunning }),
		item(6, 59*time.Minute, func(t *framework.TaskInfo) { t.Deadline = 70 * time.Minute }),
		item(4, 50*time.Minute, func(*framework.TaskInfo) {}),
		item(3, 50*time.Minute, func(t *framework.TaskInfo) { t.Progress = 0.9 }),
		item(2, 50*time.Minute, func(t *framework.TaskInfo) { t.Borrowed = true }),
		item(1, 55*time.Minute, func(t *framework.TaskInfo) { t.Borrowed = true }),
	}}
	p := New(framework.Config{}).(*Plugin)
	c.Assert(p.Evict(cluster, w, spec.Resources{}, nil), qt.HasLen, 0)
	var order []uint32
	for _, a := range p.Evict(cluster, w, spec.Resources{Slots: 1}, []policy.Action{}) {
		order = append(order, a.Task.Index)
	}
	c.Assert(order, qt.DeepEquals, []uint32{1, 2, 3, 4, 5, 6})
}
