package planner

import "redwingvale/internal/jobs"

// health distinguishes an unhealthy worker from failing jobs by the runs that
// have ended on the worker.
type health struct {
	// failed lists the jobs of the failures since the last success.
	failed []jobs.ID
	// suspectUntilMS is the time until which the worker gets no tasks. From
	// then on it is tried with one task at a time until one succeeds.
	suspectUntilMS int64
	suspect        bool
	// relativeSpeed is the smoothed ratio of measured to expected speed; 1 is
	// normal.
	relativeSpeed   float64
	relativeSpeedMS int64
}

const (
	// failuresToSuspect is the number of consecutive failures, of at least two
	// jobs, that make a worker suspect.
	failuresToSuspect = 3
	// suspectMS is how long a suspect worker gets no tasks.
	suspectMS = 1500
	// trialMS is how long a trial keeps further tasks from a suspect worker. A
	// long task, a gang that waits for its members or a paused best-effort task
	// would otherwise keep the worker idle for as long as it lasts.
	trialMS = 2000
	// servingTrialMS is how long a long-running task must have served to count as
	// a success: it never ends as done.
	servingTrialMS = 1000
	// speedDecayMS is how long a slow worker without runs takes to return to
	// normal speed.
	speedDecayMS = 8000
	// speedWeight is the weight of the newest reading in the smoothed speed.
	speedWeight = 0.3
)

// admits reports whether the worker may get another task.
func (h *health) admits(nowMS int64, runs []*run) bool {
	if !h.suspect {
		return true
	}
	if nowMS < h.suspectUntilMS {
		return false
	}
	for _, r := range runs {
		if r.sentMS >= h.suspectUntilMS && nowMS-r.sentMS < trialMS {
			return false
		}
	}
	return true
}

func (h *health) markSuspect(nowMS int64) {
	h.suspect = true
	h.suspectUntilMS = nowMS + suspectMS
}

func (h *health) refused(nowMS int64) { h.markSuspect(nowMS) }

func (h *health) success() {
	h.failed = h.failed[:0]
	h.suspect = false
}

func (h *health) failure(id jobs.ID, nowMS int64) bool {
	h.failed = append(h.failed, id)
	if h.suspect {
		h.suspectUntilMS = nowMS + suspectMS
		return false
	}
	if len(h.failed) < failuresToSuspect {
		return false
	}
	for _, other := range h.failed {
		if other != id {
			h.markSuspect(nowMS)
			h.failed = h.failed[len(h.failed)-failuresToSuspect:]
			return true
		}
	}
	return false
}

// observeServing ends the suspicion of a worker whose trial is a long-running task
// that has served for a while.
func (c *Core) observeServing(r *run) {
	h := &r.worker.health
	if h.suspect && r.task.step.spec.LongRunning && r.sentMS >= h.suspectUntilMS && r.percent >= 100 && c.now.MS-r.progressMS >= servingTrialMS {
		h.success()
		c.placementDue = true
	}
}

// observeEnd updates the health of a worker and the duration estimates with the
// end of a run.
func (c *Core) observeEnd(w *worker, r *run, kind EndKind) {
	s := r.task.step
	switch kind {
	case EndDone:
		w.health.success()
		durationMS := float64(c.now.MS - r.confirmedMS)
		if r.confirmedMS == 0 || r.adopted || r.task.checkpoint != "" || s.spec.LongRunning {
			return
		}
		s.duration.add(durationMS)
		c.durations.add(s, durationMS)
	case EndFailed:
		if w.health.failure(s.job.id, c.now.MS) {
			c.emit(Decision{Event: "worker_suspect", Worker: w.info.ID, Reason: "consecutive failures of several jobs"})
		}
	}
}

func (h *health) observeSpeed(speed float64, nowMS int64) {
	h.relativeSpeed += speedWeight * (min(speed, 1.5) - h.relativeSpeed)
	h.relativeSpeedMS = nowMS
}

// speed returns the relative speed; without new readings it returns to normal,
// so that a worker that was slow is tried again.
func (h *health) speed(nowMS int64) float64 {
	decayed := min(float64(nowMS-h.relativeSpeedMS)/speedDecayMS, 1)
	return h.relativeSpeed + (1-h.relativeSpeed)*decayed
}

// estimate is a running mean in which a new value has a weight of at least
// 1/50.
type estimate struct {
	n    int
	mean float64
}

func (e *estimate) add(v float64) {
	e.n++
	e.mean += (v - e.mean) / float64(min(e.n, 50))
}

// durationModel learns the ratio of actual to estimated task durations for each
// queue.
type durationModel struct{ byQueue map[string]*estimate }

func (d *durationModel) add(s *step, durationMS float64) {
	if s.spec.EstimateMS <= 0 {
		return
	}
	e := d.byQueue[s.job.spec.Queue]
	if e == nil {
		e = &estimate{}
		d.byQueue[s.job.spec.Queue] = e
	}
	e.add(durationMS / float64(s.spec.EstimateMS))
}

// expectedDuration returns how long a task of the step takes on a healthy
// worker, in milliseconds: the mean of the finished tasks, or the corrected
// estimate.
func (c *Core) expectedDuration(s *step) float64 {
	if s.duration.n >= 2 {
		return s.duration.mean
	}
	return c.durations.durationRatio(s.job.spec.Queue) * float64(s.spec.EstimateMS)
}

// durationRatio returns the mean ratio of actual to estimated durations of the
// queue's tasks, or 1 while there are fewer than 5.
func (d *durationModel) durationRatio(queue string) float64 {
	if e := d.byQueue[queue]; e != nil && e.n >= 5 {
		return e.mean
	}
	return 1
}
