package config

import (
	"flag"
	"os"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	seedFlag  = flag.Uint64("seed", envNumber("REDWINGVALE_SEED", 1), "first seed of the random runs")
	stepsFlag = flag.Uint64("steps", envNumber("REDWINGVALE_STEPS", 60_000), "steps of the random runs")
)

// stepsPerRun bounds one run; more steps are spread over further seeds.
const stepsPerRun = 20_000

func envNumber(name string, fallback uint64) uint64 {
	v, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return fallback
	}
	return v
}

// Guards against readers that disagree, revisions that revert, changes that
// are accepted twice, and operators who are told a wrong verdict, under racing
// operators, lost answers, late writes, outages, retention and restarts.
func TestRandomRuns(t *testing.T) {
	c := qt.New(t)
	total := map[string]int{}
	for done := uint64(0); done < *stepsFlag; done += stepsPerRun {
		seed := *seedFlag + done/stepsPerRun
		w := newWorld(seed, faults{})
		c.Assert(w.run(int(min(stepsPerRun, *stepsFlag-done))), qt.IsNil, qt.Commentf("seed %d", seed))
		for name, count := range w.stats {
			total[name] += count
		}
	}
	t.Logf("steps=%d %v", *stepsFlag, total)
	for _, name := range []string{"restarts", "outages", "gaps", "snapshots", string(AcceptedNow), string(AcceptedBefore), string(Lost), string(Refused)} {
		c.Check(total[name] > 0, qt.IsTrue, qt.Commentf("nothing of kind %s happened", name))
	}
}

func brokenRunFails(t *testing.T, f faults) {
	for seed := uint64(1); seed <= 5; seed++ {
		if err := newWorld(seed, f).run(stepsPerRun); err != nil {
			t.Logf("seed %d: %v", seed, err)
			return
		}
	}
	t.Fatal("the runs did not notice the missing check")
}

// Guards against random runs that would not notice a missing base check.
func TestBrokenBaseCheckIsNoticed(t *testing.T) {
	brokenRunFails(t, faults{ignoreBase: true})
}

// Guards against random runs that would not notice lost apply ids.
func TestBrokenApplyIDMemoryIsNoticed(t *testing.T) {
	brokenRunFails(t, faults{forgetApplyIDs: true})
}

// Guards against random runs that would not notice a snapshot that brings an
// older revision back.
func TestBrokenSnapshotCheckIsNoticed(t *testing.T) {
	brokenRunFails(t, faults{trustSnapshots: true})
}
