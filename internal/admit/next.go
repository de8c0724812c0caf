package admit

import (
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/invariant"
	"redwingvale/internal/spec"
)

// Expire rejects the requests that can no longer be answered in time and,
// under overload, those that have waited too long. Call it before Next and
// about every 10 ms while requests wait.
func (c *Core) Expire(now time.Duration) []Effect {
	c.overload.observe(now, c.longestWait(now), c.delayTarget(), c.settings)
	var effects []Effect
	for _, t := range append([]*team(nil), c.backlog...) {
		for _, class := range classes {
			effects = c.expireQueue(now, t.queueOf(class), effects)
		}
	}
	return effects
}

func (c *Core) expireQueue(now time.Duration, q *queue, effects []Effect) []Effect {
	for w := q.oldest(); w != nil; w = q.oldest() {
		reason := c.expired(now, w)
		if reason == code.OK {
			break
		}
		c.remove(w)
		effects = append(effects, Effect{Kind: Reject, ID: w.request.ID, Code: reason})
	}
	return effects
}

// expired returns why a waiting request is to be rejected, or code.OK.
func (c *Core) expired(now time.Duration, w *waiting) code.Code {
	if now >= w.request.Deadline {
		return code.WaitTimeExceeded
	}
	if c.settings.Plain {
		return code.OK
	}
	if now+c.service.mean() > w.request.Deadline {
		return code.CannotMeetTime
	}
	if c.overload.active && now-w.arrived > c.overloadWait() {
		return code.Overloaded
	}
	return code.OK
}

// delayTarget is the queueing delay above which the queue may be overloaded.
// Slow services queue for longer at the same load.
func (c *Core) delayTarget() time.Duration {
	return max(c.settings.DelayTarget, delayTargetServices*c.service.mean())
}

// overloadWait is the longest wait of a request under overload.
func (c *Core) overloadWait() time.Duration {
	return max(c.settings.OverloadWait, overloadWaitServices*c.service.mean())
}

// The delays in multiples of the mean time of a request.
const (
	delayTargetServices  = 2
	overloadWaitServices = 10
)

func (c *Core) longestWait(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, t := range c.backlog {
		for _, class := range classes {
			if w := t.queueOf(class).oldest(); w != nil {
				longest = max(longest, now-w.arrived)
			}
		}
	}
	return longest
}

// Next takes the request that is to use a free slot, which the caller has. The
// result holds any number of rejections and at most one Start, as the last.
func (c *Core) Next(now time.Duration) []Effect {
	var effects []Effect
	for w := c.pick(); w != nil; w = c.pick() {
		c.remove(w)
		if reason := c.expired(now, w); reason != code.OK {
			effects = append(effects, Effect{Kind: Reject, ID: w.request.ID, Code: reason})
			continue
		}
		c.start(now, w)
		return append(effects, Effect{Kind: Start, ID: w.request.ID})
	}
	return effects
}

func (c *Core) start(now time.Duration, w *waiting) {
	t := w.team
	c.virtual = max(c.virtual, t.tag)
	t.tag += 1 / t.settings.Weight
	t.running++
	c.running[w.request.ID] = t.id
	invariant.Check(now < w.request.Deadline, invariant.TrueRefusal,
		"request %d starts after its deadline", w.request.ID)
}

// pick returns the next request: the most urgent class first, teams within
// their quota before teams that borrow, then the team that is due first.
func (c *Core) pick() *waiting {
	for _, class := range classes {
		if w := c.pickIn(class); w != nil {
			return w
		}
	}
	return nil
}

func (c *Core) pickIn(class spec.Class) *waiting {
	var best *team
	for _, t := range c.backlog {
		if t.queueOf(class).oldest() == nil {
			continue
		}
		if best == nil || before(t, best) {
			best = t
		}
	}
	if best == nil {
		return nil
	}
	q := best.queueOf(class)
	if c.overload.active && !c.settings.Plain {
		return q.newest()
	}
	return q.oldest()
}

// before reports whether team a is served before team b.
func before(a, b *team) bool {
	if a.borrowing() != b.borrowing() {
		return b.borrowing()
	}
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.id < b.id
}
