package planner

import "redwingvale/internal/jobs"

// health tells a sick worker from sick jobs by what has ended there.
type health struct {
	// failed lists the jobs of the failures since the last success.
	failed []jobs.ID
	// suspectUntilMS keeps work away; after it the worker runs one task at a
	// time until one succeeds.
	suspectUntilMS int64
	suspect        bool
	// relativeSpeed is the smoothed speed against what was expected; 1 is normal.
	relativeSpeed   float64
	relativeSpeedMS int64
}

const (
	// failuresToSuspect is how many failures in a row, of two jobs or more,
	// make a worker suspect.
	failuresToSuspect = 3
	// suspectMS is how long a suspect worker gets nothing.
	suspectMS = 1500
	// speedDecayMS is how long a worker without runs counts as slow.
	speedDecayMS = 8000
	// speedWeight is the weight of the newest run in the smoothed speed.
	speedWeight = 0.3
)

func (h *health) reset() { *h = health{relativeSpeed: 1} }

// admits reports whether the worker may get another task.
func (h *health) admits(nowMS int64, runs []*run) bool {
	if !h.suspect {
		return true
	}
	if nowMS < h.suspectUntilMS {
		return false
	}
	for _, r := range runs {
		if r.sentMS >= h.suspectUntilMS {
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

// observeEnd learns from the end of a run.
func (c *Core) observeEnd(w *worker, r *run, kind EndKind) {
	s := r.task.step
	switch kind {
	case EndDone:
		w.health.success()
		took := float64(c.now.MS - r.confirmedMS)
		if r.confirmedMS == 0 || r.adopted || r.task.checkpoint != "" || s.spec.LongRunning {
			return
		}
		s.duration.add(took)
		c.durations.add(s, took)
	case EndFailed:
		if w.health.failure(s.job.id, c.now.MS) {
			c.emit(Decision{Event: "worker_suspect", Worker: w.info.ID, Reason: "failures in a row of several jobs"})
		}
	}
}

func (h *health) observeSpeed(speed float64, nowMS int64) {
	h.relativeSpeed += speedWeight * (min(speed, 1.5) - h.relativeSpeed)
	h.relativeSpeedMS = nowMS
}

// speed is the relative speed; without new runs it returns to normal, so that
// a worker that was slow is tried again.
func (h *health) speed(nowMS int64) float64 {
	decayed := min(float64(nowMS-h.relativeSpeedMS)/speedDecayMS, 1)
	return h.relativeSpeed + (1-h.relativeSpeed)*decayed
}

// estimate is a running mean.
type estimate struct {
	n    int
	mean float64
}

func (e *estimate) add(v float64) {
	e.n++
	e.mean += (v - e.mean) / float64(min(e.n, 50))
}

// durationModel learns how the tasks' real times relate to their estimates.
type durationModel struct{ byQueue map[string]*estimate }

func (d *durationModel) add(s *step, took float64) {
	if s.spec.EstimateMS <= 0 {
		return
	}
	e := d.byQueue[s.job.spec.Queue]
	if e == nil {
		e = &estimate{}
		d.byQueue[s.job.spec.Queue] = e
	}
	e.add(took / float64(s.spec.EstimateMS))
}

// expected is how long a task of the step takes on a sound worker, in
// milliseconds: the mean of those that are done, or the corrected estimate.
func (c *Core) expected(s *step) float64 {
	if s.duration.n >= 2 {
		return s.duration.mean
	}
	return c.durations.ratio(s.job.spec.Queue) * float64(s.spec.EstimateMS)
}

// ratio is how long the queue's tasks take against their estimates.
func (d *durationModel) ratio(queue string) float64 {
	if e := d.byQueue[queue]; e != nil && e.n >= 5 {
		return e.mean
	}
	return 1
}
