package planner

import (
	"cmp"
	"slices"

	"redwingvale/internal/jobs"
)

// adviceState holds the placement adviser's responses for a step. Its response
// for one incarnation of a worker does not change, but a ticket expires.
type adviceState struct {
	tickets map[WorkerID]ticket
	// denied are the workers that may not run the step.
	denied map[WorkerID]denial
	// requested are the workers of the outstanding request.
	requested   []adviceQuery
	requestedMS int64
	// queued is set while the step waits for its turn to ask.
	queued bool
	// requests counts the requests, turnRequests those of the present turn, failures
	// those in a row without a response.
	requests, turnRequests, failures int
}

// adviceQuery is an incarnation of a worker about which advice is requested.
type adviceQuery struct {
	worker    WorkerID
	startedMS int64
}

// denial is the adviser's response that an incarnation of a worker may not run
// the step.
type denial struct {
	startedMS int64
	untilMS   int64
}

// ticket is the permission to start the step's tasks on one incarnation of a worker.
type ticket struct {
	value     string
	startedMS int64
	untilMS   int64
}

const (
	// maxAdviceBatch is the number of workers that one request may name.
	maxAdviceBatch = 100
	// adviceAnswerMS is how long a response may take for the number of workers that
	// it covers, unless the decision itself takes longer; steps that wait for their
	// turn share it. A short response lets the first tasks start, and other steps ask,
	// while the rest is asked about.
	adviceAnswerMS = 400
	// The first request names a worker for each waiting task, minFirstAdvice at least;
	// each further request may name twice as many.
	minFirstAdvice = 8
	// adviceTimeoutFactor and adviceTimeoutMS allow for a slow adviser and for an
	// abandoned request that it still handles.
	adviceTimeoutFactor = 2
	adviceTimeoutMS     = 1000
	// maxAdviceTimeoutMS bounds the time that a single request keeps all others
	// waiting.
	maxAdviceTimeoutMS = 10 * 60 * 1000
	// maxAdviceFailures bounds how far a request shrinks, and its timeout grows,
	// after requests without a response.
	maxAdviceFailures = 7
	// adviceRetryMS is the pause between two requests for a step.
	adviceRetryMS = 300
	// adviceRecheckMS is how long a denial is kept, in case the adviser's policy
	// has changed.
	adviceRecheckMS = 10_000
	// maxValidityMS bounds the validity of a ticket against overflow.
	maxValidityMS = 24 * 60 * 60 * 1000
	// adviceMarginMS is the time reserved for a start to arrive before its
	// ticket expires; half of the validity at most.
	adviceMarginMS = 100
)

// adviceQueue holds the steps that wait to ask the adviser, which handles one
// request of an instance at a time. Several at once would wait there while their
// timeouts run.
type adviceQueue struct {
	waiting []*step
	// asking is the step with the outstanding request, or nil.
	asking   *step
	askingMS int64
	// turns counts the turns.
	turns int
	// allowed holds the share of the workers that the adviser allows, by queue.
	allowed map[string]*estimate
}

// allows reports whether a start on the worker may carry a ticket.
func (a *adviceState) allows(w *worker, nowMS int64) bool {
	t := a.tickets[w.info.ID]
	return t.value != "" && t.startedMS == w.startedMS && nowMS < t.untilMS
}

// denies reports whether the adviser has denied the worker's current
// incarnation.
func (a *adviceState) denies(w *worker, nowMS int64) bool {
	d, ok := a.denied[w.info.ID]
	return ok && d.startedMS == w.startedMS && nowMS < d.untilMS
}

// record stores the adviser's response to the outstanding request.
func (a *adviceState) record(e AdviceDone, validityMS, nowMS int64) {
	if a.tickets == nil {
		a.tickets = map[WorkerID]ticket{}
	}
	if a.denied == nil {
		a.denied = map[WorkerID]denial{}
	}
	untilMS := cmp.Or(e.ReceivedMS, nowMS) + validityMS - min(adviceMarginMS, validityMS/2)
	for _, q := range a.requested {
		if value := e.Tickets[q.worker]; value != "" {
			a.tickets[q.worker] = ticket{value, q.startedMS, untilMS}
			delete(a.denied, q.worker)
		} else {
			a.denied[q.worker] = denial{q.startedMS, nowMS + adviceRecheckMS}
		}
	}
}

// ensureAdvice reports whether some worker with room may run the step's tasks;
// if not, it requests advice about further workers.
func (c *Core) ensureAdvice(s *step) bool {
	for id := range s.advice.tickets {
		if w := c.workers[id]; w != nil && s.advice.allows(w, c.now.MS) && c.usable(w) && s.resources().fits(w.free()) {
			return true
		}
	}
	c.requestAdvice(s)
	return false
}

// requestAdvice lets a step wait for its turn to ask about the next workers that
// might run its tasks.
func (c *Core) requestAdvice(s *step) {
	a := &s.advice
	if a.queued || a.requested != nil || a.requests > 0 && c.now.MS-a.requestedMS < adviceRetryMS {
		return
	}
	a.queued = true
	c.advice.waiting = append(c.advice.waiting, s)
	c.askAdviser()
}

// needsAdvice reports whether some of the step's tasks wait and need a ticket.
func (s *step) needsAdvice() bool {
	return !s.job.state.Final() && len(s.pending) > 0 && s.job.queue.Advised
}

// askAdviser sends the next request unless one is outstanding.
func (c *Core) askAdviser() {
	q := &c.advice
	for q.asking == nil && len(q.waiting) > 0 && !c.commandsWithheld() {
		s := q.next()
		s.advice.queued, s.advice.turnRequests = false, 0
		if !s.needsAdvice() {
			continue
		}
		if s.spec.Gang {
			c.askForGang(s)
			continue
		}
		if candidates := c.adviceCandidates(s); len(candidates) > 0 {
			c.sendAdvise(s, candidates[:min(len(candidates), s.adviceBatch(len(q.waiting)))])
		}
	}
}

// next removes and returns the step whose turn it is: in odd turns the one of the
// highest priority, and of these the one that asked longest ago; in even ones the one
// that has waited longest, so that none waits without end.
func (q *adviceQueue) next() *step {
	q.turns++
	best := 0
	if q.turns%2 == 1 {
		for i, s := range q.waiting {
			other := q.waiting[best]
			if cmp.Or(cmp.Compare(s.job.queue.Priority, other.job.queue.Priority), cmp.Compare(s.advice.requestedMS, other.advice.requestedMS)) < 0 {
				best = i
			}
		}
	}
	s := q.waiting[best]
	q.waiting = slices.Delete(q.waiting, best, best+1)
	return s
}

// adviceBatch returns the number of workers that the step's next request names while
// some other steps wait for their turn.
func (s *step) adviceBatch(waiting int) int {
	a, rule := &s.advice, s.job.queue.Advice
	batch := int64(maxAdviceBatch)
	if rule.WorkerMS > 0 {
		batch = min(batch, max(rule.DecisionMS, adviceAnswerMS/int64(1+waiting))/rule.WorkerMS)
	}
	first := max(int64(len(s.pending)), minFirstAdvice)
	batch = min(batch, first<<min(a.requests, maxAdviceFailures))
	return int(max(batch>>a.failures, 1))
}

// adviceTimeout returns how long to wait for a response about some workers.
func (s *step) adviceTimeout(workers int) int64 {
	rule := s.job.queue.Advice
	stated := adviceTimeoutFactor*(rule.DecisionMS+int64(workers)*rule.WorkerMS) + adviceTimeoutMS
	return min(stated<<s.advice.failures, maxAdviceTimeoutMS)
}

func (c *Core) sendAdvise(s *step, candidates []*worker) {
	a := &s.advice
	workers := make([]WorkerID, 0, len(candidates))
	for _, w := range candidates {
		a.requested = append(a.requested, adviceQuery{w.info.ID, w.startedMS})
		workers = append(workers, w.info.ID)
	}
	a.requestedMS = c.now.MS
	a.requests++
	a.turnRequests++
	c.advice.asking, c.advice.askingMS = s, c.now.MS
	c.emit(Advise{Step: s.id(), Workers: workers, TimeoutMS: s.adviceTimeout(len(workers))})
}

// releaseAdviser lets other steps ask if the outstanding request takes longer than
// its queue's present configuration allows. Its response is still used. It also sends
// a request that was withheld.
func (c *Core) releaseAdviser() {
	if s := c.advice.asking; s != nil && c.now.MS-c.advice.askingMS > s.adviceTimeout(len(s.advice.requested)) {
		c.advice.asking = nil
	}
	c.askAdviser()
}

// compareAdviceCandidates is the order in which a step asks about workers: first those
// that the adviser has not denied before, since a denial seldom changes, then those near
// the step's data, and of these those with the most free processors. Workers that were
// denied come in the order of their denials.
func (s *step) compareAdviceCandidates(a, b *worker) int {
	denied := func(w *worker) int64 {
		if d := s.advice.denied[w.info.ID]; d.startedMS == w.startedMS {
			return d.untilMS
		}
		return 0
	}
	far := func(w *worker) int {
		if s.spec.Rack != "" && slices.Contains(w.info.Labels, s.spec.Rack) {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(denied(a), denied(b)), cmp.Compare(far(a), far(b)), cmp.Compare(b.free().CPUMilli, a.free().CPUMilli))
}

// adviceCandidates returns the workers that have room now and whose permission
// is not known.
func (c *Core) adviceCandidates(s *step) []*worker {
	var out []*worker
	for _, w := range c.sortedWorkers {
		if s.resources().fits(w.free()) && !s.advice.allows(w, c.now.MS) && c.obstacle(s, w) == noObstacle {
			out = append(out, w)
		}
	}
	slices.SortStableFunc(out, s.compareAdviceCandidates)
	return out
}

func (c *Core) adviceDone(e AdviceDone) {
	s := c.stepOf(e.Step)
	if asking := c.advice.asking; asking != nil && (asking == s || asking.id() == e.Step) {
		c.advice.asking = nil
	}
	if s != nil && s.advice.requested != nil {
		c.handleAdvice(s, e)
		if s.spec.Gang && e.Outcome == Done && c.advice.asking == nil && s.advice.turnRequests < maxGangRequests {
			c.askForGang(s)
		}
	}
	c.askAdviser()
}

func (c *Core) handleAdvice(s *step, e AdviceDone) {
	a := &s.advice
	d := Decision{Event: "advice_received", Job: e.Step.Job, Task: jobs.Task{Job: e.Step.Job, Occurrence: e.Step.Occurrence, Step: e.Step.Step}.StepName(),
		Reason: e.Outcome.String(), AgeMS: c.now.MS - a.requestedMS, Details: []Detail{
			{Name: "workers", Number: int64(len(a.requested))}, {Name: "allowed", Number: int64(len(e.Tickets))}, {Name: "queued", Number: int64(len(c.advice.waiting))},
		}}
	if e.Outcome != Done {
		a.failures = min(a.failures+1, maxAdviceFailures)
		a.requested = nil
		d.Event = "advice_failed"
		c.emit(d)
		c.placementDue = true
		return
	}
	c.emit(d)
	a.failures = 0
	c.noteAllowed(s, e)
	validityMS := cmp.Or(e.ValidityMS, s.job.queue.Advice.ValidityMS, maxValidityMS)
	a.record(e, min(validityMS, maxValidityMS), c.now.MS)
	a.requested = nil
	s.noFitPass = 0
	c.placementDue = true
}
