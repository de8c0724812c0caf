package config

import "time"

// snapshotShare is the part of the retention after which a snapshot is
// repeated: a quarter, so that three attempts fit before it expires.
const snapshotShare = 4

// renewal decides when this instance repeats the snapshot.
type renewal struct {
	rank int
	// tailSent is when the newest read that reached the tail was sent.
	tailSent  time.Duration
	tailKnown bool
	// newest is a time at which the newest snapshot did not exist yet, so the
	// snapshot is at most now - newest old.
	newest      time.Duration
	newestKnown bool
	published   time.Duration
	publishing  bool
}

func newRenewal() renewal { return renewal{rank: -1} }

// tail notes a read that reached the tail.
func (r *renewal) tail(sent time.Duration) {
	r.tailSent = sent
	r.tailKnown = true
}

// seen notes a whole snapshot. It was written after the last read that
// reached the tail was sent; before the first such read its age is unknown.
func (r *renewal) seen() {
	r.newest = r.tailSent
	r.newestKnown = r.tailKnown
	r.publishing = false
}

func (r *renewal) age(now time.Duration) (time.Duration, bool) {
	return now - r.newest, r.newestKnown
}

// due reports whether this instance should write a snapshot. An unknown age
// counts as due, because instances that restart often would otherwise never
// find a snapshot old enough.
func (r *renewal) due(now time.Duration, o Options) bool {
	fresh := r.tailKnown && now-r.tailSent <= o.RetryAfter
	if r.rank < 0 || !fresh {
		return false
	}
	if r.publishing && now-r.published < o.RetryAfter {
		return false
	}
	delay := time.Duration(r.rank) * o.RankDelay
	if !r.newestKnown {
		return now >= delay
	}
	return now-r.newest >= o.Retention/snapshotShare+delay
}

// republish writes a snapshot when it is due.
func (c *Core) republish(now time.Duration) {
	if !c.whole || c.state.Len() == 0 || !c.renewal.due(now, c.options) {
		return
	}
	c.renewal.published = now
	c.renewal.publishing = true
	c.emit(Publish{Records: c.state.Snapshot(c.inForce, c.options.PartBytes)})
}
