package accelerators

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/framework"
	"redwingvale/internal/spec"
)

// Guards against tasks without accelerators that strand free ones, and against a
// reservation that outlasts the demand or delays a task past its latest start.
func TestKeepsResourcesFreeForAccelerators(t *testing.T) {
	worker := &framework.Worker{Worker: spec.Worker{
		Capacity: spec.Resources{MilliCPU: 32000, MemoryMiB: 64000, Accelerators: 2, Slots: 8},
	}}
	small := spec.Resources{MilliCPU: 20000, MemoryMiB: 1000, Slots: 1}
	for _, test := range []struct {
		name   string
		need   spec.Resources
		demand bool
		now    time.Duration
		latest time.Duration
		ok     bool
	}{
		{"no demand", small, false, time.Minute, time.Hour, true},
		{"demand", small, true, time.Minute, time.Hour, false},
		{"demand is old", small, true, time.Hour, 2 * time.Hour, true},
		{"past the latest start", small, true, time.Minute, time.Second, true},
		{"leaves enough", spec.Resources{MilliCPU: 16000, Slots: 1}, true, time.Minute, time.Hour, true},
		{"takes the last slot", spec.Resources{Slots: 8}, true, time.Minute, time.Hour, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := New(framework.Config{}).(*Plugin)
			if test.demand {
				p.Admit(&framework.Cluster{}, &framework.TaskInfo{Need: spec.Resources{Accelerators: 1}})
			}
			item := &framework.TaskInfo{Need: test.need, LatestStart: test.latest}
			s := p.Filter(&framework.Cluster{Now: test.now}, item, worker)
			qt.Assert(t, s.OK(), qt.Equals, test.ok)
		})
	}
}
