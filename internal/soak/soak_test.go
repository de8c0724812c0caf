package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/platform/standin"
)

// regressions are seeds that once failed, each with its cause.
var regressions = map[uint64]string{}

// build returns the rwnode binary of this tree.
func build(t *testing.T) string {
	t.Helper()
	if testing.Short() {
		t.Skip("the soak runs real processes; it is not part of a short run")
	}
	binary := filepath.Join(t.TempDir(), "rwnode")
	out, err := exec.Command("go", "build", "-o", binary, "redwingvale/cmd/rwnode").CombinedOutput()
	qt.New(t).Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}

func options(t *testing.T, seed uint64) Options {
	return Options{
		Seed: seed, Binary: build(t), Dir: t.TempDir(), Instances: 4, Workers: 8,
		Rounds: 1, FailShare: 0.15, Faults: 8 * time.Second, Calm: time.Minute, JobsPerS: 6, Series: 3, KillAll: true,
	}
}

// Guards the promises against faults from outside real processes: what was
// accepted ends, nothing runs twice, out of order or unasked, a refusal is
// true, and no state is wrong.
func TestSoak(t *testing.T) {
	seeds := []uint64{1}
	for seed := range regressions {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		c := qt.New(t)
		result, err := Run(context.Background(), options(t, seed))
		c.Assert(err, qt.IsNil)
		t.Log(result)
		c.Assert(result.Broken, qt.HasLen, 0, qt.Commentf("seed %d: %s", seed, regressions[seed]))
		c.Assert(result.Completed > 0 && result.Starts > result.Completed, qt.IsTrue)
	}
}

// Guards against a soak that would not notice: with a store that forgets what
// it has acknowledged, accepted jobs are lost when the leader is killed.
func TestSoakNoticesLostRecords(t *testing.T) {
	o := options(t, 7)
	o.ForgetWrites, o.Calm, o.Series, o.EndWhenBroken = true, 10*time.Second, 4, true
	result, err := Run(context.Background(), o)
	c := qt.New(t)
	c.Assert(err, qt.IsNil)
	t.Log(result)
	c.Assert(len(result.Broken) > 0, qt.IsTrue)
}

// Guards against a soak that would not notice a job that is shown as failed
// without cause, or ends that stay unacknowledged: workers that list a failure
// several times, and workers that keep what was acknowledged.
func TestSoakNotices(t *testing.T) {
	for _, test := range []struct {
		name, notice string
		faults       standin.WorkerFaults
	}{
		{"failed without cause", "is shown as failed after", standin.WorkerFaults{RepeatFailures: true}},
		{"ends not acknowledged", "is not acknowledged after", standin.WorkerFaults{KeepAcknowledgedEnds: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			o := options(t, 3)
			o.WorkerFaults, o.Faults, o.Calm, o.EndWhenBroken = test.faults, 2*time.Second, 10*time.Second, true
			result, err := Run(context.Background(), o)
			c.Assert(err, qt.IsNil)
			t.Log(result)
			c.Assert(slices.ContainsFunc(result.Broken, func(s string) bool { return strings.Contains(s, test.notice) }), qt.IsTrue)
		})
	}
}
