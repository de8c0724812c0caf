package planner

import "slices"

// Weights and intervals of placement. Loads are shares of the reserved or
// declared processors.
const (
	// servingLoad is the share of its reservation that a serving task uses on
	// average; the rest is available to best-effort tasks.
	servingLoad = 0.55
	// bestEffortLoad is the share of its declared processors that a best-effort
	// task uses at full pace.
	bestEffortLoad = 0.85
	// minPassIntervalMS is the minimum time between two passes over the waiting
	// tasks; it bounds the cost of a burst of ends.
	minPassIntervalMS = 8
	// maxPassIntervalMS is the maximum time between two passes: pauses and limits
	// also change with time, not only by events.
	maxPassIntervalMS = 250
	// rescanMS is how long a step that fits nowhere considers only workers that
	// have changed. After that it considers all of them again, because limits
	// and pauses also change with time. The time grows once that takes more than
	// rescanChecks checks of a step and a worker, so that a backlog costs no more.
	rescanMS     = 250
	rescanChecks = 70_000
	// Every pass tries to place the most urgent of the waiting steps, as many as
	// passChecks pairs of a step and a worker hold but no fewer than
	// minUrgentSteps, and otherSteps of the others.
	passChecks     = 210_000
	minUrgentSteps = 192
	otherSteps     = 4
	// otherChecks bounds the pairs of a step and a worker for the others while the
	// overload control is on: on a large site they would take most of a pass.
	otherChecks = 4000
	// avoidedPenalty ranks the workers that a task avoids behind all others
	// without excluding them.
	avoidedPenalty = 1000.0
	// remotePenalty ranks down the workers outside the rack that holds the
	// data.
	remotePenalty = 100.0
)

// schedule starts the waiting tasks that fit, in order of priority and urgency.
func (c *Core) schedule() {
	if c.commandsWithheld() || !c.placementDue || len(c.ready) == 0 || c.now.MS-c.lastPassMS < c.passIntervalMS() {
		return
	}
	c.placementDue, c.lastPassMS = false, c.now.MS
	c.pass++
	c.changed, c.changedNext = c.changedNext, c.changed[:0]
	c.rescanMS = rescanMS * max(1, int64(len(c.ready)*len(c.sortedWorkers)/rescanChecks))
	c.urgentSteps = max(minUrgentSteps, passChecks/max(len(c.sortedWorkers), 1))
	c.otherSteps = otherSteps
	if c.config.Overload {
		c.otherSteps = max(1, min(otherSteps, int64(otherChecks/max(len(c.sortedWorkers), 1))))
	}
	c.reservations, c.previousReservations = c.previousReservations[:0], c.reservations
	c.orderWaiting()
	kept := c.ready[:0]
	for i, s := range c.ready {
		if !s.job.state.Final() && len(s.pending) > 0 && c.considered(s, i) && !c.startsPaused(s.job) {
			c.placeStep(s)
		}
		if !s.job.state.Final() && len(s.pending) > 0 {
			kept = append(kept, s)
		}
	}
	clear(c.ready[len(kept):])
	c.ready = kept
	for _, p := range c.previousReservations {
		if c.reservedFor(p.worker) != p.step {
			c.markChanged(p.worker)
		}
	}
}

// considered reports whether the pass tries to place a step, given its position
// among the waiting ones. Of a long backlog a pass tries the most urgent steps, the
// new ones, and a few of the others in turn: its cost would otherwise grow with the
// backlog while every start has to wait for it.
func (c *Core) considered(s *step, position int) bool {
	if position < c.urgentSteps || s.noFitPass == 0 {
		return true
	}
	others := int64(len(c.ready) - c.urgentSteps)
	turn := c.pass * c.otherSteps % others
	return (int64(position-c.urgentSteps)-turn+others)%others < c.otherSteps
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
	c.pendingBuffer = append(c.pendingBuffer[:0], s.pending...)
	scanned := false
	for _, t := range c.pendingBuffer {
		if !c.mayStart(t) {
			continue
		}
		if !scanned {
			scanned = true
			c.scan(s)
		}
		w := c.bestCandidate(t)
		if w == nil {
			// The step's tasks have equal requirements, so if one does not fit,
			// none does. They differ only in the workers that they avoid, which
			// only affects the ranking.
			if s.job.queue.Advised {
				c.requestAdvice(s)
			}
			c.reserve(s)
			s.noFitPass = c.pass
			c.explainWait(s)
			c.backfill(s)
			return
		}
		c.start(t, w, t.lastRun+1, "placed")
		if s.rank.aged && len(s.pending) > 0 {
			// Its place in the order rests on its wait, which this start has ended.
			c.placementDue = true
			break
		}
		c.updateCandidate(s, w)
	}
	s.noFitPass = 0
}

// candidate is a worker that may run a task of the step that is being placed.
type candidate struct {
	worker   *worker
	score    float64
	feasible bool
}

// scan finds the candidates for the tasks of a step. The tasks have equal
// requirements and a start changes only the worker that it is sent to, so one
// scan serves all of them. If the tasks fitted nowhere in a recent pass, it
// considers only the workers that have changed since: otherwise a pass over a
// long backlog would check every pair of step and worker.
func (c *Core) scan(s *step) {
	c.candidates = c.candidates[:0]
	workers := c.sortedWorkers
	switch {
	case s.noFitPass == 0 || c.now.MS-s.fullScanMS >= c.rescanMS:
		s.fullScanMS = c.now.MS
	case s.noFitPass == c.pass-1:
		workers = c.changed
	}
	full := s.fullScanMS == c.now.MS
	c.work.StepsTried++
	c.work.WorkersChecked += int64(len(workers))
	for _, w := range workers {
		if (full || w.changedPass > s.noFitPass) && c.feasible(s, w) {
			c.candidates = append(c.candidates, candidate{w, c.score(s, w), true})
		}
	}
}

// bestCandidate returns the best of the candidates for a task, or nil.
func (c *Core) bestCandidate(t *task) *worker {
	var best *worker
	bestScore := 0.0
	for i := range c.candidates {
		candidate := &c.candidates[i]
		if !candidate.feasible {
			continue
		}
		score := candidate.score - t.avoidance(candidate.worker)
		if best == nil || score > bestScore {
			best, bestScore = candidate.worker, score
		}
	}
	return best
}

// updateCandidate checks a candidate again after a start.
func (c *Core) updateCandidate(s *step, w *worker) {
	for i := range c.candidates {
		if candidate := &c.candidates[i]; candidate.worker == w {
			if candidate.feasible = c.feasible(s, w); candidate.feasible {
				candidate.score = c.score(s, w)
			}
			return
		}
	}
}

// free returns the room that no run holds.
func (w *worker) free() Resources { return w.info.Capacity.minus(w.used) }

func (c *Core) mayStart(t *task) bool {
	return len(t.runs) == 0 && !c.startHeld(t)
}

// startHeld reports whether no run of a task may start yet, whatever the workers'
// room: a predecessor's run may still exist or its failures are not all known (which
// includes the tasks that a closed worker may still run), or a
// start was rejected a moment ago.
func (c *Core) startHeld(t *task) bool {
	return t.unreconciled || !c.failuresKnown(t) || c.now.MS < t.notBeforeMS
}

// pick returns the best worker for a task other than the given one, or nil.
func (c *Core) pick(t *task, exclude *worker) *worker {
	var best *worker
	bestScore := 0.0
	for _, w := range c.sortedWorkers {
		if w == exclude || !c.feasible(t.step, w) {
			continue
		}
		score := c.taskScore(t, w)
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// fitsElsewhere reports whether any worker but the given one may run a task of
// the step now. After a search without success it does not search again for
// rescanMS: each run of the step would.
func (c *Core) fitsElsewhere(s *step, exclude *worker) bool {
	if s.crowdedMS > 0 && c.now.MS-s.crowdedMS < rescanMS {
		return false
	}
	if slices.ContainsFunc(c.sortedWorkers, func(w *worker) bool { return w != exclude && c.feasible(s, w) }) {
		return true
	}
	s.crowdedMS = c.now.MS
	return false
}

// feasible reports whether the worker may run a task of the step now.
func (c *Core) feasible(s *step, w *worker) bool {
	return c.hasRoom(s, w) && (!s.spec.BestEffort || c.mayRunBestEffort(w, s))
}

// mayRunBestEffort reports whether another best-effort task of the step would
// leave the serving tasks their processor time and keep their tail latencies
// within the limit.
func (c *Core) mayRunBestEffort(w *worker, s *step) bool {
	return c.bestEffortShare(w, s.spec.CPUMilli) >= 1 && c.predictedTail(w, s) <= c.placeLimit(s)
}

// usable reports whether the worker may get new tasks at all.
func (c *Core) usable(w *worker) bool {
	return w.listed && !w.dead && w.reported && (w.entryCurrent() || c.disabled.currentEntry && !w.restartPending()) && !w.info.Draining && !w.closure.closed && w.confirmed > 0 &&
		(w.recorded || c.disabled.recordWorkers) &&
		c.now.MS-w.reportedMS <= unresponsiveMS && c.now.MS >= w.noRoomUntilMS && !c.evacuated(w)
}

// placeLimit returns the predicted tail latency up to which the step's
// best-effort tasks may be placed. It rises slowly once the step has waited for
// long, so that a pair of images without any readings cannot block the step
// forever. An earlier rise has no benefit: on a full site more tasks only slow
// each other down.
func (c *Core) placeLimit(s *step) float64 {
	waited := float64(c.now.MS-s.pendingSinceMS-placeLimitDelayMS) / 1000
	return placeTailLimit + placeLimitPerSecond*max(waited, 0)
}

// score ranks a feasible worker for the tasks of a step; higher is better.
func (c *Core) score(s *step, w *worker) float64 {
	free := w.free()
	var score float64
	switch {
	case s.spec.BestEffort:
		score = 10*c.bestEffortShare(w, s.spec.CPUMilli) - 3*c.predictedTail(w, s) + 0.5*c.advantage(w, s)
	case s.spec.LongRunning:
		// Serving tasks of the same image are placed together, so that
		// best-effort tasks beside them have to suit one image only. Best fit
		// keeps whole workers free.
		same, other := w.servingImages(s.spec.Image)
		capacity := float64(max(w.info.Capacity.CPUMilli, 1))
		score = (4*float64(same) - 4*float64(other) - float64(free.CPUMilli)) / capacity
	default:
		score = float64(free.CPUMilli)/32_000 - 2*w.interference.pressure()
	}
	if s.spec.Rack != "" && !slices.Contains(w.info.Labels, s.spec.Rack) {
		score -= remotePenalty
	}
	return score + 4*min(w.health.speed(c.now.MS), 1)
}

// taskScore ranks a feasible worker for one task; higher is better.
func (c *Core) taskScore(t *task, w *worker) float64 { return c.score(t.step, w) - t.avoidance(w) }

// avoidance returns what a task's score of a worker is reduced by.
func (t *task) avoidance(w *worker) float64 {
	if len(t.avoided) > 0 && t.avoids(w) {
		return avoidedPenalty
	}
	return 0
}

// servingImages returns the processors reserved by long-running tasks of the
// given image and of all other images, in thousandths of a core.
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

// bestEffortShare returns the share of its demand that another best-effort task
// would get.
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

// bestEffortDemand returns the processors that the other tasks leave unused and
// those that the best-effort tasks would use at their current paces, in
// thousandths of a core.
func (w *worker) bestEffortDemand() (unused, wanted float64) {
	unused = float64(w.info.Capacity.CPUMilli)
	for _, r := range w.runs {
		spec := r.task.step.spec
		switch {
		case spec.BestEffort:
			wanted += bestEffortLoad * float64(spec.CPUMilli*r.pace) / 100
		case spec.LongRunning:
			unused -= servingLoad * float64(spec.CPUMilli)
		default:
			unused -= float64(spec.CPUMilli)
		}
	}
	return unused, wanted
}
