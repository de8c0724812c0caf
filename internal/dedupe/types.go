// Package dedupe keeps a request with an idempotency key from running twice.
// Each key has a home instance, which decides on every use of the key; the
// executing entries remember what they have run, so that a new home can ask.
package dedupe

import (
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/spec"
)

// Key names an idempotency key of a service.
type Key struct {
	Team    spec.TeamID
	Service spec.ServiceID
	Key     string
}

// String returns the parts joined by zero bytes; no part contains one.
func (k Key) String() string {
	return string(k.Team) + "\x00" + string(k.Service) + "\x00" + k.Key
}

// Executor names one call at the entry that carries it out.
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

// Header is one header line of an answer.
type Header struct{ Name, Value string }

// Answer is a complete response that is small enough to keep.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// size returns the memory of the answer in bytes, roughly.
func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	total := len(a.Body)
	for _, h := range a.Headers {
		total += len(h.Name) + len(h.Value) + 2*stringOverhead
	}
	return total
}

const stringOverhead = 16

// State is what is known about a use of a key.
type State uint8

// The states.
const (
	// InFlight: the executor has been told to proceed.
	InFlight State = iota + 1
	// Answered: the request ran and its answer is kept.
	Answered
	// RanOnly: the request ran; its answer is not kept.
	RanOnly
	// Unsure: the request may have run.
	Unsure
)

// Record is the knowledge about one key as instances exchange it.
type Record struct {
	Key      Key
	Hash     uint64
	State    State
	Executor Executor
	Answer   *Answer
	// Remaining is the time left until the limit of a use in flight, else
	// until the record is forgotten.
	Remaining time.Duration
}

// WaiterID names one use that waits for its reply.
type WaiterID uint64

// Use is one use of a key as it reaches the home.
type Use struct {
	Key      Key
	Hash     uint64
	Executor Executor
	// Limit is the time after which the executor has ended the request.
	Limit  time.Duration
	Waiter WaiterID
	// MovedHere states that another instance named this one as the home.
	MovedHere bool
}

// ReplyKind says how a use goes on.
type ReplyKind uint8

// The replies.
const (
	// Proceed: the executor carries the request out.
	Proceed ReplyKind = iota + 1
	// Replay: the first use's answer follows.
	Replay
	// AlreadyRan: the first use ran; its answer is not kept.
	AlreadyRan
	// Refuse: the use ends with Code.
	Refuse
	// Moved: Home decides on the key.
	Moved
)

// Reply answers a use.
type Reply struct {
	Kind   ReplyKind
	Answer *Answer
	Code   code.Code
	Detail string
	Home   spec.InstanceID
}

// Effect is what the caller of the core carries out: a reply to a waiter, or
// a question to other entries when Ask is set.
type Effect struct {
	Waiter WaiterID
	Reply  Reply
	// Ask lists the entries to ask about Key; the results go to Asked.
	Ask []spec.InstanceID
	Key Key
	// Again states that the question is repeated after a pause.
	Again bool
}

// Settings are the constants of the core.
type Settings struct {
	Self Member
	// Born is the monotonic time at which this process started.
	Born time.Duration
	// ClockRatePPM bounds the difference of the rates of two processes' clocks,
	// in parts per million.
	ClockRatePPM int64
	// Retention is how long the end of a use is remembered.
	Retention time.Duration
	// TakeoverWindow is how long after a takeover keys are asked about, and
	// keys that are not time-ordered are undecidable.
	TakeoverWindow time.Duration
	// ClockGuard bounds the difference of wall clocks for time-ordered keys.
	ClockGuard time.Duration
	// MaxKeys and MaxBytes bound the memory.
	MaxKeys  int
	MaxBytes int
	// MaxAnswer is the largest answer that is kept, in bytes.
	MaxAnswer int
	// MaxWaiters bounds the uses that wait for one key.
	MaxWaiters int
}
