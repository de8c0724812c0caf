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
	seedFlag  = flag.Uint64("seed", environment("REDWINGVALE_SEED", 1), "first seed of the random runs")
	stepsFlag = flag.Uint64("steps", environment("REDWINGVALE_STEPS", 1_000_000), "least number of steps of the random runs")
)

func environment(name string, otherwise uint64) uint64 {
	value, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return value
}

const (
	chaosTime = 60 * time.Second
	quietTime = 70 * time.Second
)

// run carries out one random run and returns the violation that it found.
func run(seed uint64, f faults, quiet bool) (w *world, err error) {
	w = newWorld(seed, 6)
	w.faults = f
	if w.chance(0.3) {
		w.staleness = 2 * time.Second
	}
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("seed %d: %v", seed, r)
		}
	}()
	for range 3 + w.rng.IntN(4) {
		w.after(w.between(0, 2*time.Second), func() { w.spawnNew() })
	}
	w.runUntil(8 * time.Second)
	w.calm = false
	w.listLag = w.between(time.Second, 28*time.Second)
	profiles := []func(){w.chaos, w.forget, w.growth, w.oneWay}
	w.after(0, profiles[seed%uint64(len(profiles))])
	w.runUntil(chaosTime)
	w.calm = true
	if !quiet {
		return w, nil
	}
	w.runUntil(chaosTime + quietTime)
	if vacant := w.vacant(); len(vacant) > 0 {
		return w, fmt.Errorf("seed %d: no right to %v at the end of the quiet phase", seed, vacant)
	}
	return w, nil
}

// TestRandomRuns guards against two instances holding a right to the same
// group at once, against failed assertions inside the core, and against
// groups that stay without an owner after the faults have ended.
func TestRandomRuns(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	steps, seeds := uint64(0), 0
	for seed := *seedFlag; steps < *stepsFlag; seed++ {
		w, err := run(seed, faults{}, true)
		c.Assert(err, quicktest.IsNil)
		steps += uint64(w.steps)
		seeds++
	}
	t.Logf("%d steps in %d runs from seed %d", steps, seeds, *seedFlag)
}
