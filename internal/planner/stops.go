package planner

import "slices"

// Reasons for which the planner stops a run although its task is still wanted.
const (
	stopDraining     = "worker is draining"
	stopStalled      = "no progress"
	stopSlow         = "slow"
	stopInterference = "interferes with serving tasks"
)

// stopPauseMS is the minimum time between two stops of a task for the same reason
// while the overload control is on.
const stopPauseMS = 3000

// taskStop is the last stop of a task for one reason.
type taskStop struct {
	reason string
	atMS   int64
}

// stopForReplacement stops a run whose task is to run elsewhere. While the overload
// control is on, the task then comes before those of its step that never ran.
func (c *Core) stopForReplacement(r *run, reason string) {
	if c.config.Overload {
		t := r.task
		t.stopped = true
		if i := slices.IndexFunc(t.stops, func(s taskStop) bool { return s.reason == reason }); i >= 0 {
			t.stops[i].atMS = c.now.MS
		} else {
			t.stops = append(t.stops, taskStop{reason, c.now.MS})
		}
	}
	c.stopRun(r, reason)
}

// mayStopAgain reports whether enough time has passed since the task was last
// stopped for the same reason.
func (c *Core) mayStopAgain(t *task, reason string) bool {
	return !slices.ContainsFunc(t.stops, func(s taskStop) bool {
		return s.reason == reason && c.now.MS-s.atMS < stopPauseMS
	})
}

// mustLeaveNow reports whether a draining worker may be gone by the time at which the
// task could be stopped again.
func (c *Core) mustLeaveNow(w *worker) bool {
	return w.drain.departureMS > 0 && c.now.MS+stopPauseMS+c.config.StopTimeoutMS+drainMoveLeadMS >= w.drain.departureMS
}

// lostWork returns the work in milliseconds that a stop loses because it was done
// after the run's last checkpoint; 0 while the overload control is off.
func (c *Core) lostWork(r *run) float64 {
	if !c.config.Overload {
		return 0
	}
	return c.expectedDuration(r.task.step) * float64(max(r.percent-r.checkpointPercent, 0)) / 100
}

// queuePosition returns where a task joins the waiting tasks of its step: one that
// the planner has stopped follows the others that it has stopped.
func (s *step) queuePosition(t *task) int {
	if t.stopped {
		if i := slices.IndexFunc(s.pending, func(other *task) bool { return !other.stopped }); i >= 0 {
			return i
		}
	}
	return len(s.pending)
}
