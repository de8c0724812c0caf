package dedupe

import (
	"slices"
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/spec"
)

// Findings is the result of asking the other entries about a key.
type Findings struct {
	// Records is what the entries know, in the order of the question.
	Records []Record
	// MovedTo is set when another entry decides on the key already.
	MovedTo spec.InstanceID
	// Authoritative lists entries that would know of an earlier use.
	Authoritative []spec.InstanceID
	// Silent lists the entries that did not answer.
	Silent []spec.InstanceID
	// Ages is how long the process of each entry that answered has run.
	Ages map[spec.InstanceID]time.Duration
}

// Asked takes the findings about a key in.
func (c *Core) Asked(now time.Duration, key Key, f Findings) []Effect {
	r := c.records[key]
	if r == nil || !r.asking {
		return nil
	}
	r.asking = false
	if f.MovedTo != "" {
		return c.giveUp(r, Reply{Kind: Moved, Home: f.MovedTo})
	}
	// What this instance has run itself counts too. It is looked up only while
	// the question stands: the lookup notes this instance as the key's home,
	// which must not undo that another one has asked for the key meanwhile.
	own := c.local.ask(now, key, c.settings.Self.Instance, c.settings.TakeoverWindow)
	f.Records = append(f.Records, compact(own)...)
	if best := best(f.Records); best != nil {
		return c.adopt(now, r, *best)
	}
	if !c.decided(now, r, f) {
		return c.undecided(now, r, f)
	}
	return c.nextWaiter(now, r)
}

// decided reports whether the findings exclude an earlier use.
func (c *Core) decided(now time.Duration, r *record, f Findings) bool {
	if c.missing(r, f) {
		return false
	}
	if r.need == undecidable {
		return r.former != "" && slices.Contains(f.Authoritative, r.former) || c.vouched(now, r, f) || c.accounted(now, r, f)
	}
	return true
}

// missing reports whether a member did not answer.
func (c *Core) missing(r *record, f Findings) bool {
	return slices.ContainsFunc(f.Silent, func(id spec.InstanceID) bool { return !slices.Contains(r.lost, id) })
}

// vouched reports whether the former homes that have left still answer for
// their knowledge, so that nothing about the key has been lost.
func (c *Core) vouched(now time.Duration, r *record, f Findings) bool {
	var vouching []spec.InstanceID
	for _, id := range r.lost {
		if slices.Contains(f.Authoritative, id) {
			vouching = append(vouching, id)
		}
	}
	return len(vouching) > 0 && c.needAfterTakeover(now, r.key, vouching...) != undecidable
}

// accounted reports whether this instance knows of no loss since the key was
// made and every member has answered from the process that this instance has
// known all the time. Then nobody can have forgotten a use, even when no single
// former home vouches for the key: one that has just joined never does.
func (c *Core) accounted(now time.Duration, r *record, f Findings) bool {
	if r.former == "" || c.needAfterTakeover(now, r.key) == undecidable {
		return false
	}
	for _, m := range c.others() {
		age, answered := f.Ages[m.Instance]
		if !answered || age < c.lengthened(c.listedFor(r.askedAt, m)) {
			return false
		}
	}
	return true
}

// listedFor returns how long this instance has known the member at time at,
// at most the age up to which a loss matters.
func (c *Core) listedFor(at time.Duration, m Member) time.Duration {
	for i := len(c.changes) - 1; i >= 0; i-- {
		ch := c.changes[i]
		if slices.Contains(ch.after, m) && !slices.Contains(ch.before, m) {
			return min(max(at-ch.at, 0), c.horizon())
		}
	}
	return c.horizon()
}

// lengthened returns a duration of this clock as the largest one that another
// process's clock can show for it.
func (c *Core) lengthened(d time.Duration) time.Duration {
	return d + d/1_000_000*time.Duration(c.settings.ClockRatePPM)
}

// Age returns how long this process has run.
func (c *Core) Age(now time.Duration) time.Duration { return now - c.settings.Born }

// undecided ends the uses of a key that cannot be decided. When only an answer
// is missing, nothing is remembered and the caller may repeat the request.
func (c *Core) undecided(now time.Duration, r *record, f Findings) []Effect {
	if r.former != "" && r.tries < askTries {
		return c.askAgain(now, r)
	}
	if r.need != undecidable || (c.missing(r, f) && r.former != "") {
		return c.giveUp(r, Reply{Kind: Refuse, Code: code.HomeUnreachable, Detail: "an entry that may know the key does not answer"})
	}
	r.state = Unsure
	r.why = ": no entry that would know of it has answered"
	c.setEnd(r, now+c.settings.Retention)
	return c.replyAll(r)
}

// askTries is the number of further questions while the live entries' views of
// the members may differ, as during a hand-over.
const askTries = 10

func (c *Core) askAgain(now time.Duration, r *record) []Effect {
	r.tries++
	r.asking = true
	return []Effect{{Key: r.key, Ask: c.toAsk(now, r), Again: true}}
}

// giveUp forgets the key and sends all waiters the reply.
func (c *Core) giveUp(r *record, with Reply) []Effect {
	delete(c.records, r.key)
	var effects []Effect
	for _, u := range r.waiters {
		effects = append(effects, reply(u, with)...)
	}
	r.waiters = nil
	return effects
}

// best returns the record that says most: an end before a use in flight.
func best(records []Record) *Record {
	var found *Record
	for i := range records {
		if found == nil || rank(records[i].State) > rank(found.State) {
			found = &records[i]
		}
	}
	return found
}

func rank(s State) int {
	switch s {
	case Answered:
		return 4
	case RanOnly:
		return 3
	case Unsure:
		return 2
	default:
		return 1
	}
}

// adopt takes a record of another instance over and answers the waiters.
func (c *Core) adopt(now time.Duration, r *record, from Record) []Effect {
	r.hash = from.Hash
	r.state = from.State
	r.executor = from.Executor
	r.started = 1
	c.keepAnswer(r, from.Answer)
	remaining := from.Remaining
	if r.state == InFlight {
		remaining += limitGuard
	}
	c.setEnd(r, now+remaining)
	if r.state == InFlight {
		return c.refuseOthers(r)
	}
	return c.replyAll(r)
}

// refuseOthers refuses the waiters whose content differs; the others wait on.
func (c *Core) refuseOthers(r *record) []Effect {
	var effects []Effect
	kept := r.waiters[:0:0]
	for _, u := range r.waiters {
		if u.Hash == r.hash {
			kept = append(kept, u)
			continue
		}
		effects = append(effects, reply(u, Reply{Kind: Refuse, Code: code.DuplicateKey})...)
	}
	r.waiters = kept
	return effects
}

// nextWaiter lets the first waiter proceed, or forgets the key.
func (c *Core) nextWaiter(now time.Duration, r *record) []Effect {
	if len(r.waiters) == 0 {
		delete(c.records, r.key)
		return nil
	}
	u := r.waiters[0]
	r.waiters = r.waiters[1:]
	effects := c.proceed(now, r, u)
	return append(effects, c.refuseOthers(r)...)
}

// Ask answers another instance that is, or is becoming, the key's home. From
// then on this instance uses it as the key's home.
func (c *Core) Ask(now time.Duration, wall time.Time, key Key, asker Member) (found *Record, movedTo spec.InstanceID, authoritative bool, effects []Effect) {
	home := asker.Instance
	r := c.records[key]
	if r != nil && r.movedTo != "" && r.movedTo != home {
		return nil, r.movedTo, false, nil
	}
	if r != nil && r.asking {
		if c.settings.Self.Instance < home {
			return nil, c.settings.Self.Instance, false, nil
		}
		r.asking = false
		effects = c.giveUp(r, Reply{Kind: Moved, Home: home})
		r = nil
	}
	if !c.faults.ignoreLocal {
		found = c.local.ask(now, key, home, c.settings.TakeoverWindow)
	}
	if r != nil {
		r.movedTo = home
		r.movedAt = now
		found = best(append(compact(found), c.export(now, r)))
	}
	return found, "", c.wouldKnow(now, wall, key, asker), effects
}

func compact(r *Record) []Record {
	if r == nil {
		return nil
	}
	return []Record{*r}
}

// knowsOther reports whether another incarnation of the asker is still a member
// in this instance's view: its loss has not been noticed here yet.
func (c *Core) knowsOther(asker Member) bool {
	for _, m := range c.members {
		if m.Instance == asker.Instance && m.Incarnation != asker.Incarnation {
			return true
		}
	}
	return false
}

// wouldKnow reports whether this instance was the key's home before asker and
// is certain about earlier uses.
func (c *Core) wouldKnow(now time.Duration, wall time.Time, key Key, asker Member) bool {
	if c.knowsOther(asker) {
		return false
	}
	if homeOf(key, c.withSelf(), asker.Instance) != c.settings.Self.Instance {
		return false
	}
	moved, ok := c.takeover(key)
	if !ok {
		return true
	}
	made, ordered := timeOf(key.Key)
	if ordered {
		return !made.Before(moved.wall.Add(c.settings.ClockGuard))
	}
	return now-moved.at >= c.settings.TakeoverWindow
}

func without(members []Member, id spec.InstanceID) []Member {
	out := make([]Member, 0, len(members))
	for _, m := range members {
		if m.Instance != id {
			out = append(out, m)
		}
	}
	return out
}
