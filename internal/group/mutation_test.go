package group

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// mutationSeeds bounds the seeds within which a switched-off mechanism must show
// as a violation.
const mutationSeeds = 40

// unmutatedSeeds is the number of seeds in which the same faults must show no
// violation while the mechanism is on.
const unmutatedSeeds = 2

// TestMutationsAreDetected guards against random runs that would not notice a fault: with one
// mechanism switched off, some seed must show a violation.
func TestMutationsAreDetected(t *testing.T) {
	if testing.Short() {
		t.Skip("the companions run in the full run; the core starts no goroutine that a race run could watch")
	}
	late := faults{late: 0.08, cutOff: 0.015, claim: 0.005, immediateStop: 0.5}
	restarts := faults{late: 0.01, cutOff: 0.015, restart: 0.05, claim: 0.005, immediateStop: 0.5}
	handOvers := faults{late: 0.08, cutOff: 0.015, claim: 0.05, immediateStop: 1}
	cutOffs := faults{late: 0.01, cutOff: 0.04, claim: 0.02}
	lateBatches := faults{cutOff: 0.03, claim: 0.005, lateBatch: 0.9, extraRunTime: 20 * time.Second}
	for _, mutation := range []struct {
		name     string
		switches mutations
		faults   faults
	}{
		{"StartAfterReadBack", mutations{startBeforeReadBack: true}, defaultFaults},
		{"AbsoluteLeaseEnd", mutations{leaseFromReceipt: true}, lateBatches},
		{"AttemptNumbering", mutations{reuseAttempt: true}, defaultFaults},
		{"LatestStart", mutations{noLatestStart: true}, late},
		{"LeaseWait", mutations{noLeaseWait: true}, defaultFaults},
		{"WorkerFence", mutations{noWorkerFence: true}, handOvers},
		{"RecordFence", mutations{noRecordFence: true}, defaultFaults},
		{"CancelHorizon", mutations{noCancelHorizon: true}, defaultFaults},
		{"Boot", mutations{noBoot: true}, restarts},
		{"AdoptedLease", mutations{noAdoptedLease: true}, cutOffs},
		{"TakeOverReserve", mutations{noTakeOverReserve: true}, handOvers},
	} {
		t.Run(mutation.name, func(t *testing.T) { requireViolation(t, mutation.switches, mutation.faults) })
	}
}

// requireViolation runs seeds until one shows a violation.
func requireViolation(t *testing.T, switches mutations, f faults) {
	c := qt.New(t)
	opts := simOptions()
	for seed := uint64(1); seed <= unmutatedSeeds; seed++ {
		c.Assert(runSim(seed, opts, f).failure, qt.Equals, "", qt.Commentf("intact, seed %d", seed))
	}
	opts.mutations = switches
	for seed := uint64(1); seed <= mutationSeeds; seed++ {
		if s := runFaultPhase(seed, opts, f); s.failure != "" {
			t.Logf("seed %d, %d steps: %s", seed, s.steps, s.failure)
			return
		}
	}
	c.Fatalf("no violation in %d seeds", mutationSeeds)
}
