package quota_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/framework"
	_ "redwingvale/internal/plugins/fit"
	_ "redwingvale/internal/plugins/laxity"
	"redwingvale/internal/plugins/quota"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

var one = spec.Resources{MilliCPU: 1000, Slots: 1}

// newKernel returns a kernel with one worker of 8 slots and two teams that may
// use 4 slots each.
func newKernel(c *qt.C) *framework.Kernel {
	k, err := framework.New(framework.Config{Plugins: []string{"fit", "laxity", "quota"}})
	c.Assert(err, qt.IsNil)
	var services []policy.Service
	for _, team := range []string{"a", "b"} {
		services = append(services, policy.Service{
			Team: spec.TeamID(team), ID: spec.ServiceID(team), Quota: spec.Resources{Slots: 4},
		})
	}
	k.Configure(0, services)
	k.SetWorker(0, spec.Worker{ID: "w", Capacity: one.Scale(8)})
	return k
}

func enqueue(k *framework.Kernel, now time.Duration, team string, from, to int) {
	for i := from; i < to; i++ {
		k.Enqueue(now, policy.Task{
			ID:      spec.TaskID{Job: spec.JobID{Team: spec.TeamID(team), Name: fmt.Sprint("j", i)}},
			Service: spec.ServiceID(team), Class: spec.Deadline, Resources: one, Submitted: now,
			RunTime: time.Minute,
		})
	}
}

// Guards against unused quota that cannot be borrowed, and against a team within
// its quota that waits longer than the bound because others borrowed it.
func TestBorrowedSlotsAreReclaimedWithinBound(t *testing.T) {
	c := qt.New(t)
	k := newKernel(c)
	enqueue(k, 0, "a", 0, 8)
	c.Assert(k.Schedule(0, 10), qt.HasLen, 8)
	now := time.Minute
	enqueue(k, now, "b", 0, 4)
	bound := now + quota.ReclaimAfter + 30*time.Second
	got := 0
	for ; got < 4 && now <= bound; now += time.Second {
		got += len(k.Schedule(now, 10))
		for _, action := range k.Review(now) {
			c.Assert(action.Kind, qt.Equals, policy.ActionMove)
			k.Ended(now, action.Task, policy.EndStopped, time.Minute)
		}
		k.Audit()
	}
	c.Assert(got, qt.Equals, 4)
	enqueue(k, now, "b", 4, 8)
	for range 60 {
		now += time.Second
		c.Assert(k.Schedule(now, 10), qt.HasLen, 0)
		c.Assert(k.Review(now), qt.HasLen, 0)
	}
}

// Guards against a borrower that starves while tasks within quota keep arriving.
func TestBorrowersWaitIsBounded(t *testing.T) {
	c := qt.New(t)
	k := newKernel(c)
	k.SetGranted(0, "w", one.Scale(4))
	enqueue(k, 0, "a", 0, 4)
	k.Schedule(0, 10)
	enqueue(k, time.Second, "a", 100, 101)
	next, started := 0, time.Duration(0)
	running := []spec.TaskID{}
	for i := range 4 {
		running = append(running, spec.TaskID{Job: spec.JobID{Team: "a", Name: fmt.Sprint("j", i)}})
	}
	for now := time.Second; now < quota.BorrowWait+2*time.Minute && started == 0; now += 5 * time.Second {
		enqueue(k, now, "b", next, next+1)
		next++
		k.Ended(now, running[0], policy.EndDone, time.Minute)
		running = running[1:]
		for _, p := range k.Schedule(now, 10) {
			running = append(running, p.Task)
			if p.Task.Job.Name == "j100" {
				started = now
			}
		}
		for len(running) < 1 {
			c.Fatal("nothing runs")
		}
	}
	c.Assert(started > 0, qt.IsTrue)
	c.Assert(started <= quota.BorrowWait+time.Minute, qt.IsTrue)
}

// Guards against a team that borrows beyond its ceiling after its task has waited
// long, and against a task that stays parked when the ceiling is raised.
func TestCeilingLimitsBorrowing(t *testing.T) {
	c := qt.New(t)
	k := newKernel(c)
	services := func(ceiling int64) []policy.Service {
		return []policy.Service{{Team: "a", ID: "a", Quota: one.Scale(4), Ceiling: one.Scale(ceiling)}}
	}
	k.Configure(0, services(6))
	enqueue(k, 0, "a", 0, 8)
	c.Assert(k.Schedule(0, 10), qt.HasLen, 6)
	now := quota.BorrowWait + time.Minute
	c.Assert(k.Schedule(now, 10), qt.HasLen, 0)
	k.Configure(now, services(7))
	c.Assert(k.Schedule(now, 10), qt.HasLen, 1)
}
