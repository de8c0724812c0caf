package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/platform/standin"
)

// regressions maps seeds that have failed to the cause.
var regressions = map[uint64]string{}

// buildNode builds rwnode from this source tree and returns the binary's path.
func buildNode(t *testing.T) string {
	t.Helper()
	if testing.Short() {
		t.Skip("the soak test runs real processes; skipped with -short")
	}
	binary := filepath.Join(t.TempDir(), "rwnode")
	out, err := exec.Command("go", "build", "-o", binary, "redwingvale/cmd/rwnode").CombinedOutput()
	qt.New(t).Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}

// logDir returns a directory for the logs of the processes, which is kept if the
// test fails.
func logDir(t *testing.T) string {
	dir, err := os.MkdirTemp("", "rwsoak-")
	qt.New(t).Assert(err, qt.IsNil)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log("logs are in", dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	return dir
}

func testOptions(t *testing.T, seed uint64) Options {
	return Options{
		Seed: seed, Binary: buildNode(t), Dir: logDir(t), Instances: 4, Workers: 8,
		Rounds: 1, FailShare: 0.15, FaultDuration: 8 * time.Second, RecoveryLimit: time.Minute, JobsPerS: 6, Series: 3, KillAll: true,
	}
}

// Checks the guarantees with real processes under injected faults: accepted jobs
// end, no task runs twice, out of order or without a submission, a refused job
// does not run, and no job's reported state is wrong.
func TestSoak(t *testing.T) {
	seeds := []uint64{1}
	for seed := range regressions {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		c := qt.New(t)
		result, err := Run(context.Background(), testOptions(t, seed))
		c.Assert(err, qt.IsNil)
		t.Log(result)
		c.Assert(result.Violations, qt.HasLen, 0, qt.Commentf("seed %d: %s", seed, regressions[seed]))
		c.Assert(result.Completed > 0 && result.Starts > result.Completed, qt.IsTrue)
	}
}

// Checks the same guarantees while the leader calls the workers through other
// instances: a run must not be started twice, or lost, because a delegate fails
// with calls, reports or states that it has not passed on.
func TestSoakThroughDelegates(t *testing.T) {
	c := qt.New(t)
	options := testOptions(t, 2)
	options.Delegates = true
	result, err := Run(context.Background(), options)
	c.Assert(err, qt.IsNil)
	t.Log(result)
	c.Assert(result.Violations, qt.HasLen, 0)
	c.Assert(result.Completed > 0 && result.Starts > result.Completed, qt.IsTrue)
}

// Guards against a soak that does not detect lost jobs: with a store that loses
// acknowledged writes, accepted jobs are lost when the leader is killed.
func TestSoakDetectsLostRecords(t *testing.T) {
	o := testOptions(t, 7)
	o.LoseWrites, o.RecoveryLimit, o.Series, o.StopOnViolation = true, 10*time.Second, 4, true
	result, err := Run(context.Background(), o)
	c := qt.New(t)
	c.Assert(err, qt.IsNil)
	t.Log(result)
	c.Assert(len(result.Violations) > 0, qt.IsTrue)
}

// Guards against a soak that does not detect a job shown as failed without
// cause, or ends that stay unacknowledged. The workers' faults cause them: one
// lists a failure several times, the other keeps acknowledged ends.
func TestSoakDetectsWorkerFaults(t *testing.T) {
	for _, test := range []struct {
		name, violation string
		faults          standin.WorkerFaults
	}{
		{"failed without cause", "is shown as failed after", standin.WorkerFaults{RepeatFailures: true}},
		{"ends not acknowledged", "is not acknowledged after", standin.WorkerFaults{KeepAcknowledgedEnds: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			o := testOptions(t, 3)
			o.WorkerFaults, o.FaultDuration, o.RecoveryLimit, o.StopOnViolation = test.faults, 2*time.Second, 10*time.Second, true
			result, err := Run(context.Background(), o)
			c.Assert(err, qt.IsNil)
			t.Log(result)
			c.Assert(slices.ContainsFunc(result.Violations, func(s string) bool { return strings.Contains(s, test.violation) }), qt.IsTrue)
		})
	}
}

// Guards against instances that accept work until their memory ends them: at the bound
// submissions are refused, leaders that are killed are replaced, and no process exceeds
// the memory of the smallest instances.
func TestSoakAtFullMemory(t *testing.T) {
	c := qt.New(t)
	o := testOptions(t, 3)
	o.Scenario, o.JobsPerS, o.KillAll, o.MemoryMB = "full-memory", 0, false, 184
	result, err := Run(context.Background(), o)
	c.Assert(err, qt.IsNil)
	t.Log(result)
	c.Assert(result.Violations, qt.HasLen, 0)
	c.Assert(result.PeakMB > 0, qt.IsTrue)
}
