package overload

import "math"

// Submission is a job that is to be accepted.
type Submission struct {
	// ID identifies the job when its caller returns.
	ID     string
	Queue  string
	Policy Policy
	// Work is the estimated work of all tasks.
	Work int64
	// WidestTask and NarrowestTask are the processors that one task reserves at most
	// and at least, WidestStep those that all tasks of a step reserve at most.
	// Long-running tasks are left out. All are 0 if every task is best-effort.
	WidestTask, NarrowestTask, WidestStep int64
	// Holds are the processors that the long-running tasks reserve until the job is
	// cancelled.
	Holds int64
	// ChainMS is the longest chain of estimated durations, ObjectiveMS the job's
	// objective, AgeMS the time since the job was submitted.
	ChainMS, ObjectiveMS, AgeMS int64
}

func (s *Submission) kind() Kind {
	if s.NarrowestTask > 0 {
		return Reserved
	}
	return BestEffort
}

const (
	// lateFactor is the multiple of its objective at which a job's result loses its
	// last value.
	lateFactor = 3
	// endShare is the share of the bound below which refusing ends. Until then only
	// callers who return in their slot are admitted up to the bound.
	endShare = 0.8
	// A new leader refuses nothing for quietTermMS, and until it has seen ends of
	// runs for quietEndsMS: its model starts empty.
	quietTermMS = 3000
	quietEndsMS = 2000
	// demandQuantile is the share of the last samples that the need of a queue
	// covers; fragmentation is added to the needs, for room in pieces smaller than a
	// task.
	demandQuantile = 0.95
	fragmentation  = 1.1
	// comparableFrom is the percentile of the capacity that recent long-running jobs
	// hold by which all smaller ones are judged: otherwise small jobs would take each
	// room that becomes free before it is enough for a large one. It lies well above
	// the middle of the largest size class, which begins at largeFrom, and below the
	// maximum, so that one huge job does not keep out all others.
	comparableFrom = 0.97
	// minServedShare is the share of its queue's rate of admission below which no
	// size class is to fall. Half is required.
	minServedShare = 0.6
	// countedSubmissions is the number of recent submissions by which the rates of
	// admission are compared: beyond it the counts are halved.
	countedSubmissions = 512
	// deviations is the number of standard deviations between the expected rate and
	// its bounds.
	deviations = 2
	// minDurationShare is the smallest ratio of actual to estimated work that the
	// lower bound assumes, as a share of the mean: estimates are off by a factor of
	// up to 1.9.
	minDurationShare = 0.5
)

// Reason says why a submission is refused.
type Reason string

// Reasons of refusals.
const (
	// Worthless: the result would have lost its value.
	Worthless Reason = "the result would have lost all value"
	// Headroom: jobs with an objective need the capacity.
	Headroom Reason = "jobs with an objective need the capacity"
)

// Verdict is the decision about a submission.
type Verdict struct {
	Refuse bool
	Reason Reason
	// PredictedMS is the lower bound of the time to the job's completion, or for
	// Headroom that to its start; LimitMS is the latest time at which its result
	// has value.
	PredictedMS, LimitMS int64
	// share is the load in relation to the bound; waitMS is the time until capacity
	// for the job is expected, slotMS the time that the capacity for one such job
	// takes to become free.
	share          float64
	waitMS, slotMS float64
	gate           gateIndex
	size           Size
	// uncounted is set for a long-running job that does not even fit beside the need
	// on a service without others: no other job is compared with it.
	uncounted bool
}

type gateIndex uint8

// Gates are separate for the two rules.
const (
	predictionGate gateIndex = iota
	headroomGate
)

// gate is the state of refusing by one rule for one queue.
type gate struct {
	refusing          bool
	sinceMS, latestMS int64
	// nextSlotMS is the first slot of a return that is not taken.
	nextSlotMS int64
}

// gateIdleMS is how long after the last refusal a gate counts as refusing: the
// longest time until the caller's return, and some time for it.
const gateIdleMS = maxRetryMS + returnWindowMS

func (q *queue) expireGates(nowMS int64) {
	for i := range q.gates {
		if g := &q.gates[i]; g.refusing && nowMS-g.latestMS > gateIdleMS {
			g.refusing = false
		}
	}
}

// Check decides about a submission without counting it. Accepted or Refused follows
// once the decision is final.
func (m *Model) Check(s *Submission, nowMS int64) Verdict {
	m.Advance(nowMS)
	q := m.queues[s.Queue]
	if q == nil {
		return Verdict{}
	}
	v := Verdict{size: q.sizeOf(s.Work)}
	switch {
	case nowMS-m.startMS < quietTermMS, !m.endSeen, nowMS-m.firstEndMS < quietEndsMS:
	case q.service == nil, q.service.workers == 0:
		// The rule is about a lack of capacity, not of workers.
	case s.Holds > 0:
		m.checkHeadroom(q, s, &v)
	default:
		m.checkPrediction(q, s, &v)
	}
	return v
}

// bound is the share of the limit up to which a submission is admitted.
func (m *Model) bound(g *gate, s *Submission) float64 {
	if g.refusing && !m.refused.inSlot(s.ID, m.nowMS) {
		return endShare
	}
	return 1
}

// checkPrediction refuses a job whose result will have lost its value even by the
// lower bound of its completion.
func (m *Model) checkPrediction(q *queue, s *Submission, v *Verdict) {
	v.gate = predictionGate
	limit := float64(lateFactor * s.ObjectiveMS)
	ahead := m.ahead(q, s.kind())
	if limit <= 0 || ahead.work == 0 || ahead.highestRate <= 0 {
		return
	}
	if s.NarrowestTask > 0 && s.NarrowestTask <= q.service.maxFree {
		return
	}
	mean, deviation := q.ratios()
	duration := float64(s.ChainMS) * max(mean-deviation, mean*minDurationShare)
	lower := float64(s.AgeMS) + ahead.lowerMS() + duration
	v.PredictedMS, v.LimitMS, v.share = int64(lower), int64(limit), lower/limit
	if v.share <= m.bound(&q.gates[v.gate], s) || q.underserved(v.size) {
		return
	}
	v.Refuse, v.Reason = true, Worthless
	v.waitMS = max(lower-endShare*limit, 0)
	v.slotMS = float64(s.Work) * 1000 / ahead.highestRate
}

// checkHeadroom refuses a job with long-running tasks if these would take the
// processors that jobs with an objective of the same or a higher priority need.
func (m *Model) checkHeadroom(q *queue, s *Submission, v *Verdict) {
	v.gate = headroomGate
	need := 0.0
	for _, other := range m.sorted {
		if other.service == q.service && other.policy.Priority <= q.policy.Priority {
			need += float64(other.need)
		}
	}
	if need == 0 {
		return
	}
	need *= fragmentation
	v.uncounted = float64(s.Holds) > float64(q.service.emptyRoom)-need
	available := float64(q.service.room-max(q.service.committed-q.service.held, 0)) - float64(max(s.Holds, q.holds.quantile(comparableFrom)))
	v.LimitMS = lateFactor * s.ObjectiveMS
	v.share = math.Inf(1)
	if available > 0 {
		v.share = need / available
	}
	if v.share <= m.bound(&q.gates[v.gate], s) {
		return
	}
	v.Refuse, v.Reason = true, Headroom
	v.waitMS, v.slotMS = maxRetryMS, maxRetryMS
	if rate := q.service.releaseRate.mean; rate > 0 {
		v.waitMS = max(need/endShare-available, 0) * 1000 / rate
		v.slotMS = float64(s.Holds) * 1000 / rate
	}
	v.PredictedMS = int64(min(v.waitMS, math.MaxInt32))
}

// underserved reports whether a size class would be served too rarely if another one
// of its submissions were refused.
func (q *queue) underserved(size Size) bool {
	offered, admitted := 0, 0
	for c := range sizes {
		offered += q.offered[c]
		admitted += q.admitted[c]
	}
	own := float64(q.admitted[size]) / float64(q.offered[size]+1)
	return own < minServedShare*float64(admitted)/float64(offered+1)
}

// backlog is what is served before a new job, and how fast.
type backlog struct {
	// work is what is certainly served before it, all what may be.
	work, all int64
	// highestRate, rate and lowestRate are the work finished per second.
	highestRate, rate, lowestRate float64
}

func (b backlog) lowerMS() float64 { return float64(b.work) * 1000 / b.highestRate }

func (b backlog) expectedMS() int64 {
	if b.work == 0 || b.rate <= 0 {
		return 0
	}
	return int64(min(float64(b.work)*1000/b.rate, math.MaxInt32))
}

// ahead returns the work of a kind that the order of waiting steps serves before a
// new job of the queue: of queues of the same or a higher priority, work in time and
// late work with little left. The highest rate is never below what the running
// tasks finish at full speed: the learned rate of a quiet time says nothing about
// the capacity.
func (m *Model) ahead(q *queue, k Kind) backlog {
	var b backlog
	variance, running := 0.0, 0.0
	for _, other := range m.sorted {
		if other.service != q.service || other.policy.Priority > q.policy.Priority {
			continue
		}
		for size := range sizes {
			w := &other.waiting[size][k]
			b.work += w[inTime].work + w[lateAhead].work
			b.all += w[inTime].work + w[lateAhead].work + w[lateBehind].work
		}
		b.rate += other.rate[k].mean
		variance += other.rate[k].variance
		mean, _ := other.ratios()
		running += float64(other.running[k]) / mean
	}
	spread := deviations * math.Sqrt(variance)
	b.highestRate = max(b.rate+spread, running)
	b.lowestRate = max(b.rate-spread, b.rate/4)
	return b
}

// Prediction is the expected time from now to the completion of a submission, with
// a lower and an upper bound. It is not known before ends of runs have been seen.
type Prediction struct {
	LowerMS, ExpectedMS, UpperMS int64
	Known                        bool
}

// Predict returns the predicted completion of a submission.
func (m *Model) Predict(s *Submission, nowMS int64) Prediction {
	m.Advance(nowMS)
	q := m.queues[s.Queue]
	if q == nil || !m.endSeen {
		return Prediction{}
	}
	b := m.ahead(q, s.kind())
	mean, deviation := q.ratios()
	chain := float64(s.ChainMS)
	lower, expected, upper := chain*max(mean-deviation, mean*minDurationShare), chain*mean, chain*(mean+deviations*deviation)
	if b.all > 0 {
		if b.lowestRate <= 0 {
			return Prediction{}
		}
		lower += b.lowerMS()
		expected += float64(b.expectedMS())
		upper += float64(b.all+s.Work) * 1000 / b.lowestRate
	}
	milliseconds := func(v float64) int64 { return int64(min(v, math.MaxInt32)) }
	return Prediction{milliseconds(lower), milliseconds(expected), milliseconds(max(upper, expected)), true}
}

// Accepted counts a submission that was admitted by a verdict.
func (m *Model) Accepted(s *Submission, v *Verdict) {
	q := m.queues[s.Queue]
	if q == nil {
		return
	}
	returned := m.refused.remove(s.ID)
	if g := &q.gates[v.gate]; g.refusing && v.share <= endShare {
		g.refusing = false
	}
	if v.uncounted {
		return
	}
	q.admitted[v.size]++
	if !returned {
		q.countOffer(v.size)
	}
}

// countOffer counts the first attempt of a submission.
func (q *queue) countOffer(size Size) {
	q.offered[size]++
	total := 0
	for c := range sizes {
		total += q.offered[c]
	}
	if total < countedSubmissions {
		return
	}
	for c := range sizes {
		q.offered[c], q.admitted[c] = q.offered[c]/2, q.admitted[c]/2
	}
}
