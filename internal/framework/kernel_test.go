package framework_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/framework"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

var slot = spec.Resources{MilliCPU: 1000, MemoryMiB: 1024, Slots: 1}

// twoSlots returns the capacity for two tasks of one slot, with more memory than
// the predicted peaks of two tasks of an unknown kind.
func twoSlots() spec.Resources {
	r := slot.Scale(2)
	r.MemoryMiB *= 2
	return r
}

func newTask(name string, resources spec.Resources) policy.Task {
	return policy.Task{
		ID:    spec.TaskID{Job: spec.JobID{Team: "t", Name: name}},
		Class: spec.Deadline, Resources: resources, RunTime: time.Minute,
	}
}

func newKernel(c *qt.C, workers int) *framework.Kernel {
	k, err := framework.New(framework.Config{})
	c.Assert(err, qt.IsNil)
	for i := range workers {
		k.SetWorker(0, spec.Worker{ID: spec.WorkerID(fmt.Sprint("w", i)), Capacity: twoSlots()})
	}
	return k
}

// Guards against reasons without worker counts, and against a rejected task
// whose reasons do not name the missing resource.
func TestExplainCountsWorkersByDimension(t *testing.T) {
	c := qt.New(t)
	k := newKernel(c, 3)
	k.SetGranted(0, "w0", spec.Resources{Slots: 2})
	k.SetGranted(0, "w1", spec.Resources{MemoryMiB: 4000})
	k.SetGranted(0, "w2", spec.Resources{MemoryMiB: 4000})
	id := newTask("j", slot).ID
	k.Enqueue(0, newTask("j", slot))
	c.Assert(k.Schedule(0, 1), qt.HasLen, 0)
	counts := map[string]int{}
	for _, reason := range k.Explain(id) {
		counts[reason.Dimension] += reason.Workers
	}
	c.Assert(counts["memory_mib"], qt.Equals, 2)
	c.Assert(counts["slots"], qt.Equals, 1)
	k.SetGranted(0, "w2", spec.Resources{})
	c.Assert(k.Schedule(0, 1), qt.HasLen, 1)
	c.Assert(k.Explain(id), qt.HasLen, 0)
	c.Assert(k.Relieve(time.Second, "w2", spec.Resources{Slots: 2}), qt.HasLen, 1)
	c.Assert(k.Explain(id)[0].Detail, qt.Contains, "urgent requests need the room")
}

// Guards against a task that is started again immediately after each failure,
// and against one that never leaves the backoff queue.
func TestFailedTasksBackOff(t *testing.T) {
	c := qt.New(t)
	k := newKernel(c, 1)
	now := time.Duration(0)
	for _, wait := range []time.Duration{0, time.Second, 2 * time.Second, 4 * time.Second} {
		k.Enqueue(now, newTask("j", slot))
		if wait > 0 {
			c.Assert(k.Schedule(now+wait-1, 1), qt.HasLen, 0)
		}
		now += wait
		c.Assert(k.Schedule(now, 1), qt.HasLen, 1)
		k.Ended(now, newTask("j", slot).ID, policy.EndFailed, time.Second)
	}
}

// Guards against a parked task that stays parked after resources were freed, and
// against activating only one of several tasks that fit.
func TestEventsActivateParkedTasksBeforeRetryTime(t *testing.T) {
	c := qt.New(t)
	k := newKernel(c, 1)
	for i := range 6 {
		k.Enqueue(0, newTask(fmt.Sprint("j", i), slot))
	}
	c.Assert(k.Schedule(0, 10), qt.HasLen, 2)
	c.Assert(k.Schedule(time.Millisecond, 10), qt.HasLen, 0)
	k.SetWorker(2*time.Millisecond, spec.Worker{ID: "w9", Capacity: twoSlots()})
	c.Assert(k.Schedule(3*time.Millisecond, 10), qt.HasLen, 2)
	k.Ended(4*time.Millisecond, newTask("j0", slot).ID, policy.EndDone, time.Second)
	c.Assert(k.Schedule(5*time.Millisecond, 10), qt.HasLen, 1)
	k.Audit()
}

// Guards against evicting again for resources that stopping tasks will free, and
// against evicting more than is needed.
func TestRelieveEvictsOnlyWhatIsMissing(t *testing.T) {
	c := qt.New(t)
	k := newKernel(c, 1)
	k.SetWorker(0, spec.Worker{ID: "w0", Capacity: slot.Scale(4)})
	for i := range 4 {
		size := slot
		if i == 0 {
			size.MilliCPU = 500
		}
		k.Restore(0, newTask(fmt.Sprint("j", i), size), "w0")
	}
	first := k.Relieve(time.Minute, "w0", spec.Resources{Slots: 2})
	c.Assert(first, qt.HasLen, 2)
	c.Assert(k.Relieve(time.Minute+time.Second, "w0", spec.Resources{Slots: 2}), qt.HasLen, 0)
	k.Ended(time.Minute+time.Second, first[0].Task, policy.EndStopped, time.Minute)
	c.Assert(k.Relieve(time.Minute+2*time.Second, "w0", spec.Resources{Slots: 2}), qt.HasLen, 0)
	k.Audit()
}

// Guards against reporting a task as overdue only after its deadline.
func TestOverdueBeforeDeadline(t *testing.T) {
	c := qt.New(t)
	k := newKernel(c, 1)
	for i := range 10 {
		task := newTask(fmt.Sprint("past", i), slot)
		k.Enqueue(0, task)
		c.Assert(k.Schedule(0, 1), qt.HasLen, 1)
		k.Ended(0, task.ID, policy.EndDone, time.Minute)
	}
	late, fine := newTask("late", slot.Scale(100)), newTask("fine", slot.Scale(100))
	late.Deadline, fine.Deadline = 40*time.Second, 70*time.Second
	k.Enqueue(0, late)
	k.Enqueue(0, fine)
	c.Assert(k.Overdue(0), qt.DeepEquals, []spec.TaskID{late.ID})
}

// Guards against the loss of a rack that causes evictions or quarantines on the
// remaining workers.
func TestRackLossCausesNoEvictions(t *testing.T) {
	c := qt.New(t)
	k := newKernel(c, 40)
	for i := range 80 {
		k.Enqueue(0, newTask(fmt.Sprint("j", i), slot))
	}
	placed := k.Schedule(0, 100)
	c.Assert(placed, qt.HasLen, 80)
	lost := map[spec.WorkerID]bool{}
	for i := range 8 {
		lost[spec.WorkerID(fmt.Sprint("w", i))] = true
		k.RemoveWorker(time.Minute, spec.WorkerID(fmt.Sprint("w", i)))
	}
	for _, p := range placed {
		if lost[p.Worker] {
			k.Ended(time.Minute, p.Task, policy.EndLost, time.Minute)
			k.Enqueue(time.Minute, newTask(p.Task.Job.Name, slot))
		}
	}
	for now := time.Minute; now < 10*time.Minute; now += time.Second {
		c.Assert(k.Schedule(now, 100), qt.HasLen, 0)
		c.Assert(k.Review(now), qt.HasLen, 0)
	}
	k.Audit()
}
