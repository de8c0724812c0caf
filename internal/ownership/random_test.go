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
// When recovery is set, it also checks that all groups have a lease at the end of
// a phase without faults.
func run(seed uint64, m mutations, recovery bool) (sim *simulation, err error) {
	sim = newSimulation(seed, 6)
	sim.mutations = m
	if sim.chance(0.3) {
		sim.staleness = 2 * time.Second
	}
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("seed %d: %v", seed, r)
		}
	}()
	for range 3 + sim.rng.IntN(4) {
		sim.after(sim.between(0, 2*time.Second), func() { sim.startNewNode() })
	}
	sim.runUntil(8 * time.Second)
	sim.faultsOff = false
	sim.listLag = sim.between(time.Second, 28*time.Second)
	faultProfiles := []func(){sim.injectFaults, sim.restartVoter, sim.growVoters, sim.cutOneWay}
	sim.after(0, faultProfiles[seed%uint64(len(faultProfiles))])
	sim.runUntil(faultsEnd)
	sim.faultsOff = true
	if !recovery {
		return sim, nil
	}
	sim.runUntil(faultsEnd + recoveryTime)
	if unowned := sim.unownedGroups(); len(unowned) > 0 {
		return sim, fmt.Errorf("seed %d: no lease on %v at the end of the recovery phase", seed, unowned)
	}
	return sim, nil
}

// TestRandomRuns guards against two instances holding a lease on the same group at
// the same time, against failed assertions inside the core, and against groups
// that remain without an owner after the faults have ended.
func TestRandomRuns(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	steps, seeds := uint64(0), 0
	for seed := *seedFlag; steps < *stepsFlag; seed++ {
		sim, err := run(seed, mutations{}, true)
		c.Assert(err, quicktest.IsNil)
		steps += uint64(sim.steps)
		seeds++
	}
	t.Logf("%d steps in %d runs from seed %d", steps, seeds, *seedFlag)
}
