package ownership

import (
	"testing"

	"github.com/frankban/quicktest"
)

// mutationSeeds is the number of runs within which a mutated core must cause a
// violation.
const mutationSeeds = 300

// mustDetect requires that the random runs detect a violation.
func mustDetect(t *testing.T, m mutations) {
	if testing.Short() {
		t.Skip("the core has no goroutines; the race detector runs with -short")
	}
	t.Parallel()
	for seed := uint64(1); seed <= mutationSeeds; seed++ {
		_, err := run(seed, m, false)
		if err != nil {
			t.Log(err)
			return
		}
	}
	quicktest.New(t).Fatalf("no violation in %d seeds", mutationSeeds)
}

// TestMutationClaimWait guards against random runs that do not detect that the
// claimer's wait is missing.
func TestMutationClaimWait(t *testing.T) { mustDetect(t, mutations{skipClaimWait: true}) }

// TestMutationAckMajority does the same for the majority of acknowledgements.
func TestMutationAckMajority(t *testing.T) { mustDetect(t, mutations{skipAckMajority: true}) }

// TestMutationVersionCheck does the same for the check of the voter-set version.
func TestMutationVersionCheck(t *testing.T) { mustDetect(t, mutations{skipVersionCheck: true}) }

// TestMutationVersionWait does the same for the wait before a change of the voter
// set.
func TestMutationVersionWait(t *testing.T) { mustDetect(t, mutations{skipVersionWait: true}) }

// TestMutationFirstMessage does the same for promises of restarted voters.
func TestMutationFirstMessage(t *testing.T) { mustDetect(t, mutations{skipFirstMessageCheck: true}) }

// TestMutationOldEpochs does the same for promises to a replaced owner.
func TestMutationOldEpochs(t *testing.T) { mustDetect(t, mutations{promiseOldEpochs: true}) }

// TestMutationSetHistory does the same for the majority in each voter set.
func TestMutationSetHistory(t *testing.T) { mustDetect(t, mutations{skipVoterSetHistory: true}) }

// TestMutationStaleness does the same for ignoring the staleness of log reads.
func TestMutationStaleness(t *testing.T) { mustDetect(t, mutations{ignoreStaleness: true}) }
