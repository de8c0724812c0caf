package planner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// drainMS is how long a worker serves after it has announced that it leaves, entryMS
// how long its directory entry stays after that.
const (
	drainMS = 2000
	entryMS = 3000
)

// drainAroundTakeovers lets workers drain and leave while leaders change. Some cannot
// be reached meanwhile, some stay, and some return under their ID.
func (sim *simulation) drainAroundTakeovers() {
	rng := rand.New(rand.NewPCG(sim.seed, 9))
	for round := range 8 {
		startMS := int64(1500 + 4500*round)
		for range 2 {
			sim.at(startMS+rng.Int64N(1500), func() { sim.drainWorker(rng) })
		}
		for range 1 + rng.IntN(2) {
			sim.at(startMS+rng.Int64N(4500), sim.elect)
		}
		if rng.IntN(4) == 0 {
			sim.at(startMS, func() { sim.logDownUntil = max(sim.logDownUntil, sim.now+rng.Int64N(2000)) })
		}
	}
}

func (sim *simulation) drainWorker(rng *rand.Rand) {
	f := sim.workers[rng.IntN(len(sim.workers))]
	if f.info.Draining || sim.now < f.downUntil {
		return
	}
	announce := func() { sim.step(sim.leader, WorkersChanged{Workers: sim.directory()}) }
	lastsMS := []int64{drainMS, drainMS, 4 * drainMS}[rng.IntN(3)]
	f.info.Draining, f.info.RemainingMS = true, lastsMS
	announce()
	if rng.IntN(2) == 0 {
		sim.at(rng.Int64N(lastsMS), func() { f.cutOffUntil = max(f.cutOffUntil, sim.now+200+rng.Int64N(5000)) })
	}
	fate := rng.IntN(5)
	sim.at(lastsMS, func() {
		f.info.Draining, f.info.RemainingMS = false, 0
		switch fate {
		case 0:
			// It stays.
		case 1:
			f.crash(500 + rng.Int64N(2000))
		default:
			// It ends without a restart, and another one takes its place.
			next := &fakeWorker{sim: sim, clockRate: f.clockRate, info: f.info}
			next.info.ID = WorkerID(fmt.Sprintf("d%d", sim.sequence))
			next.info.Address = "at-" + string(next.info.ID)
			next.crash(rng.Int64N(2000))
			next.unlistedUntil = next.downUntil
			sim.workers = append(sim.workers, next)
			entry := f.info
			f.crash(1 << 40)
			f.info = entry
			f.info.Draining = true
			sim.at(entryMS, func() {
				sim.workers = slices.DeleteFunc(sim.workers, func(other *fakeWorker) bool { return other == f })
				announce()
			})
			sim.at(next.unlistedUntil-sim.now+1, announce)
		}
		announce()
	})
}

// TestRandomRunsWithDrains guards against tasks that run twice, or are lost, because a
// successor does not wait for workers that have drained, and against workers that stay
// closed.
func TestRandomRunsWithDrains(t *testing.T) {
	c := qt.New(t)
	for i := range *seedCount {
		change := (*simulation).drainAroundTakeovers
		if i%3 == 0 {
			change = func(sim *simulation) {
				sim.drainAroundTakeovers()
				sim.injectTakeoverFaults()
			}
		}
		sim := runSeed(*firstSeed+uint64(i), change)
		c.Check(sim.violations, qt.HasLen, 0)
		for id, w := range sim.leader.core.workers {
			c.Check(sim.leader.core.usable(w), qt.IsTrue, qt.Commentf("seed %d: %s is unusable: %+v", sim.seed, id, w.closure))
		}
	}
}
