package fit_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/framework"
	"redwingvale/internal/plugins/fit"
	"redwingvale/internal/spec"
)

// Guards against a dimension that is not checked, and against reservations or
// grants that are not subtracted from the capacity.
func TestFilterNamesTheScarceDimension(t *testing.T) {
	w := &framework.Worker{
		Worker:   spec.Worker{Capacity: spec.Resources{MilliCPU: 8, MemoryMiB: 8, Accelerators: 2, Slots: 8, Connections: 8}},
		Granted:  spec.Resources{Slots: 2, Connections: 6},
		Reserved: spec.Resources{MilliCPU: 4, MemoryMiB: 2, Accelerators: 1, Slots: 4},
	}
	for _, test := range []struct {
		need spec.Resources
		want string
	}{
		{spec.Resources{MilliCPU: 4, MemoryMiB: 6, Accelerators: 1, Slots: 2, Connections: 2}, ""},
		{spec.Resources{MilliCPU: 5}, "milli_cpu"},
		{spec.Resources{MemoryMiB: 7}, "memory_mib"},
		{spec.Resources{Accelerators: 2}, "accelerators"},
		{spec.Resources{Slots: 3}, "slots"},
		{spec.Resources{Connections: 3}, "connections"},
	} {
		c := qt.New(t)
		p := fit.New(framework.Config{}).(fit.Plugin)
		s := p.Filter(nil, &framework.TaskInfo{Need: test.need}, w)
		c.Check(s.Dimension, qt.Equals, test.want)
		c.Check(p.Reserve(nil, &framework.TaskInfo{Need: test.need}, w), qt.Equals, s)
	}
}

// Guards against a task that waits, without a reason, for resources that no
// worker has.
func TestAdmitRefusesWhatIsLargerThanEveryWorker(t *testing.T) {
	c := qt.New(t)
	cluster := &framework.Cluster{Largest: spec.Resources{MilliCPU: 10, Slots: 8}}
	p := fit.New(framework.Config{}).(fit.Plugin)
	s := p.Admit(cluster, &framework.TaskInfo{Need: spec.Resources{MilliCPU: 11}})
	c.Assert(s.Code, qt.Equals, framework.UnschedulableAndUnresolvable)
	c.Assert(s.RetryOn&framework.CapacityFreed, qt.Equals, framework.Event(0))
}
