// Package route chooses the targets of urgent requests. Its router is pure: it
// uses no clock, network or goroutine, and makes the same choices again with the
// same seed.
package route

import (
	"time"

	"redwingvale/internal/spec"
)

// Worker is a worker in the entry's view.
type Worker struct {
	ID         spec.WorkerID
	Service    spec.ServiceID
	DataCentre spec.DataCentre
	// Addr is the host:port of the target.
	Addr string
	// Owner is the instance that grants the worker's slots, or "".
	Owner spec.InstanceID
	// Leaving and Stamp come from the instance list. An entry whose stamp is
	// not above the last one is outdated.
	Leaving bool
	Stamp   uint64
}

// Grant is the right to use slots and connections of one worker.
type Grant struct {
	Worker      spec.WorkerID
	Epoch       spec.Epoch
	Slots       int
	Connections int
	// Valid is how long the grant lasts, from before the request for it was
	// sent.
	Valid time.Duration
}

// Pick is a chosen target whose slot is taken until Finished is called.
type Pick struct {
	Worker spec.WorkerID
	Addr   string
	// Connections is the granted number of connections.
	Connections int
	// Start is the time of the choice.
	Start time.Duration
	// Local states that the target is in the entry's own data centre.
	Local bool
}

// Result says how a request to a target ended.
type Result uint8

// The results.
const (
	// Answered requests give a latency sample.
	Answered Result = iota
	// Refused requests did not run and give no sample.
	Refused
	// Failed requests lost their connection or had their response truncated.
	Failed
	// TimedOut requests had no response before their time limit.
	TimedOut
	// NotSent requests found no usable connection.
	NotSent
	// Unmeasured picks were not used, or their duration is no measure of the
	// target, as with long streams.
	Unmeasured
)

// Signal states that a target is leaving, or that it is not.
type Signal uint8

// The signals. The state in the instance list comes with Worker.
const (
	// DialsFailing states that several dials in a row failed.
	DialsFailing Signal = iota + 1
	// DialsRecovered states that a new connection was established and probed.
	DialsRecovered
	// DrainNotice states that the target itself announced its stop.
	DrainNotice
)

// Holding is what the entry holds and wants on one worker, in slots.
type Holding struct {
	Worker spec.WorkerID
	InUse  int
	Want   int
	// HeldSlots and HeldConnections are the slots and connections of the grant
	// that was valid when the holdings were collected, 0 after its end.
	HeldSlots       int
	HeldConnections int
	// Epoch is the largest epoch of the grants received for the worker.
	Epoch spec.Epoch
}

// Router chooses targets within the grants. Implementations are not safe for
// concurrent use.
type Router interface {
	// SetWorkers replaces the workers.
	SetWorkers(now time.Duration, workers []Worker)
	// ApplyGrants applies the grants of an owner's response to a request sent at
	// sent.
	ApplyGrants(now, sent time.Duration, owner spec.InstanceID, grants []Grant)
	// ApplySignal applies a signal about a target.
	ApplySignal(now time.Duration, worker spec.WorkerID, signal Signal)
	// Choose takes a slot of a target of the service that is not in avoid.
	Choose(now time.Duration, service spec.ServiceID, avoid []spec.WorkerID) (Pick, bool)
	// Finished returns the slot.
	Finished(now time.Duration, pick Pick, result Result)
	// SetQueued sets the number of requests of the service that wait for a slot.
	SetQueued(now time.Duration, service spec.ServiceID, n int)
	// Holdings returns the report to an owner, ordered by worker.
	Holdings(now time.Duration, owner spec.InstanceID) []Holding
	// Slots returns the service's slots that are granted and not in use, and
	// all granted slots.
	Slots(now time.Duration, service spec.ServiceID) (free, granted int)
	// HasTarget reports whether the service has a target that is not leaving.
	HasTarget(service spec.ServiceID) bool
	// Connections returns the granted connections of a worker at now.
	Connections(now time.Duration, worker spec.WorkerID) int
}

// Settings are the parameters of a TwoChoiceRouter.
type Settings struct {
	DataCentre spec.DataCentre
	Instance   spec.InstanceID
	Seed       uint64
	// ClockRatePPM is the largest rate difference of two clocks, in parts per
	// million.
	ClockRatePPM int64
	// IdleSlots is the number of slots wanted per service without load.
	IdleSlots int
	// MaxSlots limits the slots wanted on one worker.
	MaxSlots int
}

const partsPerMillion = 1_000_000

// shortenForClockDrift shortens a granted duration by the possible clock drift.
func shortenForClockDrift(valid time.Duration, ppm int64) time.Duration {
	return valid - time.Duration(int64(valid)*ppm/partsPerMillion) - time.Nanosecond
}
