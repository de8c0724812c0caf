package planner

import (
	"cmp"
	"math"
	"slices"
)

// A step whose tasks fit on no worker reserves the workers on which the ends of other
// runs will make room for them. Otherwise smaller tasks would take the room as it
// becomes free and a wide task would never start.
//
// A reservation keeps off only tasks that would delay the step: others use the room
// until then (conservative backfilling).

const (
	// maxReservedWorkers is the maximum number of workers that one waiting step
	// reserves.
	maxReservedWorkers = 4
	// maxReservedShare is the share of a service's usable workers that all steps
	// together may reserve: the rest serves the steps behind them.
	maxReservedShare = 0.5
	// backfillFactor is the factor by which a task may exceed its expected duration
	// without delaying the step beside whose reservation it runs.
	backfillFactor = 1.5
	// maxStandstillMS is how long a job of which nothing runs waits for a reserved worker
	// while at least half of its service's processors are free: no job may stand still
	// for 3 s then.
	maxStandstillMS = 2000
)

// reservation keeps the free room of a worker for a step during one pass.
type reservation struct {
	step *step
	pass int64
	// availableMS is when the worker is expected to have room for a task of the step.
	availableMS int64
	// spare is the room that the worker is expected to have then beside that task.
	spare Resources
}

// reservedWorker is a worker with the step that its room is kept for.
type reservedWorker struct {
	worker *worker
	step   *step
}

// reservedFor returns the step that a worker's free room is kept for, or nil.
func (c *Core) reservedFor(w *worker) *step {
	if w.reservation.pass != c.pass {
		return nil
	}
	return w.reservation.step
}

// reserve keeps room that becomes free for the waiting tasks of a step, ahead
// of the steps that follow in this pass.
func (c *Core) reserve(s *step) {
	if s.spec.BestEffort {
		return
	}
	load := c.loadOf(s.job.queue.Service)
	limit := max(int(maxReservedShare*float64(load.workers)), 1) - load.reserved
	if s.noFitPass == 0 || s.fullScanMS == c.now.MS {
		n := min(s.startableTasks(c, maxReservedWorkers), limit)
		s.reservedWorkers = c.mostFreeWorkers(s, n, s.reservedWorkers[:0])
	}
	for _, w := range s.reservedWorkers {
		if limit > 0 && c.reservedFor(w) == nil && c.lacksOnlyRoom(s, w) {
			c.reserveWorker(w, s)
			load.reserved++
			limit--
		}
	}
}

func (c *Core) reserveWorker(w *worker, s *step) {
	w.reservation = reservation{step: s, pass: c.pass}
	w.reservation.availableMS, w.reservation.spare = c.roomExpected(s, w)
	c.reservations = append(c.reservations, reservedWorker{w, s})
}

// startableTasks counts the step's waiting tasks that only lack a worker, up to a limit.
func (s *step) startableTasks(c *Core, limit int) int {
	n := 0
	for _, t := range s.pending {
		if n == limit {
			break
		}
		if c.mayStart(t) {
			n++
		}
	}
	return n
}

// lacksOnlyRoom reports whether the step's tasks could run on a worker if other runs
// there ended. Any other obstacle would keep the reserved room unused.
func (c *Core) lacksOnlyRoom(s *step, w *worker) bool {
	needed := s.resources()
	return !needed.fits(w.free()) && needed.fits(w.info.Capacity.minus(w.longRunning)) && c.obstacle(s, w) == noObstacle
}

// mostFreeWorkers appends the n workers without a reservation that have the most
// free processors among those on which the step lacks only room.
func (c *Core) mostFreeWorkers(s *step, n int, out []*worker) []*worker {
	if n <= 0 {
		return out
	}
	for _, w := range c.sortedWorkers {
		if len(out) == n && w.free().CPUMilli <= out[n-1].free().CPUMilli || c.reservedFor(w) != nil || !c.lacksOnlyRoom(s, w) {
			continue
		}
		if len(out) == n {
			out = out[:n-1]
		}
		i := len(out)
		for i > 0 && w.free().CPUMilli > out[i-1].free().CPUMilli {
			i--
		}
		out = slices.Insert(out, i, w)
	}
	return out
}

// roomExpected returns when the ends of a worker's runs are expected to make room for
// a task of the step, and what is free then beside it.
func (c *Core) roomExpected(s *step, w *worker) (int64, Resources) {
	ends := c.endBuffer[:0]
	for _, r := range w.runs {
		if !r.task.step.spec.LongRunning || r.phase == stopping {
			ends = append(ends, expectedEnd{c.expectedEndMS(r), r.task.step.resources()})
		}
	}
	c.endBuffer = ends
	slices.SortFunc(ends, func(a, b expectedEnd) int { return cmp.Compare(a.atMS, b.atMS) })
	free, needed, atMS := w.free(), s.resources(), c.now.MS
	for _, e := range ends {
		if needed.fits(free) {
			break
		}
		free, atMS = free.plus(e.resources), e.atMS
	}
	return atMS, free.minus(needed)
}

// expectedEnd is when a run is expected to end and what it then releases.
type expectedEnd struct {
	atMS      int64
	resources Resources
}

// expectedEndMS returns when a run is expected to end on a healthy worker. One that
// takes longer is expected to end now, so that nothing is started on the strength of
// its delay.
func (c *Core) expectedEndMS(r *run) int64 {
	if r.phase == stopping {
		return max(r.stopSentMS+c.config.StopTimeoutMS, c.now.MS)
	}
	left := c.expectedDuration(r.task.step) * float64(100-r.percent) / 100
	return max(max(r.sentMS, r.usageMS)+int64(left), c.now.MS)
}

// reservationAdmits reports whether tasks of a step that need some room may start on a
// worker although its room is kept for another step: they leave that step's room alone,
// or are over before it can be used. A gang may have to wait for its members, so that
// its end is not known.
func (c *Core) reservationAdmits(s *step, w *worker, needed Resources) bool {
	holder := c.reservedFor(w)
	if holder == nil || holder == s || needed.CPUMilli == 0 {
		return true
	}
	if c.disabled.backfill {
		return false
	}
	if needed.fits(w.reservation.spare) {
		return true
	}
	return c.latestEndMS(s) <= w.reservation.availableMS ||
		w.reservation.availableMS-c.now.MS > maxStandstillMS && c.standsStill(s)
}

// latestEndMS returns when a task of the step is expected to be over at the latest if it
// starts now. A gang may have to wait for members whose starts fail.
func (c *Core) latestEndMS(s *step) int64 {
	expected := c.expectedDuration(s)
	if s.spec.LongRunning || expected <= 0 {
		return math.MaxInt64
	}
	end := c.now.MS + int64(backfillFactor*expected)
	if s.spec.Gang {
		end += c.config.GangTimeoutMS
	}
	return end
}

// useSpare takes the room of a run that has started beside a reservation from what is
// spare, unless the run is over before the reserved room can be used.
func (c *Core) useSpare(w *worker, s *step) {
	if holder := c.reservedFor(w); holder == nil || holder == s || c.latestEndMS(s) <= w.reservation.availableMS {
		return
	}
	w.reservation.spare = w.reservation.spare.minus(s.resources())
}
