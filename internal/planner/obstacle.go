package planner

import "slices"

// obstacle is what keeps the tasks of a step from a worker. The order is that in which
// the log counts a worker: under the first that applies.
type obstacle int

const (
	noObstacle obstacle = iota
	otherService
	evacuatedCentre
	notRecorded
	// restarted: the worker's report and its directory entry are of different
	// incarnations.
	restarted
	notUsable
	// mayHaveRestarted: a hold call since the last report had no response. A start might
	// reach another incarnation, which would carry it out.
	mayHaveRestarted
	missingLabel
	// tooManyTasks: the worker runs as many tasks of the step as may run on one. Each
	// of them leaves room for the next one.
	tooManyTasks
	// adviserDenies: the placement adviser has denied the worker.
	adviserDenies
	coldWorker
	underSuspicion

	// The following pass: with the ends of other runs, with the reservation, with a
	// request to the adviser once there is room, and with the load of the serving tasks.
	noProcessors
	noMemory
	noAccelerators
	reservedRoom
	noTicketYet
	interferes

	obstacles
)

var obstacleNames = [obstacles]string{
	"none", "service", "evacuated", "unrecorded", "restarted", "unusable", "unverified", "label", "tasks_per_worker", "denied", "cold", "suspect",
	"processors", "memory", "accelerators", "reserved", "advice", "disturbance",
}

// String returns the obstacle's name in log lines.
func (o obstacle) String() string { return obstacleNames[o] }

// obstacle returns the first obstacle to the step's tasks on a worker that remains
// however much room there is.
func (c *Core) obstacle(s *step, w *worker) obstacle {
	switch {
	case w.info.Service != s.job.queue.Service:
		return otherService
	case !c.usable(w):
		switch {
		case c.evacuated(w):
			return evacuatedCentre
		case !w.recorded:
			return notRecorded
		case w.reported && !w.entryCurrent():
			return restarted
		}
		return notUsable
	case w.unverified && !c.disabled.currentEntry:
		return mayHaveRestarted
	case s.spec.Label != "" && !slices.Contains(w.info.Labels, s.spec.Label):
		return missingLabel
	case s.spec.MaxPerWorker > 0 && w.runsOf(s) >= s.spec.MaxPerWorker:
		return tooManyTasks
	case s.job.queue.Advised && s.advice.denies(w, c.now.MS):
		return adviserDenies
	case c.coldRoom(w) < 1:
		return coldWorker
	case !w.health.admits(c.now.MS, w.runs):
		return underSuspicion
	}
	return noObstacle
}

// hasRoom reports whether the worker may run a task of the step now, leaving
// aside the interference between best-effort and serving tasks.
func (c *Core) hasRoom(s *step, w *worker) bool {
	needed := s.resources()
	return needed.fits(w.free()) && c.obstacle(s, w) == noObstacle && c.reservationAdmits(s, w, needed) &&
		(!s.job.queue.Advised || s.advice.allows(w, c.now.MS))
}

// lacking returns which room for a task of the step a worker lacks, or noObstacle.
func (s *step) lacking(free Resources) obstacle {
	switch needed := s.resources(); {
	case needed.CPUMilli > free.CPUMilli:
		return noProcessors
	case needed.MemoryMB > free.MemoryMB:
		return noMemory
	case needed.GPU > free.GPU:
		return noAccelerators
	}
	return noObstacle
}

// ruledOutBy returns the first obstacle to the step's tasks on a worker now.
func (c *Core) ruledOutBy(s *step, w *worker) obstacle {
	if o := c.obstacle(s, w); o != noObstacle {
		return o
	}
	if o := s.lacking(w.free()); o != noObstacle {
		return o
	}
	switch {
	case !c.reservationAdmits(s, w, s.resources()):
		return reservedRoom
	case s.job.queue.Advised && !s.advice.allows(w, c.now.MS):
		return noTicketYet
	case s.spec.BestEffort && !c.mayRunBestEffort(w, s):
		return interferes
	}
	return noObstacle
}
