// Package route decides which target an urgent request goes to. The grant book
// is pure: it has no clock, network or goroutine, and a fixed seed gives the
// same choices again.
package route

import (
	"time"

	"redwingvale/internal/spec"
)

// Worker is a worker as the entry's view shows it.
type Worker struct {
	ID         spec.WorkerID
	Service    spec.ServiceID
	DataCentre spec.DataCentre
	// Addr is the host:port of the target.
	Addr string
	// Owner is the instance that grants the worker's slots, or "".
	Owner spec.InstanceID
	// Leaving and Stamp come from the instance list. An entry with a stamp
	// that is not above the last one is an older state.
	Leaving bool
	Stamp   uint64
}

// Grant is the right to use slots and connections of one worker.
type Grant struct {
	Worker      spec.WorkerID
	Epoch       spec.Epoch
	Slots       int
	Connections int
	// Valid is counted from before the request for the grant was sent.
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
	// Failed requests lost their connection or were cut short.
	Failed
	// TimedOut requests had no answer before their limit.
	TimedOut
	// NotSent requests found no usable connection.
	NotSent
	// Unmeasured picks were not used, or their length says nothing about the
	// target, as with long streams.
	Unmeasured
)

// Sign is evidence that a target is leaving, or that it is not.
type Sign uint8

// The signs. The instance list is taken from Worker.
const (
	// DialsFail states that several dials in a row failed.
	DialsFail Sign = iota + 1
	// DialsWork states that a new connection was established and probed.
	DialsWork
	// DrainNotice states that the target itself announced its stop.
	DrainNotice
)

// Holding is what the entry holds and wants on one worker, in slots.
type Holding struct {
	Worker spec.WorkerID
	InUse  int
	Want   int
	// Held and HeldConnections are what the grant allows that could still be
	// used when the holdings were taken; 0 after its end.
	Held            int
	HeldConnections int
	// Epoch is the largest epoch of a grant that was received for the worker.
	Epoch spec.Epoch
}

// Router chooses targets within the grants. Implementations are not safe for
// concurrent use.
type Router interface {
	// SetWorkers replaces the known workers.
	SetWorkers(now time.Duration, workers []Worker)
	// Granted takes the answer of an owner to a request sent at sent.
	Granted(now, sent time.Duration, owner spec.InstanceID, grants []Grant)
	// Sign takes evidence about a target in.
	Sign(now time.Duration, worker spec.WorkerID, sign Sign)
	// Choose takes a slot of a target of the service that is not in avoid.
	Choose(now time.Duration, service spec.ServiceID, avoid []spec.WorkerID) (Pick, bool)
	// Finished returns the slot.
	Finished(now time.Duration, pick Pick, result Result)
	// Queued tells how many requests of the service wait for a slot.
	Queued(now time.Duration, service spec.ServiceID, n int)
	// Holdings returns what to report to an owner, ordered by worker.
	Holdings(now time.Duration, owner spec.InstanceID) []Holding
	// Slots returns the service's slots that are granted and not in use, and
	// all granted slots.
	Slots(now time.Duration, service spec.ServiceID) (free, granted int)
	// Known reports whether any target of the service is known and not leaving.
	Known(service spec.ServiceID) bool
	// Connections returns the granted connections of a worker at now.
	Connections(now time.Duration, worker spec.WorkerID) int
}

// Settings are the constants of the grant book.
type Settings struct {
	DataCentre spec.DataCentre
	Instance   spec.InstanceID
	Seed       uint64
	// ClockRatePPM bounds the rate difference of two clocks.
	ClockRatePPM int64
	// IdleSlots is the number of slots wanted per service without load.
	IdleSlots int
	// MaxSlots bounds the slots wanted on one worker.
	MaxSlots int
}

const partsPerMillion = 1_000_000

// heldFor shortens a granted duration by the clock guard.
func heldFor(valid time.Duration, ppm int64) time.Duration {
	return valid - time.Duration(int64(valid)*ppm/partsPerMillion) - time.Nanosecond
}
