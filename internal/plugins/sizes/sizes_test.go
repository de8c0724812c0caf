package sizes

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/framework"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

func newItem(declared int64) *framework.TaskInfo {
	need := spec.Resources{MilliCPU: 1000, MemoryMiB: declared}
	return &framework.TaskInfo{Task: policy.Task{Resources: need}, Need: need}
}

// Guards against reserving less than tasks of the kind have used, and against
// placing tasks whose peaks together exceed the worker's memory.
func TestLearnedSizesLimitPlacement(t *testing.T) {
	c := qt.New(t)
	w := &framework.Worker{Worker: spec.Worker{Capacity: spec.Resources{MemoryMiB: 10000}}}
	cluster := &framework.Cluster{
		Kinds: make([]framework.KindKey, 1), Workers: []*framework.Worker{w},
		Largest: spec.Resources{MilliCPU: 32000, MemoryMiB: 10000},
	}
	p := New(framework.Config{}).(*Plugin)
	for i := range 20 {
		done := newItem(1000)
		done.Peak = spec.Resources{MilliCPU: 500, MemoryMiB: 1800 + int64(i%3)*100}
		p.Learn(cluster, done, policy.EndDone, time.Minute)
	}
	placed := 0
	for range 10 {
		next := newItem(1000)
		p.Estimate(cluster, next)
		c.Assert(next.Need.MemoryMiB, qt.Equals, int64(1900))
		c.Assert(next.Need.MilliCPU, qt.Equals, int64(1000))
		if !p.Filter(cluster, next, w).OK() {
			break
		}
		p.Reserve(cluster, next, w)
		w.Running = append(w.Running, next)
		placed++
	}
	c.Assert(placed, qt.Equals, 5)
}

// Guards against acting only once the memory is exhausted, and against moving a
// task that stays within its declaration.
func TestMovesGrowingTaskBeforeMemoryLimit(t *testing.T) {
	c := qt.New(t)
	grown, honest := newItem(2000), newItem(6000)
	grown.ID.Index, honest.ID.Index = 1, 2
	w := &framework.Worker{
		Worker:  spec.Worker{Capacity: spec.Resources{MemoryMiB: 10000}},
		Running: []*framework.TaskInfo{grown, honest},
	}
	cluster := &framework.Cluster{Lag: 5 * time.Second}
	p := New(framework.Config{}).(*Plugin)
	honest.Used.MemoryMiB, grown.Used.MemoryMiB = 5500, 2500
	c.Assert(p.Evict(cluster, w, spec.Resources{}, nil), qt.HasLen, 0)
	grown.MemoryRate = 130
	actions := p.Evict(cluster, w, spec.Resources{}, nil)
	c.Assert(actions, qt.HasLen, 1)
	c.Assert(actions[0].Task, qt.Equals, grown.ID)
	grown.Used.MemoryMiB, grown.MemoryRate, honest.MemoryRate = 1900, 0, 400
	c.Assert(p.Evict(cluster, w, spec.Resources{}, nil), qt.HasLen, 0)
}
