package planner

import "strconv"

// ackWarnMS is half of the shortest time within which operators expect the end
// of a run to be acknowledged (4 s); a longer delay is logged.
const ackWarnMS = 2000

// ackDelay tracks how long the ends of a worker's runs have waited to be
// acknowledged.
type ackDelay struct {
	// sinceMS is when the wait started; 0 while no end waits.
	sinceMS int64
	// logged is set once the delay has been logged.
	logged bool
}

// checkAckDelay logs a long delay with its cause, and later its end.
func (c *Core) checkAckDelay(w *worker) {
	wait := &w.ackDelay
	if w.processedEnd <= w.ackableEnd {
		if wait.logged {
			c.emit(Decision{Event: "ends_acknowledged", Worker: w.info.ID, AgeMS: c.now.MS - wait.sinceMS})
		}
		*wait = ackDelay{}
		return
	}
	if wait.sinceMS == 0 {
		wait.sinceMS = c.now.MS
	}
	if !wait.logged && c.now.MS-wait.sinceMS >= ackWarnMS {
		wait.logged = true
		c.emit(Decision{Event: "ends_wait", Worker: w.info.ID, Reason: c.ackBlockedBy(w), AgeMS: c.now.MS - wait.sinceMS})
	}
}

// ackBlockedBy returns what delays the acknowledgement of a worker's ends.
func (c *Core) ackBlockedBy(w *worker) string {
	waiting := " waiting=" + strconv.FormatInt(w.processedEnd-w.ackableEnd, 10)
	switch {
	case c.suspended:
		return "leadership unconfirmed" + waiting
	case c.doubted:
		return "leadership in doubt" + waiting
	case c.journal.outstanding:
		return "write outstanding for " + strconv.FormatInt(c.now.MS-c.journal.lastWriteMS, 10) + " ms, dirty jobs " + strconv.Itoa(len(c.journal.dirty)) + waiting
	default:
		return "not recorded yet" + waiting
	}
}
