package planner

import (
	"cmp"
	"slices"
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

// ticket is the permission to start the step's tasks on one worker.
type ticket struct {
	value   string
	untilMS int64
}

const (
	// adviceBatch is the maximum number of workers in one request; the
	// adviser's response time grows with each.
	adviceBatch = 30
	// adviceRetryMS is the pause between two requests: no response means that
	// the adviser was busy.
	adviceRetryMS = 300
	// adviceRecheckMS is how long a denial is kept, in case the adviser's policy
	// has changed.
	adviceRecheckMS = 10_000
	// maxValidityMS bounds the validity of a ticket against overflow.
	maxValidityMS = 24 * 60 * 60 * 1000
	// adviceMarginMS is the time reserved for a start to arrive before its
	// ticket expires.
	adviceMarginMS = 100
)

func (a *adviceState) allows(id WorkerID, nowMS int64) bool {
	t := a.tickets[id]
	return t.value != "" && nowMS < t.untilMS
}

// denies reports whether the adviser has denied the worker's current
// incarnation.
func (a *adviceState) denies(w *worker, nowMS int64) bool {
	d, ok := a.denied[w.info.ID]
	return ok && d.startedMS == w.startedMS && nowMS < d.untilMS
}

// record stores the adviser's response to the outstanding request.
func (a *adviceState) record(e AdviceDone, nowMS int64) {
	if a.tickets == nil {
		a.tickets = map[WorkerID]ticket{}
	}
	if a.denied == nil {
		a.denied = map[WorkerID]denial{}
	}
	untilMS := nowMS + min(e.ValidityMS, maxValidityMS) - adviceMarginMS
	for _, q := range a.requested {
		if value := e.Tickets[q.worker]; value != "" {
			a.tickets[q.worker] = ticket{value, untilMS}
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
		if w := c.workers[id]; w != nil && s.advice.allows(id, c.now.MS) && c.usable(w) && s.resources().fits(w.info.Capacity.minus(w.used)) {
			return true
		}
	}
	c.requestAdvice(s)
	return false
}

// requestAdvice requests advice about the next workers that might run the
// step's tasks.
func (c *Core) requestAdvice(s *step) {
	a := &s.advice
	if a.requested != nil || c.now.MS-a.requestedMS < adviceRetryMS {
		return
	}
	candidates := c.adviceCandidates(s)
	if len(candidates) == 0 {
		return
	}
	a.requestedMS = c.now.MS
	for _, w := range candidates[:min(len(candidates), adviceBatch)] {
		a.requested = append(a.requested, adviceQuery{w.info.ID, w.startedMS})
	}
	workers := make([]WorkerID, 0, len(a.requested))
	for _, q := range a.requested {
		workers = append(workers, q.worker)
	}
	c.emit(Advise{Step: s.id(), Workers: workers})
}

// adviceCandidates returns the workers that have room now and whose permission
// is not known: first those near the step's data, then those with the most free
// processors.
func (c *Core) adviceCandidates(s *step) []*worker {
	var out []*worker
	for _, w := range c.sortedWorkers {
		if w.info.Service != s.job.queue.Service || !c.usable(w) ||
			s.advice.denies(w, c.now.MS) || s.advice.allows(w.info.ID, c.now.MS) ||
			s.spec.Label != "" && !slices.Contains(w.info.Labels, s.spec.Label) ||
			!s.resources().fits(w.info.Capacity.minus(w.used)) {
			continue
		}
		out = append(out, w)
	}
	near := func(w *worker) int {
		if s.spec.Rack != "" && slices.Contains(w.info.Labels, s.spec.Rack) {
			return 0
		}
		return 1
	}
	free := func(w *worker) int { return w.info.Capacity.CPUMilli - w.used.CPUMilli }
	slices.SortStableFunc(out, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(near(a), near(b)), cmp.Compare(free(b), free(a)))
	})
	return out
}

func (c *Core) adviceDone(e AdviceDone) {
	s := c.stepOf(e.Step)
	if s == nil {
		return
	}
	if e.Outcome != Done {
		s.advice.requested = nil
		return
	}
	s.advice.record(e, c.now.MS)
	s.advice.requested = nil
	s.noFitPass = 0
	c.placementDue = true
}
