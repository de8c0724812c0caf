package planner

// A leader that gets less processor time than its site needs handles its events
// late, and late ends of runs hurt the shortest jobs most. While it is behind, the
// planner leaves out what can wait and keeps starts, ends, leases and records going:
//
//   - passes are farther apart, so that each places what several would have;
//   - readings of serving tasks no longer train the interference model, whose
//     coefficients change within seconds; paces are still set by it;
//   - runs are not compared with a new start elsewhere, nor moved away from
//     serving tasks, both of which search all workers.

const (
	// behindMS is the lag from which the planner leaves work out, caughtUpMS that
	// below which it takes it up again.
	behindMS   = 100
	caughtUpMS = 30
	// maxPassDelayMS limits the time added between two passes.
	maxPassDelayMS = 100
	// lagDecay is the share of a lag that is kept at each tick, so that a single
	// late event does not count as being behind for long.
	lagDecay = 0.8
)

// lag is how late the planner gets its events.
type lag struct {
	smoothedMS float64
	behind     bool
	sinceMS    int64
}

// observeLag notes the lag since the last tick.
func (c *Core) observeLag(ms int64) {
	l := &c.lag
	l.smoothedMS = lagDecay*l.smoothedMS + (1-lagDecay)*float64(ms)
	switch {
	case !l.behind && l.smoothedMS >= behindMS:
		l.behind, l.sinceMS = true, c.now.MS
		c.emit(Decision{Event: "behind", Reason: "events wait for the planner", AgeMS: int64(l.smoothedMS)})
	case l.behind && l.smoothedMS < caughtUpMS:
		l.behind = false
		c.emit(Decision{Event: "caught_up", Reason: "behind for age_ms", AgeMS: c.now.MS - l.sinceMS})
	}
}

// passIntervalMS returns the minimum time between two passes.
func (c *Core) passIntervalMS() int64 {
	if !c.lag.behind {
		return minPassIntervalMS
	}
	return minPassIntervalMS + min(int64(c.lag.smoothedMS), maxPassDelayMS)
}
