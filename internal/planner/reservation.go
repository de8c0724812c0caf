package planner

import "slices"

// A step whose tasks fit on no worker reserves the workers on which the ends of other
// runs will make room for them. Otherwise smaller tasks would take the room as it
// becomes free and a wide task would never start.

const (
	// maxReservedWorkers is the maximum number of workers that one waiting step
	// reserves.
	maxReservedWorkers = 4
)

// reservation keeps the free room of a worker for a step during one pass.
type reservation struct {
	step *step
	pass int64
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
	if s.noFitPass == 0 || s.fullScanMS == c.now.MS {
		s.reservedWorkers = c.mostFreeWorkers(s, s.startableTasks(c, maxReservedWorkers), s.reservedWorkers[:0])
	}
	for _, w := range s.reservedWorkers {
		if c.reservedFor(w) == nil && c.lacksOnlyRoom(s, w) {
			c.reserveWorker(w, s)
		}
	}
}

func (c *Core) reserveWorker(w *worker, s *step) {
	w.reservation = reservation{step: s, pass: c.pass}
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

// reservationAdmits reports whether tasks of a step that need some room may start on a
// worker although its room may be kept for another step.
func (c *Core) reservationAdmits(s *step, w *worker, needed Resources) bool {
	holder := c.reservedFor(w)
	return holder == nil || holder == s || needed.CPUMilli == 0
}
