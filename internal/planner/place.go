package planner

import (
	"cmp"
	"slices"
)

// The weights of placement, in shares of a core.
const (
	// servingLoad is the share of its reservation that a serving task uses on
	// average; what is left over goes to filling tasks.
	servingLoad = 0.55
	// bestEffortLoad is the share of its declared processors that a filling task
	// uses at full speed.
	bestEffortLoad = 0.85
	// scheduleGapMS is the least time between two passes over the waiting
	// tasks: it bounds what a burst of ends costs.
	scheduleGapMS = 8
	// scheduleEveryMS tries waiting tasks again when nothing else has woken
	// them: pauses and limits change with time.
	scheduleEveryMS = 250
	// rescanMS is how long a step that fits nowhere looks only at workers that
	// have changed; limits and pauses also change with time.
	rescanMS = 250
	// maxReservedWorkers bounds the workers that one waiting step reserves.
	maxReservedWorkers = 4
	// avoidedPenalty ranks workers on which the task has failed behind all
	// others without excluding them.
	avoidedPenalty = 1000.0
	// remotePenalty ranks workers outside the rack that holds the data.
	remotePenalty = 100.0
)

// schedule starts the waiting tasks that fit, by priority and deadline.
func (c *Core) schedule() {
	if c.suspended || !c.placementDue || len(c.ready) == 0 || c.now.MS-c.scheduledMS < scheduleGapMS {
		return
	}
	c.placementDue, c.scheduledMS = false, c.now.MS
	c.pass++
	c.reserved, c.previouslyReserved = c.previouslyReserved, c.reserved
	clear(c.reserved)
	slices.SortStableFunc(c.ready, func(a, b *step) int {
		if d := cmp.Compare(a.job.queue.Priority, b.job.queue.Priority); d != 0 {
			return d
		}
		return c.compareUrgency(a, b)
	})
	kept := c.ready[:0]
	for _, s := range c.ready {
		if !s.job.state.Final() && len(s.pending) > 0 {
			c.placeStep(s)
		}
		if !s.job.state.Final() && len(s.pending) > 0 {
			kept = append(kept, s)
		}
	}
	clear(c.ready[len(kept):])
	c.ready = kept
	for w, s := range c.previouslyReserved {
		if c.reserved[w] != s {
			w.changedPass = c.pass
		}
	}
}

// The lateness classes of a step.
const (
	// onTime: the job can still meet its objective.
	onTime = iota
	// late: it cannot, but its end is still worth something to the caller.
	late
	// overdue: only the promise to finish is left.
	overdue
)

// lateFactor is how many objectives a job may take and still be worth
// something.
const lateFactor = 3

// lateness tells what a job can still reach if the step started now.
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

// compareUrgency orders the steps of one priority. Steps that can meet the
// objective go first, by deadline: under overload, what is late already would
// else make everything late. Late steps go by the least that they still need.
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

// placeStep starts as many of the step's waiting tasks as fit.
func (c *Core) placeStep(s *step) {
	if s.job.queue.Advised && !c.ensureAdvice(s) {
		return
	}
	if s.spec.Gang {
		c.placeGang(s)
		if s.job.queue.Advised && len(s.pending) > 0 {
			c.requestAdvice(s)
		}
		return
	}
	for _, t := range slices.Clone(s.pending) {
		if !c.mayStart(t) {
			continue
		}
		w := c.pickChanged(t)
		if w == nil {
			// The step's tasks are alike: what does not fit one fits none, but
			// for the workers that a task avoids, which pick only ranks last.
			if s.job.queue.Advised {
				c.requestAdvice(s)
			}
			c.reserve(s)
			s.noFitPass = c.pass
			c.explainWait(s)
			return
		}
		c.start(t, w, t.lastRun+1, "placed")
	}
	s.noFitPass = 0
}

// pickChanged returns the best worker for a task, or nil. When the step's
// tasks have just been found to fit nowhere, only the workers that have changed
// since are looked at: a pass over a long backlog would else look at each pair
// of a step and a worker.
func (c *Core) pickChanged(t *task) *worker {
	s := t.step
	since := s.noFitPass
	if since == 0 || c.now.MS-s.fullScanMS >= rescanMS {
		since, s.fullScanMS = 0, c.now.MS
	}
	return c.pickSince(t, nil, since)
}

// reserve keeps room that becomes free for the waiting tasks of a step, which
// come before all that follow in this pass. Smaller tasks would else take the
// room as it comes, and a wide task would never start.
func (c *Core) reserve(s *step) {
	if s.spec.Fills {
		return
	}
	if s.noFitPass > 0 && s.fullScanMS != c.now.MS {
		for _, w := range s.reservedWorkers {
			if c.reserved[w] == nil && w.usable(c.now.MS) {
				c.reserved[w] = s
			}
		}
		return
	}
	s.reservedWorkers = s.reservedWorkers[:0]
	for range min(len(s.pending), maxReservedWorkers) {
		var best *worker
		for _, w := range c.sortedWorkers {
			if c.reserved[w] != nil || w.info.Service != s.job.queue.Service || !w.usable(c.now.MS) ||
				!s.room().fits(w.info.Capacity.minus(w.longRunning)) ||
				s.spec.Label != "" && !slices.Contains(w.info.Labels, s.spec.Label) {
				continue
			}
			if best == nil || w.used.CPUMilli-w.info.Capacity.CPUMilli < best.used.CPUMilli-best.info.Capacity.CPUMilli {
				best = w
			}
		}
		if best == nil {
			return
		}
		c.reserved[best] = s
		s.reservedWorkers = append(s.reservedWorkers, best)
	}
}

func (c *Core) mayStart(t *task) bool {
	if t.unreconciled || len(t.runs) > 0 {
		return false
	}
	return c.now.MS >= t.notBeforeMS
}

// pick returns the best worker for a task, or nil.
func (c *Core) pick(t *task, exclude *worker) *worker { return c.pickSince(t, exclude, 0) }

// pickSince is pick among the workers that have changed in a pass or since.
func (c *Core) pickSince(t *task, exclude *worker, since int64) *worker {
	var best *worker
	bestScore := 0.0
	for _, w := range c.sortedWorkers {
		if w.changedPass < since || w == exclude || !c.feasible(t, w) {
			continue
		}
		score := c.score(t, w)
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// feasible reports whether the worker may run the task now.
func (c *Core) feasible(t *task, w *worker) bool {
	s := t.step
	if holder := c.reserved[w]; holder != nil && holder != s && s.room().CPUMilli > 0 {
		return false
	}
	switch {
	case w.info.Service != s.job.queue.Service,
		!w.usable(c.now.MS),
		!s.room().fits(w.info.Capacity.minus(w.used)),
		s.spec.Label != "" && !slices.Contains(w.info.Labels, s.spec.Label),
		s.spec.MaxPerWorker > 0 && s.perWorker[w] >= s.spec.MaxPerWorker,
		s.job.queue.Advised && !s.advice.allows(w.info.ID, c.now.MS),
		s.spec.Fills && !c.mayRunBestEffort(w, s):
		return false
	}
	return w.health.admits(c.now.MS, w.runs)
}

// mayRunBestEffort reports whether another filling task of the step leaves the serving
// tasks their processor time and keeps their tails.
func (c *Core) mayRunBestEffort(w *worker, s *step) bool {
	return c.bestEffortShare(w, s.spec.CPUMilli) >= 1 && c.predictedTail(w, s) <= c.placeLimit(s)
}

// usable reports whether new work may go to the worker at all.
func (w *worker) usable(nowMS int64) bool {
	return w.listed && !w.dead && w.reported && !w.info.Draining && w.confirmed > 0 &&
		nowMS-w.reportedMS <= unresponsiveMS && nowMS >= w.noRoomUntilMS
}

// placeLimit is the predicted tail up to which the step's filling tasks may be
// placed. It rises slowly once the step has waited for long, so that a pair of
// images that has never been tried cannot stop the work for ever. Rising
// sooner serves nobody: on a full site more tasks only slow each other down.
func (c *Core) placeLimit(s *step) float64 {
	waited := float64(c.now.MS-s.pendingSinceMS-placeLimitDelayMS) / 1000
	return placeTailLimit + placeLimitPerSecond*max(waited, 0)
}

// score ranks a feasible worker; more is better.
func (c *Core) score(t *task, w *worker) float64 {
	s := t.step
	free := w.info.Capacity.minus(w.used)
	var score float64
	switch {
	case s.spec.Fills:
		score = 10*c.bestEffortShare(w, s.spec.CPUMilli) - 3*c.predictedTail(w, s) + 0.5*c.advantage(w, s)
	case s.spec.LongRunning:
		// Serving tasks of one image share workers, so that what fills beside
		// them has to suit one image only. Best fit keeps whole workers free.
		same, other := w.servingImages(s.spec.Image)
		capacity := float64(max(w.info.Capacity.CPUMilli, 1))
		score = (4*float64(same) - 4*float64(other) - float64(free.CPUMilli)) / capacity
	default:
		score = float64(free.CPUMilli)/32_000 - 2*w.interference.pressure()
	}
	if slices.Contains(t.avoided, w) {
		score -= avoidedPenalty
	}
	if s.spec.Rack != "" && !slices.Contains(w.info.Labels, s.spec.Rack) {
		score -= remotePenalty
	}
	return score + 4*min(w.health.speed(c.now.MS), 1)
}

// servingImages returns the processors reserved by long-running tasks of an
// image and of all others, in thousandths of a core.
func (w *worker) servingImages(image string) (same, other int) {
	for _, r := range w.runs {
		spec := r.task.step.spec
		switch {
		case !spec.LongRunning:
		case spec.Image == image:
			same += spec.CPUMilli
		default:
			other += spec.CPUMilli
		}
	}
	return same, other
}

// bestEffortShare is the share of its wish that another filling task would get.
func (c *Core) bestEffortShare(w *worker, cpuMilli int) float64 {
	if !w.demandValid {
		w.unusedCPU, w.bestEffortWanted = w.bestEffortDemand()
		w.demandValid = true
	}
	wanted := w.bestEffortWanted + bestEffortLoad*float64(cpuMilli)
	if wanted <= 0 {
		return 1
	}
	return min(max(w.unusedCPU, 0)/wanted, 1)
}

// bestEffortDemand returns what the other tasks leave unused and what the filling
// tasks would use at their paces, in thousandths of a core.
func (w *worker) bestEffortDemand() (unused, wanted float64) {
	unused = float64(w.info.Capacity.CPUMilli)
	for _, r := range w.runs {
		spec := r.task.step.spec
		switch {
		case spec.Fills:
			wanted += bestEffortLoad * float64(spec.CPUMilli*r.pace) / 100
		case spec.LongRunning:
			unused -= servingLoad * float64(spec.CPUMilli)
		default:
			unused -= float64(spec.CPUMilli)
		}
	}
	return unused, wanted
}
