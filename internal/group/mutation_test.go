package group

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// mutationSeeds is the number of seeds within which a mutation must cause a
// violation.
const mutationSeeds = 40

// unmutatedSeeds is the number of seeds in which the same faults must cause no
// violation without the mutation.
const unmutatedSeeds = 2

// TestMutationsAreDetected guards against random runs that would not detect a
// fault: with one mechanism switched off, some seed must cause a violation.
func TestMutationsAreDetected(t *testing.T) {
	if testing.Short() {
		t.Skip("the mutations run only in the full run; the core starts no goroutine, so the race detector has nothing to check")
	}
	lateMessages := faults{lateMessage: 0.08, workerCutOff: 0.015, takeover: 0.005, immediateStop: 0.5}
	restarts := faults{lateMessage: 0.01, workerCutOff: 0.015, workerRestart: 0.05, takeover: 0.005, immediateStop: 0.5}
	takeovers := faults{lateMessage: 0.08, workerCutOff: 0.015, takeover: 0.05, immediateStop: 1}
	cutOffs := faults{lateMessage: 0.01, workerCutOff: 0.04, takeover: 0.02}
	lateBatches := faults{workerCutOff: 0.03, takeover: 0.005, lateBatch: 0.9, extraRunTime: 20 * time.Second}
	for _, mutation := range []struct {
		name     string
		switches mutations
		faults   faults
	}{
		{"StartAfterReadBack", mutations{startBeforeReadBack: true}, defaultFaults},
		{"AbsoluteLeaseEnd", mutations{leaseFromReceipt: true}, lateBatches},
		{"AttemptNumbering", mutations{reuseAttempt: true}, defaultFaults},
		{"LatestStart", mutations{noLatestStart: true}, lateMessages},
		{"LeaseWait", mutations{noLeaseWait: true}, defaultFaults},
		{"WorkerFence", mutations{noWorkerFence: true}, takeovers},
		{"RecordFence", mutations{noRecordFence: true}, defaultFaults},
		{"CancelHorizon", mutations{noCancelHorizon: true}, defaultFaults},
		{"Boot", mutations{noBoot: true}, restarts},
		{"AdoptedLease", mutations{noAdoptedLease: true}, cutOffs},
		{"TakeOverReserve", mutations{noTakeOverReserve: true}, takeovers},
	} {
		t.Run(mutation.name, func(t *testing.T) { requireViolation(t, mutation.switches, mutation.faults) })
	}
}

// requireViolation runs seeds until one causes a violation.
func requireViolation(t *testing.T, switches mutations, f faults) {
	c := qt.New(t)
	opts := simOptions()
	for seed := uint64(1); seed <= unmutatedSeeds; seed++ {
		c.Assert(runSim(seed, opts, f).violation, qt.Equals, "", qt.Commentf("no mutation, seed %d", seed))
	}
	opts.mutations = switches
	for seed := uint64(1); seed <= mutationSeeds; seed++ {
		if s := runFaultPhase(seed, opts, f); s.violation != "" {
			t.Logf("seed %d, %d steps: %s", seed, s.steps, s.violation)
			return
		}
	}
	c.Fatalf("no violation in %d seeds", mutationSeeds)
}
