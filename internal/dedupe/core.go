package dedupe

import (
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/invariant"
	"redwingvale/internal/spec"
)

// record is the state of one key at its home.
type record struct {
	key   Key
	hash  uint64
	state State
	// asking is set while other entries are asked about the key.
	asking bool
	need   need
	// former is the home before this one at the time of the question.
	former spec.InstanceID
	// lost are the former homes that have left the members; they are asked too,
	// since an entry may live on when its instance has left.
	lost     []spec.InstanceID
	tries    int
	executor Executor
	answer   *Answer
	// ends is the limit of a use in flight, else when the record is forgotten.
	ends    time.Duration
	waiters []Use
	// movedTo is set when another instance has taken the key over.
	movedTo spec.InstanceID
	movedAt time.Duration
	// started counts the uses that were told to proceed and have not ended as
	// not run.
	started int
	// askedAt is when the question under way was sent.
	askedAt time.Duration
	// why says how a use in the state Unsure got there.
	why string
}

// Core is the state of the idempotency keys at one instance.
type Core struct {
	settings Settings
	members  []Member
	started  bool
	changes  []change
	// handedOver holds the incarnations that gave their keys up before a stop.
	handedOver map[spec.InstanceID]spec.Incarnation
	clean      map[Member]bool
	// stopped is set when this instance has handed its own keys over.
	stopped bool

	records map[Key]*record
	timers  timers
	// local is what this instance has executed, for new homes that ask.
	local localMemory
	bytes int
	// answers lists kept answers from the oldest on.
	answers []Key
	faults  faults
}

// faults switches mechanisms off, for tests that show that a check notices.
type faults struct {
	ignoreTakeover bool
	ignoreLocal    bool
}

// New returns a core that knows no key and no member.
func New(settings Settings) *Core {
	return &Core{
		settings:   settings,
		handedOver: make(map[spec.InstanceID]spec.Incarnation),
		clean:      make(map[Member]bool),
		records:    make(map[Key]*record),
		local:      newLocalMemory(settings.MaxKeys),
	}
}

// Use takes a use of a key in, at its home.
func (c *Core) Use(now time.Duration, wall time.Time, u Use) []Effect {
	if c.stopped {
		return reply(u, Reply{Kind: Moved, Home: homeOf(u.Key, c.members, c.settings.Self.Instance)})
	}
	if !c.started {
		return reply(u, Reply{Kind: Refuse, Code: code.HomeUnreachable, Detail: "the members are not known yet"})
	}
	r := c.records[u.Key]
	if r == nil {
		return c.first(now, wall, u)
	}
	return c.again(now, r, u)
}

// first handles a key that is not known here.
func (c *Core) first(now time.Duration, wall time.Time, u Use) []Effect {
	if home := c.askedBy(now, u.Key); home != "" && home != c.settings.Self.Instance {
		return reply(u, Reply{Kind: Moved, Home: home})
	}
	if home := homeOf(u.Key, c.members); home != c.settings.Self.Instance && home != "" && !u.MovedHere {
		return reply(u, Reply{Kind: Moved, Home: home})
	}
	if len(c.records) >= c.settings.MaxKeys {
		return reply(u, Reply{Kind: Refuse, Code: code.Overloaded, Detail: "too many idempotency keys are remembered"})
	}
	need := c.needOf(now, wall, u.Key)
	if need == expired {
		return reply(u, Reply{Kind: Refuse, Code: code.KeyUndecidable, Detail: "the key is older than the time for which keys are remembered"})
	}
	r := &record{key: u.Key, hash: u.Hash, need: need}
	c.records[u.Key] = r
	if need == certain {
		return c.proceed(now, r, u)
	}
	r.asking = true
	r.waiters = append(r.waiters, u)
	return []Effect{{Key: u.Key, Ask: c.toAsk(now, r)}}
}

// toAsk notes the key's former homes and returns whom to ask about it.
func (c *Core) toAsk(now time.Duration, r *record) []spec.InstanceID {
	r.askedAt = now
	r.former = c.formerHome(r.key)
	r.lost = c.lostHomes(r.key)
	return append(instances(c.others()), r.lost...)
}

// others returns the members without this instance.
func (c *Core) others() []Member {
	out := make([]Member, 0, len(c.members))
	for _, m := range c.members {
		if m.Instance != c.settings.Self.Instance {
			out = append(out, m)
		}
	}
	return out
}

// proceed lets the use run. P6: nobody else may be running the key.
func (c *Core) proceed(now time.Duration, r *record, u Use) []Effect {
	r.started++
	invariant.Check(r.started == 1 && r.state != Answered && r.state != RanOnly && r.state != Unsure,
		invariant.AtMostOnce, "key %q proceeds in state %d, %d uses started", u.Key.Key, r.state, r.started)
	r.state = InFlight
	r.hash = u.Hash
	r.executor = u.Executor
	c.setEnd(r, now+u.Limit+limitGuard)
	return reply(u, Reply{Kind: Proceed})
}

// limitGuard is added to the executor's limit before a use in flight counts as
// lost; it covers the way of the completion.
const limitGuard = 2 * time.Second

// again handles a further use of a known key.
func (c *Core) again(now time.Duration, r *record, u Use) []Effect {
	if r.hash != u.Hash {
		return reply(u, Reply{Kind: Refuse, Code: code.DuplicateKey, Detail: "the key was used with other content"})
	}
	if r.asking {
		return c.wait(r, u)
	}
	if r.state == InFlight {
		if r.movedTo != "" && c.hasLeft(r.movedTo, r.movedAt) {
			r.movedTo = ""
		}
		if r.movedTo != "" {
			return reply(u, Reply{Kind: Moved, Home: r.movedTo})
		}
		if r.executor == u.Executor {
			// The reply to the same call was lost.
			return reply(u, Reply{Kind: Proceed})
		}
		return c.wait(r, u)
	}
	return reply(u, r.reply())
}

// reply returns the reply for a use that has ended.
func (r *record) reply() Reply {
	switch r.state {
	case Answered:
		return Reply{Kind: Replay, Answer: r.answer}
	case RanOnly:
		return Reply{Kind: AlreadyRan}
	default:
		return Reply{Kind: Refuse, Code: code.KeyUndecidable, Detail: "an earlier use of the key may have run" + r.why}
	}
}

func (c *Core) wait(r *record, u Use) []Effect {
	if len(r.waiters) >= c.settings.MaxWaiters {
		return reply(u, Reply{Kind: Refuse, Code: code.Overloaded, Detail: "too many requests wait for the same key"})
	}
	r.waiters = append(r.waiters, u)
	return nil
}

// Cancel ends the wait of a use and reports whether it still waited.
func (c *Core) Cancel(key Key, waiter WaiterID) bool {
	r := c.records[key]
	if r == nil {
		return false
	}
	for i, u := range r.waiters {
		if u.Waiter == waiter {
			r.waiters = append(r.waiters[:i:i], r.waiters[i+1:]...)
			return true
		}
	}
	return false
}

func reply(u Use, r Reply) []Effect {
	return []Effect{{Waiter: u.Waiter, Key: u.Key, Reply: r}}
}

// replyAll answers every waiter with the state that the record has reached.
func (c *Core) replyAll(r *record) []Effect {
	var effects []Effect
	for _, u := range r.waiters {
		if u.Hash != r.hash {
			effects = append(effects, reply(u, Reply{Kind: Refuse, Code: code.DuplicateKey})...)
			continue
		}
		effects = append(effects, reply(u, r.reply())...)
	}
	r.waiters = nil
	return effects
}
