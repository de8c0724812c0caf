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
	// RankDelay is added to the time of the next snapshot for each rank, so that
	// members do not write snapshots at the same time.
	RankDelay time.Duration
	// RetryAfter is the time after which a snapshot that was not read back is
	// written again.
	RetryAfter time.Duration
	// PartBytes bounds the services in one record of a snapshot.
	PartBytes int
}

// Fractions of the retention that bound the delays, so that with seven members
// and a short retention the last one still writes a snapshot before half of it.
const (
	rankDelayShare  = 32
	retryAfterShare = 16
	maxRankDelay    = time.Minute
	maxRetryAfter   = 2 * time.Minute
)

// DefaultOptions returns the settings for a log with the given retention.
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

// MembersEvent reports the rank of this instance among the active members, from
// 0, or -1 when it is not one of them.
type MembersEvent struct{ Rank int }

// TickEvent advances the time. One a second is enough.
type TickEvent struct{}

func (ReadEvent) configEvent()    {}
func (MembersEvent) configEvent() {}
func (TickEvent) configEvent()    {}

// Effect is an output of Core.Step.
type Effect interface{ configEffect() }

// InForce states that a new revision of a service is in force.
type InForce struct{ Service Service }

// ApplyDecided reports the outcome of an Apply record.
type ApplyDecided struct{ Outcome Outcome }

// Publish requests that records are appended to the config stream through the
// journal.
type Publish struct{ Records []*recordv1.ConfigRecord }

// Incomplete states that records expired before they were read. The known
// revisions stay in force until a snapshot closes the gap.
type Incomplete struct{ From, To int64 }

// Completed states that a snapshot has closed the gap.
type Completed struct{}

// Diverged states that a snapshot of another instance contradicts the records
// that this one has read. An operator must act: the instances run incompatible
// versions.
type Diverged struct {
	Key    Key
	Offset int64
}

// Unreadable states that a record could not be decoded and was skipped.
type Unreadable struct {
	Offset int64
	Err    error
}

func (InForce) configEffect()      {}
func (ApplyDecided) configEffect() {}
func (Publish) configEffect()      {}
func (Incomplete) configEffect()   {}
func (Completed) configEffect()    {}
func (Diverged) configEffect()     {}
func (Unreadable) configEffect()   {}

// Core derives the configuration from the config stream for one process. It
// performs no I/O: Step returns the effects to execute.
type Core struct {
	options Options
	state   *State
	// next is the offset to read from next.
	next int64
	// inForce is the offset through which everything has been applied.
	inForce int64
	// gap is the first offset after the newest gap. Apply records from there on
	// are kept in pending until a snapshot covers the gap.
	gap       int64
	complete  bool
	pending   []pendingApply
	assembler assembler
	schedule  snapshotSchedule
	effects   []Effect
}

type pendingApply struct {
	offset int64
	apply  *recordv1.Apply
	unixMS int64
}

// noOffset is the offset in force before anything was read.
const noOffset = -1

// NewCore returns a core that has read nothing. Offsets of the log start at 0.
func NewCore(options Options) *Core {
	return &Core{options: options, state: NewState(), inForce: noOffset, complete: true, schedule: newSnapshotSchedule()}
}

// State returns the configuration in force. It is valid until the next call of
// Step.
func (c *Core) State() *State { return c.state }

// Next returns the offset from which the stream must be read next.
func (c *Core) Next() int64 { return c.next }

// InForceOffset returns the offset through which this instance has applied the
// configuration, or -1. The heartbeat reports it.
func (c *Core) InForceOffset() int64 { return c.inForce }

// Complete reports whether no record is missing from the configuration.
func (c *Core) Complete() bool { return c.complete }

// Gap returns the first offset after the newest gap. An instance with Gap - 1
// or a later offset in force is not affected by the gap.
func (c *Core) Gap() int64 { return c.gap }

// SnapshotAge returns an upper bound of the age of the newest snapshot that
// was read, and false when none was read or its age is not known.
func (c *Core) SnapshotAge(now time.Duration) (time.Duration, bool) {
	return c.schedule.age(now)
}

// Step processes one event and returns the effects to execute.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	switch e := event.(type) {
	case ReadEvent:
		c.read(e)
	case MembersEvent:
		c.schedule.rank = e.Rank
	case TickEvent:
	}
	c.publishIfDue(now)
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
		c.processRecord(record)
		c.advance()
	}
	c.next = max(c.next, e.Result.Next)
	c.advance()
	if e.Result.AtTail {
		c.schedule.tailRead(e.Sent)
	}
}

// advance moves the offset in force to the last offset read, unless records
// are missing.
func (c *Core) advance() {
	if c.complete {
		c.inForce = c.next - 1
	}
}

// openGap records that the records before first expired before they were read.
func (c *Core) openGap(first int64) {
	c.emit(Incomplete{From: c.next, To: first})
	c.next = first
	c.gap = first
	c.complete = false
	c.pending = nil
	c.assembler.clear()
}

func (c *Core) processRecord(record platform.LogRecord) {
	env := &recordv1.Envelope{}
	if err := proto.Unmarshal(record.Data, env); err != nil {
		c.emit(Unreadable{Offset: record.Offset, Err: err})
		return
	}
	if apply := env.GetConfig().GetApply(); apply != nil {
		c.apply(pendingApply{record.Offset, apply, env.GetUnixMs()})
	}
	if part := env.GetConfig().GetSnapshot(); part != nil {
		c.addSnapshotPart(record.Offset, env, part)
	}
}

func (c *Core) apply(r pendingApply) {
	if !c.complete {
		c.pending = append(c.pending, r)
		return
	}
	outcome := c.state.Apply(r.offset, r.apply, r.unixMS)
	c.emit(ApplyDecided{Outcome: outcome})
	if outcome.Kind == AcceptedNow {
		c.emitInForce(outcome.Key)
	}
}

func (c *Core) emitInForce(key Key) {
	service, _ := c.state.Get(key)
	c.emit(InForce{Service: service})
}

// addSnapshotPart processes one part of a snapshot. A complete reader already
// has everything that a snapshot contains and only compares it with its state.
// A reader with a gap merges a snapshot that covers the gap and then applies
// the records that it has read since.
func (c *Core) addSnapshotPart(offset int64, env *recordv1.Envelope, part *recordv1.ConfigSnapshot) {
	if c.complete {
		if key, differs := c.state.findDivergence(part); differs {
			c.emit(Diverged{Key: key, Offset: offset})
		}
	}
	parts := c.assembler.add(env, part)
	if parts == nil || part.GetThroughOffset() >= offset {
		return
	}
	c.schedule.snapshotRead()
	if c.complete && !c.state.mutations.trustSnapshots {
		return
	}
	through := part.GetThroughOffset()
	if !c.complete && through+1 < c.gap {
		return
	}
	for _, key := range c.state.merge(parts) {
		c.emitInForce(key)
	}
	c.closeGap(through)
}

func (c *Core) closeGap(through int64) {
	if c.complete {
		return
	}
	pending := c.pending
	c.pending = nil
	c.complete = true
	c.emit(Completed{})
	for _, r := range pending {
		if r.offset > through {
			c.apply(r)
		}
	}
}
