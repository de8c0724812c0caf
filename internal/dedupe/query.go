package dedupe

import (
	"slices"
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/spec"
)

// QueryResult is the result of querying the other entries about a key.
type QueryResult struct {
	// Records holds the records that the entries returned, in the order of
	// the query.
	Records []Record
	// MovedTo is set when another entry already decides on the key.
	MovedTo spec.InstanceID
	// Authoritative lists the entries that would have a record of any earlier
	// request.
	Authoritative []spec.InstanceID
	// Unanswered lists the entries that did not answer.
	Unanswered []spec.InstanceID
	// ProcessAges is how long the process of each entry that answered has
	// been running.
	ProcessAges map[spec.InstanceID]time.Duration
}

// ResolveQuery applies the result of a query.
func (c *Core) ResolveQuery(now time.Duration, key Key, result QueryResult) []Effect {
	r := c.records[key]
	if r == nil || !r.querying {
		return nil
	}
	r.querying = false
	if result.MovedTo != "" {
		return c.removeRecord(r, Reply{Kind: Moved, Home: result.MovedTo})
	}
	// Executions of this instance count too. They are looked up only while the
	// query is pending, because the lookup records this instance as the key's
	// home and must not overwrite a home that has queried in the meantime.
	own := c.executions.query(now, key, c.settings.Self.Instance, c.settings.TakeoverWindow)
	result.Records = append(result.Records, recordSlice(own)...)
	if found := mostAdvanced(result.Records); found != nil {
		return c.adopt(now, r, *found)
	}
	if !c.excludesEarlierRequest(now, r, result) {
		return c.retryOrReject(now, r, result)
	}
	return c.startNextWaiter(now, r)
}

// excludesEarlierRequest reports whether the result proves that no earlier
// request with the key can have run.
func (c *Core) excludesEarlierRequest(now time.Duration, r *record, result QueryResult) bool {
	if c.lacksAnswer(r, result) {
		return false
	}
	if r.check == checkFormerHome {
		return r.formerHome != "" && slices.Contains(result.Authoritative, r.formerHome) || c.departedHomesAuthoritative(now, r, result) || c.noMemberRestarted(now, r, result)
	}
	return true
}

// lacksAnswer reports whether a current member did not answer.
func (c *Core) lacksAnswer(r *record, result QueryResult) bool {
	return slices.ContainsFunc(result.Unanswered, func(id spec.InstanceID) bool { return !slices.Contains(r.departedHomes, id) })
}

// departedHomesAuthoritative reports whether departed former homes answered
// as authoritative and no other loss leaves the key undecidable.
func (c *Core) departedHomesAuthoritative(now time.Duration, r *record, result QueryResult) bool {
	var authoritative []spec.InstanceID
	for _, id := range r.departedHomes {
		if slices.Contains(result.Authoritative, id) {
			authoritative = append(authoritative, id)
		}
	}
	return len(authoritative) > 0 && c.checkAfterTakeover(now, r.key, authoritative...) != checkFormerHome
}

// noMemberRestarted reports whether this instance has seen no loss since the
// key was created, and every member answered from a process that is at least
// as old as its membership here. No record can have been lost then, even
// when no single former home is authoritative: one that has just joined
// never is.
func (c *Core) noMemberRestarted(now time.Duration, r *record, result QueryResult) bool {
	if r.formerHome == "" || c.checkAfterTakeover(now, r.key) == checkFormerHome {
		return false
	}
	for _, m := range c.otherMembers() {
		age, answered := result.ProcessAges[m.Instance]
		if !answered || age < c.withClockDrift(c.membershipAge(r.queriedAt, m)) {
			return false
		}
	}
	return true
}

// membershipAge returns how long this instance had listed the member at time
// at, limited to the horizon.
func (c *Core) membershipAge(at time.Duration, m Member) time.Duration {
	for i := len(c.changes) - 1; i >= 0; i-- {
		ch := c.changes[i]
		if slices.Contains(ch.after, m) && !slices.Contains(ch.before, m) {
			return min(max(at-ch.at, 0), c.horizon())
		}
	}
	return c.horizon()
}

// withClockDrift returns the longest duration that another process's clock
// may measure for d.
func (c *Core) withClockDrift(d time.Duration) time.Duration {
	return d + d/1_000_000*time.Duration(c.settings.ClockRatePPM)
}

// ProcessAge returns how long this process has been running.
func (c *Core) ProcessAge(now time.Duration) time.Duration { return now - c.settings.StartedAt }

// retryOrReject repeats a query that proved nothing, or rejects the waiters.
// When only an answer is missing, the record is removed and the caller may
// retry the request.
func (c *Core) retryOrReject(now time.Duration, r *record, result QueryResult) []Effect {
	if r.formerHome != "" && r.retries < maxQueryRetries {
		return c.retryQuery(now, r)
	}
	if r.check != checkFormerHome || (c.lacksAnswer(r, result) && r.formerHome != "") {
		return c.removeRecord(r, Reply{Kind: Reject, Code: code.HomeUnreachable, Detail: "an entry that may know the key does not answer"})
	}
	r.state = OutcomeUnknown
	r.unknownReason = ": no entry that would know of it has answered"
	c.setExpiry(r, now+c.settings.Retention)
	return c.replyAll(r)
}

// maxQueryRetries limits the repeated queries while the running entries'
// lists of members may differ, as during a hand-over.
const maxQueryRetries = 10

func (c *Core) retryQuery(now time.Duration, r *record) []Effect {
	r.retries++
	r.querying = true
	return []Effect{{Key: r.key, QueryPeers: c.prepareQuery(now, r), Retry: true}}
}

// removeRecord removes the key's record and sends the reply to all waiters.
func (c *Core) removeRecord(r *record, with Reply) []Effect {
	delete(c.records, r.key)
	var effects []Effect
	for _, req := range r.waiters {
		effects = append(effects, reply(req, with)...)
	}
	r.waiters = nil
	return effects
}

// mostAdvanced returns the record with the most final state: an ended
// request takes precedence over one in flight.
func mostAdvanced(records []Record) *Record {
	var found *Record
	for i := range records {
		if found == nil || precedence(records[i].State) > precedence(found.State) {
			found = &records[i]
		}
	}
	return found
}

func precedence(s State) int {
	switch s {
	case Answered:
		return 4
	case RanWithoutAnswer:
		return 3
	case OutcomeUnknown:
		return 2
	default:
		return 1
	}
}

// adopt copies the record of another instance and replies to the waiters.
func (c *Core) adopt(now time.Duration, r *record, from Record) []Effect {
	r.hash = from.Hash
	r.state = from.State
	r.executor = from.Executor
	r.startedRequests = 1
	c.keepAnswer(r, from.Answer)
	remaining := from.Remaining
	if r.state == InFlight {
		remaining += completionGrace
	}
	c.setExpiry(r, now+remaining)
	if r.state == InFlight {
		return c.rejectMismatched(r)
	}
	return c.replyAll(r)
}

// rejectMismatched rejects the waiters whose content differs; the others
// keep waiting.
func (c *Core) rejectMismatched(r *record) []Effect {
	var effects []Effect
	kept := r.waiters[:0:0]
	for _, req := range r.waiters {
		if req.Hash == r.hash {
			kept = append(kept, req)
			continue
		}
		effects = append(effects, reply(req, Reply{Kind: Reject, Code: code.DuplicateKey})...)
	}
	r.waiters = kept
	return effects
}

// startNextWaiter lets the first waiter proceed, or removes the key's record
// when there is none.
func (c *Core) startNextWaiter(now time.Duration, r *record) []Effect {
	if len(r.waiters) == 0 {
		delete(c.records, r.key)
		return nil
	}
	req := r.waiters[0]
	r.waiters = r.waiters[1:]
	effects := c.proceed(now, r, req)
	return append(effects, c.rejectMismatched(r)...)
}

// AnswerQuery answers the query of an instance that is, or is becoming, the
// key's home. This instance then treats it as the key's home.
func (c *Core) AnswerQuery(now time.Duration, wall time.Time, key Key, newHome Member) (found *Record, movedTo spec.InstanceID, authoritative bool, effects []Effect) {
	home := newHome.Instance
	r := c.records[key]
	if r != nil && r.movedTo != "" && r.movedTo != home {
		return nil, r.movedTo, false, nil
	}
	if r != nil && r.querying {
		if c.settings.Self.Instance < home {
			return nil, c.settings.Self.Instance, false, nil
		}
		r.querying = false
		effects = c.removeRecord(r, Reply{Kind: Moved, Home: home})
		r = nil
	}
	if !c.mutations.ignoreExecutions {
		found = c.executions.query(now, key, home, c.settings.TakeoverWindow)
	}
	if r != nil {
		r.movedTo = home
		r.movedAt = now
		found = mostAdvanced(append(recordSlice(found), c.export(now, r)))
	}
	return found, "", c.isAuthoritative(now, wall, key, newHome), effects
}

func recordSlice(r *Record) []Record {
	if r == nil {
		return nil
	}
	return []Record{*r}
}

// listsOtherIncarnation reports whether this instance still lists another
// incarnation of the member, whose loss it has not detected yet.
func (c *Core) listsOtherIncarnation(of Member) bool {
	for _, m := range c.members {
		if m.Instance == of.Instance && m.Incarnation != of.Incarnation {
			return true
		}
	}
	return false
}

// isAuthoritative reports whether this instance was the key's home before
// newHome and would have a record of any earlier request.
func (c *Core) isAuthoritative(now time.Duration, wall time.Time, key Key, newHome Member) bool {
	if c.listsOtherIncarnation(newHome) {
		return false
	}
	if homeOf(key, c.membersWithSelf(), newHome.Instance) != c.settings.Self.Instance {
		return false
	}
	loss, ok := c.lastPossibleLoss(key)
	if !ok {
		return true
	}
	created, timeOrdered := keyTime(key.Key)
	if timeOrdered {
		return !created.Before(loss.wall.Add(c.settings.MaxClockSkew))
	}
	return now-loss.at >= c.settings.TakeoverWindow
}

func withoutInstance(members []Member, id spec.InstanceID) []Member {
	out := make([]Member, 0, len(members))
	for _, m := range members {
		if m.Instance != id {
			out = append(out, m)
		}
	}
	return out
}
