package longrun_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/framework"
	_ "redwingvale/internal/plugins/fit"
	_ "redwingvale/internal/plugins/laxity"
	"redwingvale/internal/plugins/longrun"
	_ "redwingvale/internal/plugins/relief"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

var one = spec.Resources{MilliCPU: 1000, Slots: 1}

func newKernel(c *qt.C, movesPerDay int) *framework.Kernel {
	k, err := framework.New(framework.Config{Plugins: []string{"fit", "laxity", "longrun", "relief"}})
	c.Assert(err, qt.IsNil)
	k.Configure(0, []policy.Service{{Team: "t", ID: "s", MaxMovesPerDay: movesPerDay}})
	k.SetWorker(0, spec.Worker{ID: "w", Capacity: one.Scale(4)})
	return k
}

func task(name string, class spec.Class, now time.Duration) policy.Task {
	return policy.Task{
		ID:      spec.TaskID{Job: spec.JobID{Team: "t", Name: name}},
		Service: "s", Class: class, Resources: one, Submitted: now, RunTime: time.Hour,
	}
}

// Guards against batch tasks that starve a long-running task.
func TestLongRunningTaskStartsWithinBound(t *testing.T) {
	c := qt.New(t)
	k := newKernel(c, 0)
	for i := range 20 {
		k.Enqueue(0, task(fmt.Sprint("batch", i), spec.Deadline, 0))
	}
	k.Schedule(0, 10)
	start := time.Minute
	k.Enqueue(start, task("watcher", spec.LongRunning, start))
	for now := start; now <= start+longrun.MaxWait+10*time.Second; now += time.Second {
		for _, p := range k.Schedule(now, 10) {
			if p.Task.Job.Name == "watcher" {
				c.Assert(now >= start+longrun.MaxWait, qt.IsTrue)
				return
			}
		}
		for _, a := range k.Review(now) {
			k.Ended(now, a.Task, policy.EndStopped, time.Minute)
		}
	}
	c.Fatal("the long-running task did not start within the bound")
}

// Guards against a long-running task that is moved more often than its
// service's document allows.
func TestMovesPerDayAreBounded(t *testing.T) {
	c := qt.New(t)
	k := newKernel(c, 2)
	watcher := task("watcher", spec.LongRunning, 0)
	moved := 0
	for now := time.Duration(0); now < 23*time.Hour; now += time.Minute {
		k.Enqueue(now, watcher)
		k.Schedule(now, 1)
		for _, a := range k.Relieve(now+time.Second, "w", one.Scale(4)) {
			moved++
			k.Ended(now+2*time.Second, a.Task, policy.EndStopped, time.Second)
			watcher.Moves++
		}
	}
	c.Assert(moved, qt.Equals, 2)
}
