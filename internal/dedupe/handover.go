package dedupe

import (
	"sort"
	"time"

	"redwingvale/internal/spec"
)

// export returns the record as other instances receive it.
func (c *Core) export(now time.Duration, r *record) Record {
	return Record{
		Key:       r.key,
		Hash:      r.hash,
		State:     r.state,
		Executor:  r.executor,
		Answer:    r.answer,
		Remaining: max(r.ends-now, 0),
	}
}

// HandOver ends this instance's duty as a home. It returns the records by
// their next home, ordered by key; waiting uses are sent to the next home.
func (c *Core) HandOver(now time.Duration) (map[spec.InstanceID][]Record, []Effect) {
	c.stopped = true
	out := make(map[spec.InstanceID][]Record)
	for _, m := range c.others() {
		out[m.Instance] = nil
	}
	var effects []Effect
	for _, r := range c.sorted() {
		next := homeOf(r.key, c.members, c.settings.Self.Instance)
		for _, u := range r.waiters {
			effects = append(effects, reply(u, Reply{Kind: Moved, Home: next})...)
		}
		r.waiters = nil
		if next != "" && r.state != 0 {
			out[next] = append(out[next], c.export(now, r))
		}
	}
	return out, effects
}

func (c *Core) sorted() []*record {
	out := make([]*record, 0, len(c.records))
	for _, r := range c.records {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].key.String() < out[j].key.String() })
	return out
}

// TakeOver takes records of a stopping instance in. last states that from has
// given all its keys up.
func (c *Core) TakeOver(now time.Duration, wall time.Time, from Member, records []Record, last bool) []Effect {
	var effects []Effect
	for _, incoming := range records {
		r := c.records[incoming.Key]
		if r == nil {
			r = &record{key: incoming.Key}
			c.records[incoming.Key] = r
		} else if r.state != 0 && !r.asking {
			continue
		}
		r.asking = false
		effects = append(effects, c.adopt(now, r, incoming)...)
	}
	if last {
		c.handedOver[from.Instance] = from.Incarnation
		c.clean[from] = true
		c.SetMembers(now, wall, c.members)
	}
	return effects
}

// Keys returns the number of keys that are remembered as home.
func (c *Core) Keys() int { return len(c.records) }
