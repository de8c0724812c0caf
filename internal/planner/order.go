package planner

import (
	"cmp"
	"math"
	"slices"
)

// Lateness classes of a step, in the order in which they are served.
const (
	// onTime: the job can still meet its objective.
	onTime = iota
	// late: the job will miss its objective, but its result still has value to
	// the caller.
	late
	// overdue: the job only has to finish at some time.
	overdue
)

// lateFactor is the multiple of its objective up to which a job's result still
// has value.
const lateFactor = 3

const (
	// lateValue and overdueValue are the values of a late and of an overdue job
	// in the order of waiting steps; that of a job in time is 1.
	lateValue    = 0.25
	overdueValue = 0.02
	// minFractionLeft bounds the values of jobs that are nearly complete.
	minFractionLeft = 0.02
	// Values are compared in rankSteps-ths.
	rankSteps = 8
	// agingAfterMS is how long a step waits without a start of its job before its
	// value grows. The value doubles after half of the time that is then left until
	// starvationMS, at which the step comes first.
	agingAfterMS = 10_000
	// agingIntervalMS is the interval at which growing values are computed again.
	agingIntervalMS = 100
)

// stepRank is a step's place among the waiting steps of its priority.
type stepRank struct {
	// value is the value for the remaining work, in rankSteps-ths.
	value int64
	// tieMS orders steps of the same value.
	tieMS int64
	// aged is set if the value has grown with the time that the step has waited.
	aged bool
	// untilMS is when time alone next changes the rank; version is the version of the
	// job's progress on which it is based.
	untilMS, version int64
}

// orderKey is what a waiting step is ordered by. The keys lie side by side, because a
// pass over a long backlog would otherwise spend most of the sorting on fetching them.
type orderKey struct {
	priority     int
	value, tieMS int64
	step         *step
}

// orderWaiting sorts the waiting steps by priority and urgency.
func (c *Core) orderWaiting() {
	if c.config.Overload {
		c.orderByValue()
		return
	}
	compare := c.compareUrgency
	if c.compareSteps != nil {
		compare = c.compareSteps
	}
	slices.SortStableFunc(c.ready, func(a, b *step) int {
		if d := cmp.Compare(a.job.queue.Priority, b.job.queue.Priority); d != 0 {
			return d
		}
		return compare(a, b)
	})
}

// orderByValue sorts the waiting steps by priority and by the value that can still be
// earned for the work that is left. Equal ones are ordered by deadline, but late ones
// by remaining work, shortest first, and before the others: in order of their
// deadlines each would be served when its value is nearly lost.
func (c *Core) orderByValue() {
	keys := c.orderBuffer[:0]
	for _, s := range c.ready {
		if s.rank.version != s.job.progressVersion || c.now.MS >= s.rank.untilMS {
			s.rank = c.rankOf(s)
		}
		keys = append(keys, orderKey{s.job.queue.Priority, s.rank.value, s.rank.tieMS, s})
	}
	slices.SortStableFunc(keys, func(a, b orderKey) int {
		switch {
		case a.priority != b.priority:
			return cmp.Compare(a.priority, b.priority)
		case a.value != b.value:
			return cmp.Compare(b.value, a.value)
		}
		return cmp.Compare(a.tieMS, b.tieMS)
	})
	for i := range keys {
		c.ready[i] = keys[i].step
	}
	clear(keys)
	c.orderBuffer = keys
}

// rankOf returns a step's rank now. The occurrences of a schedule and long-running
// steps keep the place of a job in time of which nothing is done.
func (c *Core) rankOf(s *step) stepRank {
	rank := stepRank{tieMS: s.deadlineMS, untilMS: math.MaxInt64, version: s.job.progressVersion}
	value := 1.0
	if !s.spec.LongRunning && s.job.spec.Repeat == 0 {
		objective := s.deadlineMS - s.job.arrivedMS
		switch c.lateness(s) {
		case onTime:
			rank.untilMS = s.deadlineMS - s.remainingMS + 1
		case late:
			value, rank.tieMS = lateValue, s.remainingMS
			rank.untilMS = s.job.arrivedMS + lateFactor*objective - s.remainingMS + 1
		case overdue:
			value = overdueValue
		}
		value /= max(s.occurrence.fractionLeft(), minFractionLeft)
	}
	since := s.waitsSince()
	switch waited := c.now.MS - since; {
	case waited >= starvationMS:
		rank.value, rank.tieMS, rank.aged = math.MaxInt64, s.deadlineMS, true
	case waited > agingAfterMS:
		value *= (starvationMS - agingAfterMS) / float64(starvationMS-waited)
		rank.value, rank.aged = int64(rankSteps*value), true
		rank.untilMS = min(rank.untilMS, c.now.MS+agingIntervalMS, since+starvationMS)
	default:
		rank.value = int64(rankSteps * value)
		rank.untilMS = min(rank.untilMS, since+agingAfterMS+1)
	}
	return rank
}

// waitsSince returns since when a step waits without a start of its job. The time of
// a job that never started counts from its arrival, also across leaders.
func (s *step) waitsSince() int64 {
	switch j := s.job; {
	case j.lastStartMS > 0:
		return max(j.lastStartMS, s.pendingSinceMS)
	case j.started || j.spec.Repeat > 0:
		return s.pendingSinceMS
	default:
		return j.arrivedMS
	}
}

// fractionLeft returns the fraction of an occurrence's estimated work that is neither
// done nor running.
func (o *occurrence) fractionLeft() float64 {
	total, left := 0.0, 0.0
	for _, s := range o.steps {
		work := float64(max(s.spec.EstimateMS, 1)) * float64(max(s.spec.CPUMilli, 1))
		total += work * float64(len(s.tasks))
		left += work * float64(max(len(s.tasks)-s.done-s.activeRuns, 0))
	}
	return left / max(total, 1)
}

// lateness returns the class that the job can still reach if the step starts
// now.
func (c *Core) lateness(s *step) int {
	end := c.now.MS + s.remainingMS
	objective := s.deadlineMS - s.job.arrivedMS
	switch {
	case s.spec.LongRunning || s.job.spec.Repeat > 0 || end <= s.deadlineMS:
		return onTime
	case end <= s.job.arrivedMS+lateFactor*objective:
		return late
	}
	return overdue
}

// compareUrgency orders the steps of one priority while the overload control is
// off. Steps that can meet the objective go first, by deadline: under overload,
// steps that are already late would otherwise make all others late. Late steps are
// ordered by remaining work, shortest first.
func (c *Core) compareUrgency(a, b *step) int {
	classA, classB := c.lateness(a), c.lateness(b)
	switch {
	case classA != classB:
		return cmp.Compare(classA, classB)
	case classA == late:
		return cmp.Compare(a.remainingMS, b.remainingMS)
	}
	return cmp.Compare(a.deadlineMS, b.deadlineMS)
}
