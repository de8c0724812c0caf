package planner

import "slices"

// gangState describes the current run of a gang; all members have the same run
// number.
type gangState struct {
	number    int
	startedMS int64
	// over is set once a member of the run has ended or counts as lost: a further
	// member could not join the others, and would start with another checkpoint.
	over bool
}

// placeGang starts all members at once, or none. A member whose start was
// rejected is placed again with the gang's run number while the others wait.
func (c *Core) placeGang(s *step) {
	active := 0
	for i := range s.tasks {
		t := &s.tasks[i]
		if c.startHeld(t) {
			return
		}
		active += len(t.runs)
	}
	if active > 0 {
		c.completeGang(s)
		return
	}
	places := c.gangPlaces(s)
	if places == nil {
		return
	}
	number := 0
	for i := range s.tasks {
		number = max(number, s.tasks[i].lastRun)
	}
	s.gang = gangState{number: number + 1, startedMS: c.now.MS}
	for i := range s.tasks {
		c.start(&s.tasks[i], places[i], s.gang.number, "gang placed")
	}
}

// completeGang places the missing members of a running gang, or stops the gang
// if they cannot join in time.
func (c *Core) completeGang(s *step) {
	incomplete := s.gang.over || c.now.MS-s.gang.startedMS > c.config.GangTimeoutMS/2
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if r.number != s.gang.number || r.phase == stopping {
				incomplete = true
			}
		}
	}
	if incomplete {
		s.stopRuns(c, func(*run) bool { return true }, "gang incomplete")
		return
	}
	for _, t := range slices.Clone(s.pending) {
		if w := c.pick(t, nil); w != nil && t.lastRun <= s.gang.number {
			c.start(t, w, s.gang.number, "gang member placed again")
		}
	}
}

// endedGang is a gang's run of which a member has ended or counts as lost.
type endedGang struct {
	step   *step
	number int
}

// gangMemberOver notes the end or the loss of one member of a gang's run: the run
// gets no further members, and the others are stopped, so that the gang starts again
// as a whole. A member whose start was rejected or not carried out is not over.
func (c *Core) gangMemberOver(t *task, number int) {
	s := t.step
	if !s.spec.Gang {
		return
	}
	if s.gang.number == number {
		s.gang.over = true
	}
	if ended := (endedGang{s, number}); !slices.Contains(c.endedGangs, ended) {
		c.endedGangs = append(c.endedGangs, ended)
	}
}

// stopEndedGangs stops the remaining members of the gangs' runs that are over. It
// runs after the event has been handled: a report may list the ends of several
// members, or that the gang is done.
func (c *Core) stopEndedGangs() {
	for _, g := range c.endedGangs {
		if g.step.job.state.Final() || g.step.done == len(g.step.tasks) {
			continue
		}
		g.step.stopRuns(c, func(r *run) bool { return r.number == g.number }, "gang member has ended")
	}
	clear(c.endedGangs)
	c.endedGangs = c.endedGangs[:0]
}

// stopRuns stops the selected runs of a step.
func (s *step) stopRuns(c *Core, selected func(*run) bool, reason string) {
	for i := range s.tasks {
		for _, r := range slices.Clone(s.tasks[i].runs) {
			if selected(r) {
				c.stopRun(r, reason)
			}
		}
	}
}

// gangPlaces returns a worker for each member, or nil if they do not all fit.
// With SameRack, racks that have room for all members are preferred.
func (c *Core) gangPlaces(s *step) []*worker {
	if s.spec.SameRack {
		for _, rack := range c.racks() {
			if places := c.fitAll(s, rack); places != nil {
				return places
			}
		}
	}
	return c.fitAll(s, "")
}

// racks returns the labels of the usable workers, sorted.
func (c *Core) racks() []string {
	var labels []string
	for _, w := range c.sortedWorkers {
		if !c.usable(w) {
			continue
		}
		for _, label := range w.info.Labels {
			if !slices.Contains(labels, label) {
				labels = append(labels, label)
			}
		}
	}
	slices.Sort(labels)
	return labels
}

func (c *Core) fitAll(s *step, rack string) []*worker {
	places := make([]*worker, 0, len(s.tasks))
	taken := map[*worker]int{}
	for i := range s.tasks {
		t := &s.tasks[i]
		var best *worker
		for _, w := range c.sortedWorkers {
			if rack != "" && !slices.Contains(w.info.Labels, rack) {
				continue
			}
			if !c.feasible(s, w) || !c.fitsCount(s, w, taken[w]+1) {
				continue
			}
			if best == nil || c.taskScore(t, w) > c.taskScore(t, best) {
				best = w
			}
		}
		if best == nil {
			return nil
		}
		taken[best]++
		places = append(places, best)
	}
	return places
}

// fitsCount reports whether the given number of further tasks of the step fit
// on a worker.
func (c *Core) fitsCount(s *step, w *worker, times int) bool {
	need := Resources{}
	for range times {
		need = need.plus(s.resources())
	}
	if s.spec.MaxPerWorker > 0 && w.runsOf(s)+times > s.spec.MaxPerWorker || c.coldRoom(w) < times {
		return false
	}
	return need.fits(w.free()) && c.reservationAdmits(s, w, need)
}
