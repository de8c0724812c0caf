// Package grant is an owner's ledger of what each worker of a group has
// promised: reservations of tasks and slot grants to entry instances.
//
// The ledger is pure. Each method takes the owner's monotonic time. The sum of
// reservations and grants on a worker never grows beyond its capacity.
package grant

import (
	"time"

	"redwingvale/internal/spec"
)

// Options are the constants of a Ledger.
type Options struct {
	// Valid is how long a grant lasts from its renewal.
	Valid time.Duration
	// UrgentLimit is the longest time that a started request holds its slot.
	UrgentLimit time.Duration
	// ClockRatePPM bounds the difference of two clocks' rates, in millionths.
	ClockRatePPM int64

	// noBound switches the bound of grants off, in tests only.
	noBound bool
	// trustOldReports takes reports in any order, in tests only.
	trustOldReports bool
	// noReserve keeps nothing for unheard entries, in tests only.
	noReserve bool
}

// DefaultOptions returns the options of the design page.
func DefaultOptions() Options {
	return Options{
		Valid:        time.Second,
		UrgentLimit:  10 * time.Second,
		ClockRatePPM: 1000,
	}
}

// Right is the owner's right to decide, until a time on its clock.
type Right struct {
	Epoch spec.Epoch
	Until time.Duration
}

// Pressure states what urgent work wants on a worker beyond what it can get
// while tasks hold the slots.
type Pressure struct {
	Worker spec.WorkerID
	Need   spec.Resources
}
