// Package dedupe runs a request with an idempotency key at most once. Each
// key has a home instance, which decides on every request with the key. The
// entries also record the requests that they execute themselves, so that a
// new home can query them.
package dedupe

import (
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/spec"
)

// Key identifies an idempotency key of a service.
type Key struct {
	Team    spec.TeamID
	Service spec.ServiceID
	Key     string
}

// String joins the parts with zero bytes; no part contains one.
func (k Key) String() string {
	return string(k.Team) + "\x00" + string(k.Service) + "\x00" + k.Key
}

// Executor identifies one call at the entry that executes it.
type Executor struct {
	Instance    spec.InstanceID
	Incarnation spec.Incarnation
	Call        uint64
}

// Member is an active entry instance.
type Member struct {
	Instance    spec.InstanceID
	Incarnation spec.Incarnation
}

// Header is one header line of an Answer.
type Header struct{ Name, Value string }

// Answer is a complete response of a target that is small enough to keep.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// size returns the approximate memory of the answer in bytes.
func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	total := len(a.Body)
	for _, h := range a.Headers {
		total += len(h.Name) + len(h.Value) + 2*stringHeaderBytes
	}
	return total
}

const stringHeaderBytes = 16

// State is the state of a request with a key.
type State uint8

// The states.
const (
	// InFlight: the executor was allowed to proceed and has not reported an
	// end.
	InFlight State = iota + 1
	// Answered: the request ran and its answer is kept.
	Answered
	// RanWithoutAnswer: the request ran; its answer is not kept.
	RanWithoutAnswer
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown
)

// Record is the state of one key as instances exchange it.
type Record struct {
	Key      Key
	Hash     uint64
	State    State
	Executor Executor
	Answer   *Answer
	// Remaining is the time until the limit of a request in flight, otherwise
	// until the record expires.
	Remaining time.Duration
}

// WaiterID identifies a request that waits for its reply.
type WaiterID uint64

// Request is one request with a key as the home receives it.
type Request struct {
	Key      Key
	Hash     uint64
	Executor Executor
	// Limit is the time after which the executor has ended the request.
	Limit  time.Duration
	Waiter WaiterID
	// Redirected is set when another instance named this one as the home.
	Redirected bool
}

// ReplyKind is the decision of the home on a request.
type ReplyKind uint8

// The replies.
const (
	// Proceed: the executor executes the request.
	Proceed ReplyKind = iota + 1
	// Replay: Answer is the response to the first request.
	Replay
	// AlreadyRan: the first request ran; its answer is not kept.
	AlreadyRan
	// Reject: the request fails with Code.
	Reject
	// Moved: Home decides on the key.
	Moved
)

// Reply is the home's reply to a request.
type Reply struct {
	Kind   ReplyKind
	Answer *Answer
	Code   code.Code
	Detail string
	Home   spec.InstanceID
}

// Effect is an action for the caller of Core: a query to other entries when
// QueryPeers is set, otherwise a reply to a waiter.
type Effect struct {
	Waiter WaiterID
	Reply  Reply
	// QueryPeers lists the entries to query about Key; the result is passed
	// to ResolveQuery.
	QueryPeers []spec.InstanceID
	Key        Key
	// Retry is set when the query is repeated after retryInterval.
	Retry bool
}

// Settings are the constants of the core.
type Settings struct {
	Self Member
	// StartedAt is the monotonic time at which this process started.
	StartedAt time.Duration
	// ClockRatePPM is the largest rate difference of two processes' clocks, in
	// parts per million.
	ClockRatePPM int64
	// Retention is how long the outcome of a request is kept.
	Retention time.Duration
	// TakeoverWindow is how long after a takeover peers are queried about
	// keys, and keys without a timestamp are undecidable.
	TakeoverWindow time.Duration
	// MaxClockSkew limits the difference between wall clocks; it applies to
	// time-ordered keys.
	MaxClockSkew time.Duration
	// MaxKeys and MaxBytes limit the memory: the number of keys, and the
	// bytes of kept answers.
	MaxKeys  int
	MaxBytes int
	// MaxAnswer is the largest answer that is kept, in bytes.
	MaxAnswer int
	// MaxWaiters limits the requests that wait for one key.
	MaxWaiters int
}
