package planner

import (
	"cmp"
	"slices"
)

// adviceState holds the placement adviser's responses for a step. Its response
// for a worker does not change, but a ticket expires.
type adviceState struct {
	tickets map[WorkerID]ticket
	// denied are the workers that may not run the step.
	denied map[WorkerID]bool
	// requested are the workers of the outstanding request.
	requested   []WorkerID
	requestedMS int64
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
	// adviceMarginMS is the time reserved for a start to arrive before its
	// ticket expires.
	adviceMarginMS = 100
)

func (a *adviceState) allows(id WorkerID, nowMS int64) bool {
	t := a.tickets[id]
	return t.value != "" && nowMS < t.untilMS
}

// ensureAdvice reports whether some worker with room may run the step's tasks;
// if not, it requests advice about further workers.
func (c *Core) ensureAdvice(s *step) bool {
	for id := range s.advice.tickets {
		if w := c.workers[id]; w != nil && s.advice.allows(id, c.now.MS) && w.usable(c.now.MS) && s.resources().fits(w.info.Capacity.minus(w.used)) {
			return true
		}
	}
	c.requestAdvice(s)
	return false
}

// requestAdvice requests advice about the next workers that might run the
// step's tasks. Once the adviser has denied all of them, it starts over: a
// worker may have restarted under its ID.
func (c *Core) requestAdvice(s *step) {
	a := &s.advice
	if a.requested != nil || c.now.MS-a.requestedMS < adviceRetryMS {
		return
	}
	candidates := c.adviceCandidates(s)
	if len(candidates) == 0 {
		if len(a.denied) > 0 && !c.allowedAnywhere(s) {
			a.denied, a.requestedMS = nil, c.now.MS
		}
		return
	}
	a.requestedMS = c.now.MS
	for _, w := range candidates[:min(len(candidates), adviceBatch)] {
		a.requested = append(a.requested, w.info.ID)
	}
	c.emit(Advise{Step: s.id(), Workers: slices.Clone(a.requested)})
}

// allowedAnywhere reports whether some worker may run the step's tasks, whether
// it has room now or not.
func (c *Core) allowedAnywhere(s *step) bool {
	for id := range s.advice.tickets {
		if w := c.workers[id]; w != nil && w.listed && s.advice.allows(id, c.now.MS) {
			return true
		}
	}
	return false
}

// adviceCandidates returns the workers that have room now and whose permission
// is not known: first those near the step's data, then those with the most free
// processors.
func (c *Core) adviceCandidates(s *step) []*worker {
	var out []*worker
	for _, w := range c.sortedWorkers {
		if w.info.Service != s.job.queue.Service || !w.usable(c.now.MS) ||
			s.advice.denied[w.info.ID] || s.advice.allows(w.info.ID, c.now.MS) ||
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
	j := c.jobs[e.Step.Job]
	if j == nil {
		return
	}
	i := e.Step.Occurrence*len(j.spec.Steps) + e.Step.Step
	if i >= len(j.steps) {
		return
	}
	s := j.steps[i]
	a := &s.advice
	requested := a.requested
	a.requested = nil
	if e.Outcome != Done {
		return
	}
	if a.tickets == nil {
		a.tickets, a.denied = map[WorkerID]ticket{}, map[WorkerID]bool{}
	}
	until := c.now.MS + e.ValidityMS - adviceMarginMS
	for _, id := range requested {
		if value := e.Tickets[id]; value != "" {
			a.tickets[id] = ticket{value, until}
		} else {
			a.denied[id] = true
		}
	}
	s.noFitPass = 0
	c.placementDue = true
}
