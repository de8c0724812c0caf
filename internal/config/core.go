package config

import (
	"time"

	"google.golang.org/protobuf/proto"

	"redwingvale/internal/platform"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// Options are the settings of a Core.
type Options struct {
	// Retention is how long the log keeps a record.
	Retention time.Duration
	// RankDelay separates the republications of members with adjacent ranks.
	RankDelay time.Duration
	// RetryAfter is the time after which a snapshot that was not read back is
	// written again.
	RetryAfter time.Duration
	// PartBytes bounds the services in one record of a snapshot.
	PartBytes int
}

// Shares of the retention that bound the delays, so that with seven members
// and a short retention the last one still republishes before half of it.
const (
	rankDelayShare  = 32
	retryAfterShare = 16
	maxRankDelay    = time.Minute
	maxRetryAfter   = 2 * time.Minute
)

// DefaultOptions returns the settings for a log that keeps records for a time.
func DefaultOptions(retention time.Duration) Options {
	return Options{
		Retention:  retention,
		RankDelay:  min(retention/rankDelayShare, maxRankDelay),
		RetryAfter: min(retention/retryAfterShare, maxRetryAfter),
		PartBytes:  MaxPartBytes,
	}
}

// Event is an input of Core.Step: ReadEvent, MembersEvent or TickEvent.
type Event interface{ configEvent() }

// ReadEvent is the result of a read of the config stream from Core.Next. Sent
// is the monotonic time before the read was sent.
type ReadEvent struct {
	Result platform.ReadResult
	Sent   time.Duration
}

// MembersEvent tells the rank of this instance among the active members, from
// 0, or -1 when it is none.
type MembersEvent struct{ Rank int }

// TickEvent lets time pass. One a second is enough.
type TickEvent struct{}

func (ReadEvent) configEvent()    {}
func (MembersEvent) configEvent() {}
func (TickEvent) configEvent()    {}

// Effect is an output of Core.Step.
type Effect interface{ configEffect() }

// InForce states that a new revision of a service is in force.
type InForce struct{ Service Service }

// Judged states what became of an Apply record.
type Judged struct{ Verdict Verdict }

// Publish asks to append records to the config stream through the journal.
type Publish struct{ Records []*recordv1.ConfigRecord }

// Incomplete states that records expired before they were read. The known
// revisions stay in force until a snapshot closes the gap.
type Incomplete struct{ From, To int64 }

// Completed states that a snapshot has closed the gap.
type Completed struct{}

// Diverged states that a snapshot of another instance disagrees with what
// this one read. It needs a person: the instances run incompatible versions.
type Diverged struct {
	Key    Key
	Offset int64
}

// Unreadable states that a record could not be decoded and was left out.
type Unreadable struct {
	Offset int64
	Err    error
}

func (InForce) configEffect()    {}
func (Judged) configEffect()     {}
func (Publish) configEffect()    {}
func (Incomplete) configEffect() {}
func (Completed) configEffect()  {}
func (Diverged) configEffect()   {}
func (Unreadable) configEffect() {}

// Core follows the config stream for one process.
type Core struct {
	options Options
	state   *State
	// next is the offset to read from next.
	next int64
	// inForce is the offset through which everything has been applied.
	inForce int64
	// gap is the first offset after the newest gap; records from there on
	// wait in pending until a snapshot covers the gap.
	gap     int64
	whole   bool
	pending []waitingRecord
	parts   assembler
	renewal renewal
	effects []Effect
}

type waitingRecord struct {
	offset int64
	apply  *recordv1.Apply
	unixMS int64
}

// noOffset is the offset in force before anything was read.
const noOffset = -1

// NewCore returns a core that has read nothing. Offsets of the log start at 0.
func NewCore(options Options) *Core {
	return &Core{options: options, state: NewState(), inForce: noOffset, whole: true, renewal: newRenewal()}
}

// State returns the configuration in force. The caller must not keep it
// across calls of Step.
func (c *Core) State() *State { return c.state }

// Next returns the offset from which the stream must be read next.
func (c *Core) Next() int64 { return c.next }

// InForceOffset returns the offset through which the configuration is in
// force here, or -1. The heartbeat reports it.
func (c *Core) InForceOffset() int64 { return c.inForce }

// Whole reports whether no record is missing from the configuration.
func (c *Core) Whole() bool { return c.whole }

// Gap returns the first offset after the newest gap. An instance that has
// Gap - 1 or a later offset in force misses nothing.
func (c *Core) Gap() int64 { return c.gap }

// SnapshotAge returns the largest possible age of the newest snapshot that
// was read, and false when there is none or its age is not known.
func (c *Core) SnapshotAge(now time.Duration) (time.Duration, bool) {
	return c.renewal.age(now)
}

// Step takes one event and returns what must be done.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	switch e := event.(type) {
	case ReadEvent:
		c.read(e)
	case MembersEvent:
		c.renewal.rank = e.Rank
	case TickEvent:
	}
	c.republish(now)
	effects := c.effects
	c.effects = nil
	return effects
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Core) read(e ReadEvent) {
	if e.Result.First > c.next {
		c.openGap(e.Result.First)
	}
	for _, record := range e.Result.Records {
		if record.Offset < c.next {
			continue
		}
		c.next = record.Offset + 1
		c.record(record)
		c.advance()
	}
	c.next = max(c.next, e.Result.Next)
	c.advance()
	if e.Result.AtTail {
		c.renewal.tail(e.Sent)
	}
}

// advance moves the offset in force to the last offset read.
func (c *Core) advance() {
	if c.whole {
		c.inForce = c.next - 1
	}
}

// openGap notes that the records before first have expired unread.
func (c *Core) openGap(first int64) {
	c.emit(Incomplete{From: c.next, To: first})
	c.next = first
	c.gap = first
	c.whole = false
	c.pending = nil
	c.parts.clear()
}

func (c *Core) record(record platform.LogRecord) {
	env := &recordv1.Envelope{}
	if err := proto.Unmarshal(record.Data, env); err != nil {
		c.emit(Unreadable{Offset: record.Offset, Err: err})
		return
	}
	if apply := env.GetConfig().GetApply(); apply != nil {
		c.apply(waitingRecord{record.Offset, apply, env.GetUnixMs()})
	}
	if part := env.GetConfig().GetSnapshot(); part != nil {
		c.snapshot(record.Offset, env, part)
	}
}

func (c *Core) apply(r waitingRecord) {
	if !c.whole {
		c.pending = append(c.pending, r)
		return
	}
	verdict := c.state.Apply(r.offset, r.apply, r.unixMS)
	c.emit(Judged{Verdict: verdict})
	if verdict.Kind == AcceptedNow {
		c.inForceNow(verdict.Key)
	}
}

func (c *Core) inForceNow(key Key) {
	service, _ := c.state.Get(key)
	c.emit(InForce{Service: service})
}

// snapshot takes one part. A reader that misses nothing knows more than any
// snapshot and only compares; a reader with a gap takes over a snapshot that
// covers the gap and then applies what it has read since.
func (c *Core) snapshot(offset int64, env *recordv1.Envelope, part *recordv1.ConfigSnapshot) {
	if c.whole {
		if key, differs := c.state.differs(part); differs {
			c.emit(Diverged{Key: key, Offset: offset})
		}
	}
	parts := c.parts.add(env, part)
	if parts == nil || part.GetThroughOffset() >= offset {
		return
	}
	c.renewal.seen()
	if c.whole && !c.state.faults.trustSnapshots {
		return
	}
	through := part.GetThroughOffset()
	if !c.whole && through+1 < c.gap {
		return
	}
	for _, key := range c.state.adopt(parts) {
		c.inForceNow(key)
	}
	c.closeGap(through)
}

func (c *Core) closeGap(through int64) {
	if c.whole {
		return
	}
	waiting := c.pending
	c.pending = nil
	c.whole = true
	c.emit(Completed{})
	for _, r := range waiting {
		if r.offset > through {
			c.apply(r)
		}
	}
}
