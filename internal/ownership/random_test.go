package ownership

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

var (
	seedFlag  = flag.Uint64("seed", environmentUint("REDWINGVALE_SEED", 1), "first seed of the random runs")
	stepsFlag = flag.Uint64("steps", environmentUint("REDWINGVALE_STEPS", 1_000_000), "minimum number of steps of the random runs")
)

func environmentUint(name string, fallback uint64) uint64 {
	value, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return fallback
	}
	return value
}

const (
	faultsEnd    = 60 * time.Second
	recoveryTime = 70 * time.Second
)

// run performs one random run and returns the violation that it detected, if any.
// When recovery is set, it also checks that all groups have a lease some time after
// the faults have ended.
func run(seed uint64, m mutations, recovery bool) (w *simulation, err error) {
	w = newSimulation(seed, 6)
	w.mutations = m
	if w.chance(0.3) {
		w.staleness = 2 * time.Second
	}
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("seed %d: %v", seed, r)
		}
	}()
	for range 3 + w.rng.IntN(4) {
		w.after(w.between(0, 2*time.Second), func() { w.startNewNode() })
	}
	w.runUntil(8 * time.Second)
	w.faultsOff = false
	w.listLag = w.between(time.Second, 28*time.Second)
	profiles := []func(){w.injectFaults, w.restartVoter, w.growVoters, w.cutOneWay}
	w.after(0, profiles[seed%uint64(len(profiles))])
	w.runUntil(faultsEnd)
	w.faultsOff = true
	if !recovery {
		return w, nil
	}
	w.runUntil(faultsEnd + recoveryTime)
	if vacant := w.unownedGroups(); len(vacant) > 0 {
		return w, fmt.Errorf("seed %d: no lease on %v at the end of the recovery phase", seed, vacant)
	}
	return w, nil
}

// TestRandomRuns guards against two instances holding a lease on the same group at
// the same time, against failed assertions inside the core, and against groups
// that remain without an owner after the faults have ended.
func TestRandomRuns(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	steps, seeds := uint64(0), 0
	for seed := *seedFlag; steps < *stepsFlag; seed++ {
		w, err := run(seed, mutations{}, true)
		c.Assert(err, quicktest.IsNil)
		steps += uint64(w.steps)
		seeds++
	}
	t.Logf("%d steps in %d runs from seed %d", steps, seeds, *seedFlag)
}
