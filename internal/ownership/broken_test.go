package ownership

import (
	"testing"

	"github.com/frankban/quicktest"
)

// brokenSeeds bounds the runs in which a broken core must be found out.
const brokenSeeds = 300

// broken requires that the random runs find a violation.
func broken(t *testing.T, f faults) {
	if testing.Short() {
		t.Skip("the core has no goroutines; the race detector runs with -short")
	}
	t.Parallel()
	for seed := uint64(1); seed <= brokenSeeds; seed++ {
		_, err := run(seed, f, false)
		if err != nil {
			t.Log(err)
			return
		}
	}
	quicktest.New(t).Fatalf("no violation in %d seeds", brokenSeeds)
}

// TestBrokenWait guards against random runs that could not tell that the
// claimer's wait is missing.
func TestBrokenWait(t *testing.T) { broken(t, faults{skipWait: true}) }

// TestBrokenMajority does the same for the acknowledgement majority.
func TestBrokenMajority(t *testing.T) { broken(t, faults{skipMajority: true}) }

// TestBrokenVersionRule does the same for the voter-set version rule.
func TestBrokenVersionRule(t *testing.T) { broken(t, faults{skipVersionRule: true}) }

// TestBrokenVersionLease does the same for the wait before a voter change.
func TestBrokenVersionLease(t *testing.T) { broken(t, faults{skipVersionLease: true}) }

// TestBrokenHeardRule does the same for promises of restarted voters.
func TestBrokenHeardRule(t *testing.T) { broken(t, faults{skipHeardRule: true}) }

// TestBrokenPromise does the same for promises to a replaced owner.
func TestBrokenPromise(t *testing.T) { broken(t, faults{promiseRegardless: true}) }

// TestBrokenSetHistory does the same for the majority in each voter set.
func TestBrokenSetHistory(t *testing.T) { broken(t, faults{skipSetHistory: true}) }

// TestBrokenStaleness does the same for a log whose reads lag unaccounted
// for.
func TestBrokenStaleness(t *testing.T) { broken(t, faults{ignoreStaleness: true}) }
