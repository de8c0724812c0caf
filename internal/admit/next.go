package admit

import (
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/invariant"
	"redwingvale/internal/spec"
)

// Expire rejects the requests whose response can no longer arrive in time and,
// under overload, those that have waited too long. Call it before Next and
// about every 10 ms while requests wait.
func (c *Controller) Expire(now time.Duration) []Decision {
	c.overload.observe(now, c.longestWait(now), c.delayTarget(), c.settings)
	var decisions []Decision
	for _, t := range append([]*team(nil), c.backlogged...) {
		for _, class := range classOrder {
			decisions = c.expireQueue(now, t.queueOf(class), decisions)
		}
	}
	return decisions
}

func (c *Controller) expireQueue(now time.Duration, q *queue, decisions []Decision) []Decision {
	for w := q.oldest(); w != nil; w = q.oldest() {
		reason := c.rejectionWhileWaiting(now, w)
		if reason == code.OK {
			break
		}
		c.remove(w)
		decisions = append(decisions, Decision{Kind: Reject, ID: w.request.ID, Code: reason})
	}
	return decisions
}

// rejectionWhileWaiting returns why a waiting request is to be rejected, or
// code.OK.
func (c *Controller) rejectionWhileWaiting(now time.Duration, w *waiting) code.Code {
	if now >= w.request.Deadline {
		return code.WaitTimeExceeded
	}
	if c.settings.FIFOOnly {
		return code.OK
	}
	if now+c.serviceTime.mean() > w.request.Deadline {
		return code.CannotMeetTime
	}
	if c.overload.active && now-w.arrived > c.overloadWait() {
		return code.Overloaded
	}
	return code.OK
}

// delayTarget returns the queueing delay above which the queue may be
// overloaded. Slow services have longer queueing delays at the same load.
func (c *Controller) delayTarget() time.Duration {
	return max(c.settings.DelayTarget, delayTargetMultiple*c.serviceTime.mean())
}

// overloadWait returns the longest wait of a request under overload.
func (c *Controller) overloadWait() time.Duration {
	return max(c.settings.OverloadWait, overloadWaitMultiple*c.serviceTime.mean())
}

// The delay limits in multiples of the mean service time.
const (
	delayTargetMultiple  = 2
	overloadWaitMultiple = 10
)

func (c *Controller) longestWait(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, t := range c.backlogged {
		for _, class := range classOrder {
			if w := t.queueOf(class).oldest(); w != nil {
				longest = max(longest, now-w.arrived)
			}
		}
	}
	return longest
}

// Next dequeues the request that gets a free slot, which the caller holds. The
// result holds any number of rejections, then at most one Start.
func (c *Controller) Next(now time.Duration) []Decision {
	var decisions []Decision
	for w := c.pick(); w != nil; w = c.pick() {
		c.remove(w)
		if reason := c.rejectionWhileWaiting(now, w); reason != code.OK {
			decisions = append(decisions, Decision{Kind: Reject, ID: w.request.ID, Code: reason})
			continue
		}
		c.start(now, w)
		return append(decisions, Decision{Kind: Start, ID: w.request.ID})
	}
	return decisions
}

func (c *Controller) start(now time.Duration, w *waiting) {
	t := w.team
	c.virtualTime = max(c.virtualTime, t.startTag)
	t.startTag += 1 / t.settings.Weight
	t.running++
	c.running[w.request.ID] = t.id
	invariant.Check(now < w.request.Deadline, invariant.NotRunIsTrue,
		"request %d starts after its deadline", w.request.ID)
}

// pick returns the next request: the most urgent class first, teams within
// their quota before teams that borrow, then the team with the smallest start
// tag.
func (c *Controller) pick() *waiting {
	for _, class := range classOrder {
		if w := c.pickInClass(class); w != nil {
			return w
		}
	}
	return nil
}

func (c *Controller) pickInClass(class spec.Class) *waiting {
	var best *team
	for _, t := range c.backlogged {
		if t.queueOf(class).oldest() == nil {
			continue
		}
		if best == nil || servedBefore(t, best) {
			best = t
		}
	}
	if best == nil {
		return nil
	}
	q := best.queueOf(class)
	if c.overload.active && !c.settings.FIFOOnly {
		return q.newest()
	}
	return q.oldest()
}

// servedBefore reports whether team a is served before team b.
func servedBefore(a, b *team) bool {
	if a.borrowing() != b.borrowing() {
		return b.borrowing()
	}
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.id < b.id
}
