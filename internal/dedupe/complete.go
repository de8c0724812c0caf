package dedupe

import (
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/invariant"
	"redwingvale/internal/spec"
)

// Completion reports how a request ended at its executor.
type Completion struct {
	Key      Key
	Hash     uint64
	Executor Executor
	Outcome  code.Outcome
	// Answer is nil when it is too large to keep.
	Answer *Answer
}

// Complete records how a request ended. home is set when another instance
// must be informed as well.
func (c *Core) Complete(now time.Duration, done Completion) (home spec.InstanceID, effects []Effect) {
	if c.handedOver {
		return homeOf(done.Key, c.members, c.settings.Self.Instance), nil
	}
	r := c.records[done.Key]
	if r == nil {
		if done.Outcome == code.NotRun {
			return "", nil
		}
		r = &record{key: done.Key, hash: done.Hash, executor: done.Executor, startedRequests: 1}
		c.records[done.Key] = r
	}
	if r.querying || r.executor != done.Executor || (r.state != InFlight && r.state != OutcomeUnknown && r.state != 0) {
		return r.movedTo, nil
	}
	return r.movedTo, c.complete(now, r, done)
}

func (c *Core) complete(now time.Duration, r *record, done Completion) []Effect {
	if done.Outcome == code.NotRun {
		invariant.Check(r.startedRequests == 1, invariant.AtMostOnce, "key %q ended as not run with %d requests started", r.key.Key, r.startedRequests)
		r.startedRequests = 0
		r.state = 0
		if r.movedTo != "" && !c.hasLeft(r.movedTo, r.movedAt) {
			// The new home decides on the next request.
			return c.removeRecord(r, Reply{Kind: Moved, Home: r.movedTo})
		}
		return c.startNextWaiter(now, r)
	}
	r.state = OutcomeUnknown
	r.unknownReason = ": its outcome is unknown"
	if done.Outcome == code.Ran {
		r.state = RanWithoutAnswer
		c.keepAnswer(r, done.Answer)
	}
	c.setExpiry(r, now+c.settings.Retention)
	return c.replyAll(r)
}

// keepAnswer keeps the answer when it is small enough, dropping the oldest
// answers to stay within the memory bound. The outcome is always kept.
func (c *Core) keepAnswer(r *record, a *Answer) {
	if a == nil || a.size() > c.settings.MaxAnswer {
		return
	}
	r.answer = a
	r.state = Answered
	c.answerBytes += a.size()
	c.answeredKeys = append(c.answeredKeys, r.key)
	for c.answerBytes > c.settings.MaxBytes && len(c.answeredKeys) > 0 {
		c.dropAnswer(c.records[c.answeredKeys[0]])
		c.answeredKeys = c.answeredKeys[1:]
	}
}

func (c *Core) dropAnswer(r *record) {
	if r == nil || r.answer == nil {
		return
	}
	c.answerBytes -= r.answer.size()
	r.answer = nil
	r.state = RanWithoutAnswer
}

// Tick sets requests in flight to OutcomeUnknown once their executor must
// have ended them, and removes expired records.
func (c *Core) Tick(now time.Duration) []Effect {
	var effects []Effect
	for key, due := c.timers.popDue(now); due; key, due = c.timers.popDue(now) {
		r := c.records[key]
		if r == nil || now < r.expiresAt || r.querying {
			continue
		}
		if r.state != InFlight {
			c.expire(r)
			continue
		}
		r.state = OutcomeUnknown
		r.unknownReason = ": its end was not reported in time"
		c.setExpiry(r, now+c.settings.Retention)
		effects = append(effects, c.replyAll(r)...)
	}
	c.executions.removeExpired(now)
	return effects
}

func (c *Core) expire(r *record) {
	if r.answer != nil {
		c.answerBytes -= r.answer.size()
		r.answer = nil
	}
	delete(c.records, r.key)
}

func (c *Core) setExpiry(r *record, at time.Duration) {
	r.expiresAt = at
	c.timers.add(at, r.key)
}
