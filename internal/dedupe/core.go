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
	// querying is set while other entries are queried about the key.
	querying bool
	check    check
	// formerHome is the previous home of the key when the query was sent.
	formerHome spec.InstanceID
	// departedHomes are the former homes that have left the members; they are
	// queried too, since the entry of an instance that left may still be
	// running.
	departedHomes []spec.InstanceID
	retries       int
	executor      Executor
	answer        *Answer
	// expiresAt is the limit of a request in flight, otherwise the time at
	// which the record is removed.
	expiresAt time.Duration
	waiters   []Request
	// movedTo is set when another instance has taken over the key.
	movedTo spec.InstanceID
	movedAt time.Duration
	// startedRequests counts the requests that were allowed to proceed and
	// have not ended as not run.
	startedRequests int
	// queriedAt is when the pending query was sent.
	queriedAt time.Duration
	// unknownReason explains to the caller why the state is OutcomeUnknown.
	unknownReason string
}

// Core is the state machine of the idempotency keys at one instance. Its
// methods return the effects that the caller applies.
type Core struct {
	settings     Settings
	members      []Member
	membersKnown bool
	changes      []membershipChange
	// handedOverIncarnations holds the incarnation of each instance that
	// handed over its keys before it stopped.
	handedOverIncarnations map[spec.InstanceID]spec.Incarnation
	// handedOverMembers holds every member that did so; its departure loses
	// no state.
	handedOverMembers map[Member]bool
	// unresolvedHandOvers are the hand-overs with a recipient that this instance
	// has not listed yet.
	unresolvedHandOvers []handOver
	// handedOver is set when this instance has handed over its own keys.
	handedOver bool

	records map[Key]*record
	timers  timers
	// executions records what this instance has executed, for queries of new
	// homes.
	executions  executionTable
	answerBytes int
	// answeredKeys lists the keys with a kept answer, oldest first.
	answeredKeys []Key
	mutations    mutations
}

// mutations switches off single mechanisms, so that a test can show that its
// checks detect the fault.
type mutations struct {
	ignoreTakeover   bool
	ignoreExecutions bool
	ignoreRecipients bool
}

// New returns a core without keys and members.
func New(settings Settings) *Core {
	return &Core{
		settings:               settings,
		handedOverIncarnations: make(map[spec.InstanceID]spec.Incarnation),
		handedOverMembers:      make(map[Member]bool),
		records:                make(map[Key]*record),
		executions:             newExecutionTable(settings.MaxKeys),
	}
}

// Register decides on a request at its home.
func (c *Core) Register(now time.Duration, wall time.Time, req Request) []Effect {
	if c.handedOver {
		return reply(req, Reply{Kind: Moved, Home: homeOf(req.Key, c.members, c.settings.Self.Instance)})
	}
	if !c.membersKnown {
		return reply(req, Reply{Kind: Reject, Code: code.HomeUnreachable, Detail: "the members are not known yet"})
	}
	r := c.records[req.Key]
	if r == nil {
		return c.registerNew(now, wall, req)
	}
	return c.registerKnown(now, r, req)
}

// registerNew decides on a request with a key that has no record here.
func (c *Core) registerNew(now time.Duration, wall time.Time, req Request) []Effect {
	if home := c.queriedBy(now, req.Key); home != "" && home != c.settings.Self.Instance {
		return reply(req, Reply{Kind: Moved, Home: home})
	}
	if home := homeOf(req.Key, c.members); home != c.settings.Self.Instance && home != "" && !req.Redirected {
		return reply(req, Reply{Kind: Moved, Home: home})
	}
	if len(c.records) >= c.settings.MaxKeys {
		return reply(req, Reply{Kind: Reject, Code: code.Overloaded, Detail: "too many idempotency keys are remembered"})
	}
	check := c.requiredCheck(now, wall, req.Key)
	if check == keyExpired {
		return reply(req, Reply{Kind: Reject, Code: code.KeyUndecidable, Detail: "the key is older than the time for which keys are remembered"})
	}
	r := &record{key: req.Key, hash: req.Hash, check: check}
	c.records[req.Key] = r
	if check == checkNone {
		return c.proceed(now, r, req)
	}
	r.querying = true
	r.waiters = append(r.waiters, req)
	return []Effect{{Key: req.Key, QueryPeers: c.prepareQuery(now, r)}}
}

// prepareQuery records the key's former homes and returns the entries to
// query.
func (c *Core) prepareQuery(now time.Duration, r *record) []spec.InstanceID {
	r.queriedAt = now
	r.formerHome = c.formerHome(r.key)
	r.departedHomes = c.lostFormerHomes(r.key)
	return append(instanceIDs(c.otherMembers()), r.departedHomes...)
}

// otherMembers returns the members without this instance.
func (c *Core) otherMembers() []Member {
	out := make([]Member, 0, len(c.members))
	for _, m := range c.members {
		if m.Instance != c.settings.Self.Instance {
			out = append(out, m)
		}
	}
	return out
}

// proceed lets the request run. It checks P6: no other request with the key
// may be running or have run.
func (c *Core) proceed(now time.Duration, r *record, req Request) []Effect {
	r.startedRequests++
	invariant.Check(r.startedRequests == 1 && r.state != Answered && r.state != RanWithoutAnswer && r.state != OutcomeUnknown,
		invariant.AtMostOnce, "key %q proceeds in state %d, %d requests started", req.Key.Key, r.state, r.startedRequests)
	r.state = InFlight
	r.hash = req.Hash
	r.executor = req.Executor
	c.setExpiry(r, now+req.Limit+completionGrace)
	return reply(req, Reply{Kind: Proceed})
}

// completionGrace is added to the executor's limit before a request in
// flight is treated as lost; it covers the transmission of the completion.
const completionGrace = 2 * time.Second

// registerKnown decides on a request with a key that has a record.
func (c *Core) registerKnown(now time.Duration, r *record, req Request) []Effect {
	if r.hash != req.Hash {
		return reply(req, Reply{Kind: Reject, Code: code.DuplicateKey, Detail: "the key was used with other content"})
	}
	if r.querying {
		return c.enqueueWaiter(r, req)
	}
	if r.state == InFlight {
		if r.movedTo != "" && c.hasLeft(r.movedTo, r.movedAt) {
			r.movedTo = ""
		}
		if r.movedTo != "" {
			return reply(req, Reply{Kind: Moved, Home: r.movedTo})
		}
		if r.executor == req.Executor {
			// The executor repeats the call because the reply was lost.
			return reply(req, Reply{Kind: Proceed})
		}
		return c.enqueueWaiter(r, req)
	}
	return reply(req, r.reply())
}

// reply returns the reply for a key whose request has ended.
func (r *record) reply() Reply {
	switch r.state {
	case Answered:
		return Reply{Kind: Replay, Answer: r.answer}
	case RanWithoutAnswer:
		return Reply{Kind: AlreadyRan}
	default:
		return Reply{Kind: Reject, Code: code.KeyUndecidable, Detail: "an earlier use of the key may have run" + r.unknownReason}
	}
}

func (c *Core) enqueueWaiter(r *record, req Request) []Effect {
	if len(r.waiters) >= c.settings.MaxWaiters {
		return reply(req, Reply{Kind: Reject, Code: code.Overloaded, Detail: "too many requests wait for the same key"})
	}
	r.waiters = append(r.waiters, req)
	return nil
}

// Cancel removes a waiting request and reports whether it was still waiting.
func (c *Core) Cancel(key Key, waiter WaiterID) bool {
	r := c.records[key]
	if r == nil {
		return false
	}
	for i, req := range r.waiters {
		if req.Waiter == waiter {
			r.waiters = append(r.waiters[:i:i], r.waiters[i+1:]...)
			return true
		}
	}
	return false
}

func reply(req Request, r Reply) []Effect {
	return []Effect{{Waiter: req.Waiter, Key: req.Key, Reply: r}}
}

// replyAll replies to every waiter with the outcome in the record.
func (c *Core) replyAll(r *record) []Effect {
	var effects []Effect
	for _, req := range r.waiters {
		if req.Hash != r.hash {
			effects = append(effects, reply(req, Reply{Kind: Reject, Code: code.DuplicateKey})...)
			continue
		}
		effects = append(effects, reply(req, r.reply())...)
	}
	r.waiters = nil
	return effects
}
