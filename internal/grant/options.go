// Package grant is the ledger in which a group's owner records what is
// allocated on each worker of the group: reservations of tasks and slot
// grants to entry instances.
//
// The ledger does no I/O and reads no clock: each method takes the owner's
// monotonic time. The sum of reservations and grants on a worker never
// exceeds its capacity.
package grant

import (
	"time"

	"redwingvale/internal/spec"
)

// Options are the constants of a Ledger.
type Options struct {
	// GrantDuration is how long a grant is valid after its renewal.
	GrantDuration time.Duration
	// UrgentLimit is the longest time that a started request occupies its
	// slot.
	UrgentLimit time.Duration
	// ClockRatePPM bounds the difference between the rates of two clocks, in
	// parts per million.
	ClockRatePPM int64

	// unboundedGrants disables the bound of grants, in tests only.
	unboundedGrants bool
	// acceptStaleReports accepts reports in any order, in tests only.
	acceptStaleReports bool
	// noTakeoverReserve reserves nothing for unreported entries, in tests
	// only.
	noTakeoverReserve bool
}

// DefaultOptions returns the options that the design page states.
func DefaultOptions() Options {
	return Options{
		GrantDuration: time.Second,
		UrgentLimit:   10 * time.Second,
		ClockRatePPM:  1000,
	}
}

// OwnershipLease permits the owner to take decisions until a time on its
// clock.
type OwnershipLease struct {
	Epoch spec.Epoch
	Until time.Duration
}

// Pressure states how many resources urgent work needs on a worker beyond
// what it can get while tasks hold the slots.
type Pressure struct {
	Worker spec.WorkerID
	Need   spec.Resources
}
