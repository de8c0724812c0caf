package config

import (
	"flag"
	"os"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	seedFlag  = flag.Uint64("seed", uintFromEnv("REDWINGVALE_SEED", 1), "first seed of the random runs")
	stepsFlag = flag.Uint64("steps", uintFromEnv("REDWINGVALE_STEPS", 60_000), "steps of the random runs")
)

// stepsPerRun bounds the steps of one seed; further steps use further seeds.
const stepsPerRun = 20_000

func uintFromEnv(name string, fallback uint64) uint64 {
	v, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return fallback
	}
	return v
}

// TestRandomRuns guards against readers with different states, revisions that
// revert, changes that are accepted twice, and wrong outcomes reported to
// operators. The runs have concurrent operators, lost responses, delayed
// writes, outages, expired records and restarts.
func TestRandomRuns(t *testing.T) {
	c := qt.New(t)
	total := map[string]int{}
	for done := uint64(0); done < *stepsFlag; done += stepsPerRun {
		seed := *seedFlag + done/stepsPerRun
		sim := newSimulation(seed, mutations{})
		c.Assert(sim.run(int(min(stepsPerRun, *stepsFlag-done))), qt.IsNil, qt.Commentf("seed %d", seed))
		for name, count := range sim.stats {
			total[name] += count
		}
	}
	t.Logf("steps=%d %v", *stepsFlag, total)
	for _, name := range []string{"restarts", "outages", "gaps", "snapshots", string(AcceptedNow), string(AlreadyAccepted), string(Conflict), string(Refused)} {
		c.Check(total[name] > 0, qt.IsTrue, qt.Commentf("no event of kind %s occurred", name))
	}
}

func requireViolation(t *testing.T, disabled mutations) {
	for seed := uint64(1); seed <= 5; seed++ {
		if err := newSimulation(seed, disabled).run(stepsPerRun); err != nil {
			t.Logf("seed %d: %v", seed, err)
			return
		}
	}
	t.Fatal("the runs did not detect the missing check")
}

// TestDetectsMissingBaseCheck guards against random runs that do not detect a
// missing base check.
func TestDetectsMissingBaseCheck(t *testing.T) {
	requireViolation(t, mutations{ignoreBase: true})
}

// TestDetectsForgottenApplyIDs guards against random runs that do not detect
// forgotten apply ids.
func TestDetectsForgottenApplyIDs(t *testing.T) {
	requireViolation(t, mutations{forgetApplyIDs: true})
}

// TestDetectsTrustedOldSnapshots guards against random runs that do not detect a
// snapshot that reverts a service to an older revision.
func TestDetectsTrustedOldSnapshots(t *testing.T) {
	requireViolation(t, mutations{trustSnapshots: true})
}
