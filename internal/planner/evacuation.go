package planner

import (
	"cmp"
	"math"
	"slices"
)

// While a data centre is under evacuation nothing starts on its workers. What runs
// there may finish; runs that lose nothing by it are moved, slowly and only while
// there is room elsewhere.

const (
	// evacuationMovesAtOnce bounds the runs that are being stopped for a move, and
	// evacuationMoveIntervalMS is the minimum time between two such stops: a move
	// costs a restart, and capacity that another task may need.
	evacuationMovesAtOnce    = 8
	evacuationMoveIntervalMS = 100
	// evacuationProgressMS is the minimum time between two progress lines of a data
	// centre.
	evacuationProgressMS = 5000
	// declinedMS is how long a data centre gets no starts after one was declined
	// although this leader knows of no evacuation: an instance that calls workers for
	// it has read of one, and the next starts would be declined too.
	declinedMS = 1000
)

// EvacuationReason is the reason of the stops that move runs off a data centre.
const EvacuationReason = "data centre is evacuated"

// evacuationState is what the leader knows of evacuations.
type evacuationState struct {
	// known is set once the operators' records have been read; unread once that was
	// found overdue.
	known, unread bool
	inForce       map[string]*evacuation
	// declinedUntilMS holds the data centres in which a start was declined without a
	// known evacuation.
	declinedUntilMS map[string]int64
	// moves are the runs that are being stopped to be moved.
	moves     []move
	checkedMS int64
	// runs is the number of runs that are left, as of the last check.
	runs int
	// serviceRuns counts the runs of each service's usable workers, as of the pass
	// serviceRunsPass.
	serviceRuns     map[string]runCount
	serviceRunsPass int64
}

// evacuation is the evacuation of one data centre.
type evacuation struct {
	moved      int
	progressMS int64
}

// move is a run that is being stopped, and the worker that had room for it.
type move struct {
	run *run
	to  *worker
}

// EvacuationState describes a data centre under evacuation.
type EvacuationState struct {
	DataCentre string
	// Workers is the number of workers there.
	Workers int
	// The runs that are left, by kind.
	LongRunning, Gang, Checkpointed, Other int
	// Moved is the number of runs that this leader has stopped to move them.
	Moved int
}

// Runs returns the number of runs that are left.
func (s *EvacuationState) Runs() int { return s.LongRunning + s.Gang + s.Checkpointed + s.Other }

// setEvacuations replaces the data centres under evacuation.
func (c *Core) setEvacuations(dataCentres []string) {
	e := &c.evacuation
	e.known = true
	inForce := make(map[string]*evacuation, len(dataCentres))
	for _, dataCentre := range dataCentres {
		inForce[dataCentre] = e.inForce[dataCentre]
		if inForce[dataCentre] == nil {
			inForce[dataCentre] = &evacuation{progressMS: math.MinInt64 / 2}
		}
	}
	e.inForce = inForce
	clear(e.declinedUntilMS)
	for _, w := range c.sortedWorkers {
		c.markEvacuated(w)
	}
	for _, s := range c.ready {
		if s.spec.Label != "" {
			// The reason why it waits may have changed.
			s.explainAtMS = 0
		}
	}
	c.placementDue = true
}

// markEvacuated notes whether a worker's data centre is under evacuation.
func (c *Core) markEvacuated(w *worker) {
	if _, evacuated := c.evacuation.inForce[w.info.DataCentre]; evacuated != w.evacuated {
		w.evacuated = evacuated
		c.markChanged(w)
	}
}

// evacuated reports whether nothing may start on a worker because of an evacuation.
func (c *Core) evacuated(w *worker) bool {
	if c.disabled.evacuation {
		return false
	}
	e := &c.evacuation
	return w.evacuated || len(e.declinedUntilMS) > 0 && c.now.MS < e.declinedUntilMS[w.info.DataCentre]
}

// evacuationsAwaited reports whether no task may start yet because the operators'
// records have not been read in this term. A leader that cannot read them goes on
// after the time within which an evacuation must be in force: the work of all data
// centres would otherwise depend on that read.
func (c *Core) evacuationsAwaited() bool {
	return !c.evacuation.known && c.config.EvacuateMS > 0 && c.now.MS-c.termStartMS <= c.config.EvacuateMS
}

// noteDeclined handles a start that was declined because of an evacuation. The run
// is released like one whose start had no effect; neither the task nor the worker
// is to blame.
func (c *Core) noteDeclined(w *worker) {
	e := &c.evacuation
	if w.evacuated || w.info.DataCentre == "" {
		return
	}
	if e.declinedUntilMS == nil {
		e.declinedUntilMS = map[string]int64{}
	}
	e.declinedUntilMS[w.info.DataCentre] = c.now.MS + declinedMS
}

// checkEvacuations moves runs off data centres under evacuation and logs what is
// left.
func (c *Core) checkEvacuations() {
	e := &c.evacuation
	if c.config.EvacuateMS > 0 && !e.known && !e.unread && !c.evacuationsAwaited() {
		e.unread = true
		c.placementDue = true
		c.emit(Decision{Event: "evacuations_unread", Reason: "the operators' records have not been read in this term", AgeMS: c.now.MS - c.termStartMS, Warn: true})
	}
	if c.now.MS-e.checkedMS < evacuationMoveIntervalMS {
		return
	}
	e.checkedMS = c.now.MS
	for dataCentre, untilMS := range e.declinedUntilMS {
		if c.now.MS >= untilMS {
			delete(e.declinedUntilMS, dataCentre)
			c.placementDue = true
		}
	}
	e.runs = 0
	if len(e.inForce) == 0 {
		return
	}
	for _, state := range c.Evacuations() {
		e.runs += state.Runs()
		if in := e.inForce[state.DataCentre]; state.Runs() > 0 && c.now.MS-in.progressMS >= evacuationProgressMS {
			in.progressMS = c.now.MS
			c.emit(Decision{Event: "evacuation_progress", Details: []Detail{
				{Name: "data_centre", Text: state.DataCentre}, {Name: "workers", Number: int64(state.Workers)}, {Name: "runs", Number: int64(state.Runs())},
				{Name: "long_running", Number: int64(state.LongRunning)}, {Name: "gang", Number: int64(state.Gang)},
				{Name: "checkpointed", Number: int64(state.Checkpointed)}, {Name: "other", Number: int64(state.Other)}, {Name: "moved", Number: int64(state.Moved)},
			}})
		}
	}
	c.moveEvacuated()
}

// Evacuations returns the data centres under evacuation, sorted.
func (c *Core) Evacuations() []EvacuationState {
	var out []EvacuationState
	for dataCentre, in := range c.evacuation.inForce {
		out = append(out, EvacuationState{DataCentre: dataCentre, Moved: in.moved})
	}
	slices.SortFunc(out, func(a, b EvacuationState) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	for _, w := range c.sortedWorkers {
		if !w.evacuated {
			continue
		}
		i := slices.IndexFunc(out, func(s EvacuationState) bool { return s.DataCentre == w.info.DataCentre })
		if i < 0 {
			continue
		}
		if w.listed && !w.dead {
			out[i].Workers++
		}
		for _, r := range w.runs {
			switch spec := r.task.step.spec; {
			case spec.LongRunning:
				out[i].LongRunning++
			case spec.Gang:
				out[i].Gang++
			case spec.Checkpointing:
				out[i].Checkpointed++
			default:
				out[i].Other++
			}
		}
	}
	return out
}

// EvacuatedRuns returns the number of runs that are left in data centres under
// evacuation, as of the last check.
func (c *Core) EvacuatedRuns() int { return c.evacuation.runs }

// HasWorkersIn reports whether any known worker is in a data centre.
func (c *Core) HasWorkersIn(dataCentre string) bool {
	return slices.ContainsFunc(c.sortedWorkers, func(w *worker) bool { return w.info.DataCentre == dataCentre })
}

// moveEvacuated stops the run with the least laxity that may be moved off its data
// centre and that another worker can take now.
func (c *Core) moveEvacuated() {
	e := &c.evacuation
	e.moves = slices.DeleteFunc(e.moves, func(m move) bool {
		return m.run.phase != stopping || !slices.Contains(m.run.task.runs, m.run)
	})
	if len(e.moves) >= evacuationMovesAtOnce || c.commandsWithheld() || c.lag.behind {
		return
	}
	type candidate struct {
		run    *run
		laxity int64
	}
	var candidates []candidate
	waiting := map[string]bool{}
	for _, w := range c.sortedWorkers {
		if !w.evacuated || len(w.runs) == 0 {
			continue
		}
		if _, checked := waiting[w.info.Service]; !checked {
			waiting[w.info.Service] = c.capacityWanted(w.info.Service)
		}
		if waiting[w.info.Service] {
			continue
		}
		for _, r := range w.runs {
			if c.mayMove(r) {
				candidates = append(candidates, candidate{r, c.laxityMS(r)})
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.laxity, b.laxity) })
	for _, next := range candidates {
		to := c.moveTarget(next.run.task.step)
		if to == nil {
			continue
		}
		e.moves = append(e.moves, move{next.run, to})
		e.inForce[next.run.worker.info.DataCentre].moved++
		c.stopRun(next.run, EvacuationReason)
		return
	}
}

// capacityWanted reports whether a task of the service waits for capacity. A step
// that every usable worker is too small for, or that anything else but room keeps from
// them, does not: it may wait for the end of the evacuation.
func (c *Core) capacityWanted(service string) bool {
	for _, s := range c.ready {
		if s.job.queue.Service != service || s.job.state.Final() || len(s.pending) == 0 {
			continue
		}
		if slices.ContainsFunc(c.sortedWorkers, func(w *worker) bool {
			return s.resources().fits(w.info.Capacity) && c.obstacle(s, w) == noObstacle
		}) {
			return true
		}
	}
	return false
}

// mayMove reports whether a run may be moved off its data centre: a long-running
// one within the step's budget of unavailable tasks, or one that continues from a
// checkpoint and has more left than a move takes.
func (c *Core) mayMove(r *run) bool {
	s := r.task.step
	switch {
	case r.phase != running, r.task.done, s.job.state.Final(), s.spec.Gang, len(r.task.runs) > 1,
		c.exhausted(r.task), !c.failuresKnown(r.task):
		return false
	case s.spec.LongRunning:
		return c.unavailableTasks(s) < s.spec.MaxUnavailable
	}
	remaining := c.expectedDuration(s) * float64(100-r.percent) / 100
	return s.spec.Checkpointing && (r.checkpoint != "" || r.task.checkpoint != "") &&
		remaining > float64(c.config.StopTimeoutMS+c.config.RestoreMS)
}

// laxityMS returns the time until the objective of the run's job less what remains
// of the job from this run on.
func (c *Core) laxityMS(r *run) int64 {
	s := r.task.step
	deadline, remaining := s.deadlineMS, s.remainingMS
	if !s.released {
		// The run was adopted before its step was opened.
		deadline, remaining = c.deadline(s.job), c.remainingWork(s)
	}
	done := int64(c.expectedDuration(s) * float64(r.percent) / 100)
	return deadline - c.now.MS - max(remaining-done, 0)
}

// moveTarget returns the best worker that can take a task of the step now beside
// the runs that are already on their way, or nil. After a search without success it
// does not search again for rescanMS.
func (c *Core) moveTarget(s *step) *worker {
	if s.crowdedMS > 0 && c.now.MS-s.crowdedMS < rescanMS {
		return nil
	}
	var best *worker
	bestScore := 0.0
	for _, w := range c.sortedWorkers {
		if !c.feasible(s, w) {
			continue
		}
		free, coming := w.free(), 0
		for _, m := range c.evacuation.moves {
			if m.to == w {
				free, coming = free.minus(m.run.task.step.resources()), coming+1
			}
		}
		if !s.resources().fits(free) || c.coldRoom(w) <= coming || s.spec.BestEffort && coming > 0 {
			continue
		}
		if score := c.score(s, w); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	if best == nil {
		s.crowdedMS = c.now.MS
	}
	return best
}

// runCount is the number of runs of a service's usable workers.
type runCount struct{ workers, runs int }

// coldRoom returns how many further runs a worker may get while it is cold: its
// caches are empty, so that as many runs as elsewhere would be slow there.
func (c *Core) coldRoom(w *worker) int {
	if c.now.MS >= w.coldUntilMS || c.config.ColdOverage <= 0 || c.config.ColdSlack <= 0 {
		return math.MaxInt
	}
	e := &c.evacuation
	if e.serviceRuns == nil || e.serviceRunsPass != c.pass {
		e.serviceRunsPass, e.serviceRuns = c.pass, map[string]runCount{}
		for _, other := range c.sortedWorkers {
			if c.usable(other) {
				other.countedRuns, other.countedPass = len(other.runs), c.pass
				count := e.serviceRuns[other.info.Service]
				e.serviceRuns[other.info.Service] = runCount{count.workers + 1, count.runs + len(other.runs)}
			}
		}
	}
	others := e.serviceRuns[w.info.Service]
	if w.countedPass == c.pass {
		others.workers--
		others.runs -= w.countedRuns
	}
	if others.workers <= 0 {
		// There is no mean to compare with.
		return math.MaxInt
	}
	limit := c.config.ColdOverage*float64(others.runs)/float64(others.workers) + c.config.ColdSlack
	return max(int(limit)-len(w.runs), 0)
}
