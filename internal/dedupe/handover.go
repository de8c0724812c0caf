package dedupe

import (
	"slices"
	"sort"
	"time"

	"redwingvale/internal/spec"
)

// export returns the record in the form that instances exchange.
func (c *Core) export(now time.Duration, r *record) Record {
	return Record{
		Key:       r.key,
		Hash:      r.hash,
		State:     r.state,
		Executor:  r.executor,
		Answer:    r.answer,
		Remaining: max(r.expiresAt-now, 0),
	}
}

// handOver states that from has handed over all its keys to the recipients.
type handOver struct {
	from       Member
	recipients []Member
}

// HandOver ends the role of this instance as a home. It returns the records
// by their next home, ordered by key; waiting requests are redirected to the
// next home. The recipients are the other members.
func (c *Core) HandOver(now time.Duration) (map[spec.InstanceID][]Record, []Effect) {
	c.handedOver = true
	out := make(map[spec.InstanceID][]Record)
	for _, m := range c.otherMembers() {
		out[m.Instance] = nil
	}
	var effects []Effect
	for _, r := range c.sortedRecords() {
		next := homeOf(r.key, c.members, c.settings.Self.Instance)
		for _, req := range r.waiters {
			effects = append(effects, reply(req, Reply{Kind: Moved, Home: next})...)
		}
		r.waiters = nil
		if next != "" && r.state != 0 {
			out[next] = append(out[next], c.export(now, r))
		}
	}
	return out, effects
}

// selfMember returns this instance as the members list it. The incarnation
// there is that of the instance's rwsched; the others compare it with their
// own lists of members.
func (c *Core) selfMember() Member {
	for _, m := range c.members {
		if m.Instance == c.settings.Self.Instance {
			return m
		}
	}
	return c.settings.Self
}

func (c *Core) sortedRecords() []*record {
	out := make([]*record, 0, len(c.records))
	for _, r := range c.records {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].key.String() < out[j].key.String() })
	return out
}

// AcceptHandOver adopts the records of a stopping instance. complete is set
// when from has handed over all its keys.
//
// If this instance does not list one of the recipients yet, it goes on listing
// from: the records of some keys are at a home that it does not know, so it must
// not decide on these keys as their home. Requests reach that home through from,
// which redirects them.
func (c *Core) AcceptHandOver(now time.Duration, wall time.Time, from Member, records []Record, complete bool, recipients []Member) []Effect {
	var effects []Effect
	for _, incoming := range records {
		r := c.records[incoming.Key]
		if r == nil {
			r = &record{key: incoming.Key}
			c.records[incoming.Key] = r
		} else if r.state != 0 && !r.querying {
			continue
		}
		r.querying = false
		effects = append(effects, c.adopt(now, r, incoming)...)
	}
	if complete {
		c.unresolvedHandOvers = append(c.unresolvedHandOvers, handOver{from, recipients})
		c.SetMembers(now, wall, c.members)
	}
	return effects
}

// resolveHandOvers completes the hand-overs whose recipients have all been listed,
// now or earlier.
func (c *Core) resolveHandOvers(members []Member) {
	c.unresolvedHandOvers = slices.DeleteFunc(c.unresolvedHandOvers, func(h handOver) bool {
		for _, m := range h.recipients {
			if !c.mutations.ignoreRecipients && m != c.settings.Self && !slices.Contains(members, m) && !c.everListed(m) {
				return false
			}
		}
		c.handedOverIncarnations[h.from.Instance] = h.from.Incarnation
		c.handedOverMembers[h.from] = true
		return true
	})
}

// everListed reports whether the changes that are still kept contain the member.
func (c *Core) everListed(m Member) bool {
	for _, ch := range c.changes {
		if slices.Contains(ch.before, m) || slices.Contains(ch.after, m) {
			return true
		}
	}
	return false
}

// Keys returns the number of keys that have a record at this instance as
// home.
func (c *Core) Keys() int { return len(c.records) }
