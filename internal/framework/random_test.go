package framework_test

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/framework"
	_ "redwingvale/internal/plugins/all"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

var (
	seedFlag  = flag.Uint64("seed", envNumber("REDWINGVALE_SEED", 1), "first seed of the random runs")
	stepsFlag = flag.Uint64("steps", envNumber("REDWINGVALE_STEPS", 20000), "steps of each random run")
)

func envNumber(name string, fallback uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

// Guards against sequences of calls that violate an invariant of the kernel or
// of a plug-in: overcommitted workers, tasks that are lost or run twice, wrong
// quota accounting, two actions on a task within one measurement lag.
func TestRandomRuns(t *testing.T) {
	for i := range uint64(4) {
		seed := *seedFlag + i
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			c := qt.New(t)
			k, err := framework.New(framework.Config{Seed: seed})
			c.Assert(err, qt.IsNil)
			r := framework.NewRandomRun(k, seed)
			r.Steps(int(*stepsFlag))
			c.Logf("placed %d, actions %v", r.Placed, r.Actions)
			c.Assert(r.Placed > 0, qt.IsTrue)
			for _, kind := range []policy.ActionKind{policy.ActionThrottle, policy.ActionMove, policy.ActionEvict} {
				c.Assert(r.Actions[kind] > 0, qt.IsTrue, qt.Commentf("no %s in the run", kind))
			}
		})
	}
}

// Guards against decisions that depend on anything other than the calls and the
// seed, for example on the iteration order of a map.
func TestSameSeedGivesSameDecisions(t *testing.T) {
	c := qt.New(t)
	var sums []uint64
	for range 2 {
		k, err := framework.New(framework.Config{Seed: 7})
		c.Assert(err, qt.IsNil)
		r := framework.NewRandomRun(k, 7)
		r.Steps(3000)
		sums = append(sums, r.Digest)
	}
	c.Assert(sums[0], qt.Equals, sums[1])
}

// Guards against invariant checks that detect no fault: with a mechanism
// switched off, a random run must fail.
func TestInvariantsDetectMutations(t *testing.T) {
	for _, mechanism := range framework.Mutations {
		t.Run(mechanism, func(t *testing.T) {
			c := qt.New(t)
			k, err := framework.New(framework.WithMutation(framework.Config{Seed: 1}, mechanism))
			c.Assert(err, qt.IsNil)
			r := framework.NewRandomRun(k, 1)
			c.Assert(func() { r.Steps(20000) }, qt.PanicMatches, "invariant P[0-9].*")
		})
	}
}

// Guards against a task that waits although a worker has enough free resources,
// and against a placement that is not recorded.
func TestPlacesOnTheWorkerWithCapacity(t *testing.T) {
	c := qt.New(t)
	k, err := framework.New(framework.Config{})
	c.Assert(err, qt.IsNil)
	small := spec.Resources{MilliCPU: 1000, MemoryMiB: 1024, Slots: 1}
	k.SetWorker(0, spec.Worker{ID: "small", Capacity: small})
	k.SetWorker(0, spec.Worker{ID: "large", Capacity: small.Scale(4)})
	task := policy.Task{ID: spec.TaskID{Job: spec.JobID{Team: "t", Name: "j"}}, Resources: small.Scale(2), Class: spec.Deadline}
	k.Enqueue(0, task)
	placed := k.Schedule(time.Second, 10)
	c.Assert(placed, qt.HasLen, 1)
	c.Assert(placed[0].Worker, qt.Equals, spec.WorkerID("large"))
	k.Audit()
}
