package planner

// The planner acts on evidence of its leadership. A leader that has lost both the
// log and most members cannot know whether a successor has begun its term and
// taken over the runs on workers that it no longer reaches. It therefore renews no
// lease and starts nothing once the evidence is older than LeadershipLeaseMS, and
// it counts a lease as over only by evidence from after its end. A successor waits
// for LeadershipLeaseMS and the last lease before it starts a task that it has
// found nowhere.

// leadershipUnlimited reports whether the leadership needs no evidence.
func (c *Core) leadershipUnlimited() bool {
	return c.config.LeadershipLeaseMS == 0 || c.disabled.leadershipLease
}

// ledUntilMS returns the latest time until which this instance is known to have
// been the leader. What has ended by then cannot have been renewed by a successor.
func (c *Core) ledUntilMS() int64 {
	if c.leadershipUnlimited() {
		return c.now.MS
	}
	return min(c.now.MS, c.leadershipMS)
}

// settledMS returns the time up to which silence has a meaning: everything received
// until then has been handled, and no successor had begun its term. A report from
// before a later time may still be waiting to be handled.
func (c *Core) settledMS() int64 { return min(c.ledUntilMS(), c.handledMS) }

// inDoubt reports whether a successor may have begun its term.
func (c *Core) inDoubt() bool {
	return !c.leadershipUnlimited() && c.now.MS-c.leadershipMS > c.config.LeadershipLeaseMS
}

// commandsWithheld reports whether no task may start now.
func (c *Core) commandsWithheld() bool {
	return c.suspended || c.inDoubt() || c.evacuationsAwaited()
}

// checkLeadership logs the beginning and the end of a doubt.
func (c *Core) checkLeadership() {
	doubted := c.inDoubt()
	if doubted == c.doubted {
		return
	}
	c.doubted = doubted
	event := "leadership_doubted"
	if !doubted {
		event = "leadership_regained"
		c.placementDue = true
	}
	c.emit(Decision{Event: event, Reason: "no newer leader as of", AgeMS: c.now.MS - c.leadershipMS})
}
