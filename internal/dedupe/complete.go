package dedupe

import (
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/invariant"
	"redwingvale/internal/spec"
)

// Completion is how a use ended at its executor.
type Completion struct {
	Key      Key
	Hash     uint64
	Executor Executor
	Outcome  code.Outcome
	// Answer is nil when it is too large to keep.
	Answer *Answer
}

// Complete takes the end of a use in. home is set when another instance is to
// be told as well.
func (c *Core) Complete(now time.Duration, done Completion) (home spec.InstanceID, effects []Effect) {
	if c.stopped {
		return homeOf(done.Key, c.members, c.settings.Self.Instance), nil
	}
	r := c.records[done.Key]
	if r == nil {
		if done.Outcome == code.NotRun {
			return "", nil
		}
		r = &record{key: done.Key, hash: done.Hash, executor: done.Executor, started: 1}
		c.records[done.Key] = r
	}
	if r.asking || r.executor != done.Executor || (r.state != InFlight && r.state != Unsure && r.state != 0) {
		return r.movedTo, nil
	}
	return r.movedTo, c.complete(now, r, done)
}

func (c *Core) complete(now time.Duration, r *record, done Completion) []Effect {
	if done.Outcome == code.NotRun {
		invariant.Check(r.started == 1, invariant.AtMostOnce, "key %q ended as not run with %d uses started", r.key.Key, r.started)
		r.started = 0
		r.state = 0
		if r.movedTo != "" && !c.hasLeft(r.movedTo, r.movedAt) {
			// The next use is the new home's to decide on.
			return c.giveUp(r, Reply{Kind: Moved, Home: r.movedTo})
		}
		return c.nextWaiter(now, r)
	}
	r.state = Unsure
	r.why = ": its outcome is unknown"
	if done.Outcome == code.Ran {
		r.state = RanOnly
		c.keepAnswer(r, done.Answer)
	}
	c.setEnd(r, now+c.settings.Retention)
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
	c.bytes += a.size()
	c.answers = append(c.answers, r.key)
	for c.bytes > c.settings.MaxBytes && len(c.answers) > 0 {
		c.dropAnswer(c.records[c.answers[0]])
		c.answers = c.answers[1:]
	}
}

func (c *Core) dropAnswer(r *record) {
	if r == nil || r.answer == nil {
		return
	}
	c.bytes -= r.answer.size()
	r.answer = nil
	r.state = RanOnly
}

// Tick ends the uses whose executor must have ended them and forgets old
// records.
func (c *Core) Tick(now time.Duration) []Effect {
	var effects []Effect
	for key, due := c.timers.due(now); due; key, due = c.timers.due(now) {
		r := c.records[key]
		if r == nil || now < r.ends || r.asking {
			continue
		}
		if r.state != InFlight {
			c.forget(r)
			continue
		}
		r.state = Unsure
		r.why = ": its end was not reported in time"
		c.setEnd(r, now+c.settings.Retention)
		effects = append(effects, c.replyAll(r)...)
	}
	c.local.tick(now)
	return effects
}

func (c *Core) forget(r *record) {
	if r.answer != nil {
		c.bytes -= r.answer.size()
		r.answer = nil
	}
	delete(c.records, r.key)
}

func (c *Core) setEnd(r *record, at time.Duration) {
	r.ends = at
	c.timers.add(at, r.key)
}
