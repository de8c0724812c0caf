package dedupe

import (
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

// HandOver ends the role of this instance as a home. It returns the records
// by their next home, ordered by key; waiting requests are redirected to the
// next home.
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
func (c *Core) AcceptHandOver(now time.Duration, wall time.Time, from Member, records []Record, complete bool) []Effect {
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
		c.handedOverIncarnations[from.Instance] = from.Incarnation
		c.handedOverMembers[from] = true
		c.SetMembers(now, wall, c.members)
	}
	return effects
}

// Keys returns the number of keys that have a record at this instance as
// home.
func (c *Core) Keys() int { return len(c.records) }
