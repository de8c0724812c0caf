package planner

// Backfill keeps every best-effort job moving while its service has plenty of
// room but the predicted interference rules out all workers. A job of which
// nothing runs gets one run on the worker that tolerates it best. The run uses
// the margin that the other best-effort tasks leave: it comes last when paces
// are set, until the job has waited so long that it comes first.
const (
	// backfillLoad is the share of a service's processors that may be reserved
	// while its jobs are backfilled: no job may stand still while half of them
	// are free. On a fuller service more runs would only slow each other down.
	backfillLoad = 0.5
	// backfillAfterMS is how long a step waits before it is backfilled.
	backfillAfterMS = 1000
	// starvationMS is the age of an overdue job from which its backfilled runs
	// come first when paces are set.
	starvationMS = 30_000
)

// backfill starts one task of a best-effort step that fits nowhere, if nothing
// of its job runs.
func (c *Core) backfill(s *step) {
	if !s.spec.BestEffort || !c.standsStill(s) {
		return
	}
	for _, t := range s.pending {
		if !c.mayStart(t) {
			continue
		}
		if w := c.pickBackfill(t); w != nil {
			c.start(t, w, t.lastRun+1, "backfilled").backfill = true
		}
		return
	}
}

// pickBackfill returns the worker that has processor time left for a
// best-effort task and whose serving tasks tolerate it best, or nil.
func (c *Core) pickBackfill(t *task) *worker {
	var best *worker
	bestScore := 0.0
	for _, w := range c.sortedWorkers {
		if !c.hasRoom(t.step, w) || c.bestEffortShare(w, t.step.spec.CPUMilli) < 1 {
			continue
		}
		if score := c.taskScore(t, w); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// reservedShare returns the share of a service's processors that is reserved,
// as of the current pass.
func (c *Core) reservedShare(service string) float64 {
	load := c.loadOf(service)
	return float64(load.used) / float64(max(load.capacity, 1))
}

// loadOf returns the load of a service's usable workers, as of the current pass.
func (c *Core) loadOf(service string) *serviceLoad {
	if c.serviceLoads.pass != c.pass {
		c.serviceLoads.pass = c.pass
		for _, load := range c.serviceLoads.byService {
			*load = serviceLoad{}
		}
		for _, w := range c.sortedWorkers {
			if c.usable(w) {
				load := c.serviceLoads.of(w.info.Service)
				load.workers++
				load.used += w.used.CPUMilli
				load.capacity += w.info.Capacity.CPUMilli
			}
		}
	}
	return c.serviceLoads.of(service)
}

// serviceLoads caches the loads of all services for one pass.
type serviceLoads struct {
	pass      int64
	byService map[string]*serviceLoad
}

func (l *serviceLoads) of(service string) *serviceLoad {
	load := l.byService[service]
	if load == nil {
		load = &serviceLoad{}
		l.byService[service] = load
	}
	return load
}

// serviceLoad is the number of a service's usable workers, their processors and the
// part of these that runs hold, in thousandths of a core, and the number of workers on
// which waiting steps have reserved room.
type serviceLoad struct{ workers, used, capacity, reserved int }

// standsStill reports whether nothing of the step's job runs and it has waited for a
// while, although at least half of its service's processors are free.
func (c *Core) standsStill(s *step) bool {
	return c.now.MS-s.pendingSinceMS >= backfillAfterMS && !s.job.hasRuns() &&
		c.reservedShare(s.job.queue.Service) <= backfillLoad
}

// hasRuns reports whether any task of the job has an active run.
func (j *job) hasRuns() bool {
	for s := range j.steps() {
		if s.activeRuns > 0 {
			return true
		}
	}
	return false
}

// Ranks in which the best-effort runs of a worker get their paces, besides the
// lateness classes of their steps.
const (
	starvingRank = onTime - 1
	backfillRank = overdue + 1
)

// paceRank returns the rank of a best-effort run when paces are set.
func (c *Core) paceRank(r *run) int {
	class := c.lateness(r.task.step)
	switch {
	case !r.backfill:
		return class
	case class == overdue && c.now.MS-r.task.step.job.arrivedMS >= starvationMS:
		return starvingRank
	}
	return backfillRank
}

// plannedUse returns the share of the worker's processors that placement
// assumes for a best-effort run. A backfilled run yields to the others, so it
// counts at its current pace.
func (c *Core) plannedUse(w *worker, r *run) float64 {
	use := c.fullPaceUse(w, r)
	if r.backfill {
		use *= float64(r.pace) / 100
	}
	return use
}
