package planner

// worker is one life of a worker and what the leader holds on it.
type worker struct {
	info WorkerInfo
	// listed is false once the directory has dropped the worker.
	listed bool
	// inherited is set for a worker that the predecessor knew; until it answers
	// or its leases must be over it may run tasks.
	inherited bool
	// dead is set when another life answers at the address.
	dead      bool
	startedMS int64

	// token goes with every call; it rises when a call's outcome is unsure.
	token uint64
	// confirmed is the highest token that a report has answered: nothing sent
	// with a lower one can be carried out any more.
	confirmed uint64

	// processedEnd is the last end that was processed, acked the last that may be
	// acknowledged.
	processedEnd, acked int64
	ackDelay            ackDelay

	holdsInFlight int
	holdSentMS    int64
	nextHoldMS    int64
	holdRequested bool
	reportedMS    int64
	reported      bool
	// unverified is set while the worker may have started anew since its last
	// report: its ends would be numbered anew, so none is acknowledged.
	unverified  bool
	clockMS     int64
	clockReadMS int64
	// leaseEndMS is the latest lease end sent, on the worker's clock.
	leaseEndMS int64
	// inheritedLeaseEndMS is when a lease of a predecessor ends at the latest.
	inheritedLeaseEndMS int64

	runs    []*run
	orphans []orphan
	used    Room
	// longRunning is the part of used that belongs to long-running tasks.
	longRunning Room
	// changedPass is the pass before which more may have come to fit.
	changedPass int64
	// runsCheckedMS is when the runs were last judged.
	runsCheckedMS int64
	// noRoomUntilMS pauses placement after a refusal for want of room.
	noRoomUntilMS    int64
	health           health
	interference     interferenceState
	planned          []plannedTail
	plannedValid     bool
	bestEffortWanted float64
	unusedCPU        float64
	demandValid      bool
	drain            drainState
}

// run is one start of a task on a worker.
type run struct {
	task   *task
	worker *worker
	number int
	phase  runPhase
	token  uint64
	sentMS int64
	// confirmedMS is when the run was known to exist.
	confirmedMS int64
	percent     int
	// progressMS is when percent last rose.
	progressMS int64
	// firstReportMS and firstPercent are the first report of the run: a run may
	// resume from a checkpoint.
	firstReportMS int64
	firstPercent  int
	// adopted is set for a run of a predecessor, whose start is not known.
	adopted bool
	// speedCheckedMS is the report by which the run's speed was last judged.
	speedCheckedMS int64
	checkpoint     string
	usage          int
	usageMS        int64
	// smoothedUsage and tail are the smoothed usage of a filling task, in thousandths of
	// a core, and tail of a serving task, against its target.
	smoothedUsage float64
	smoothedTail  float64
	// underTargetMS is when the tail was last below the target.
	underTargetMS int64
	pace          int
	targetPace    int
	paceInFlight  bool
	stopSentMS    int64
	stopReason    string
}

type runPhase int

const (
	// starting: the call has not been answered.
	starting runPhase = iota
	// startUnknown: the call may yet be carried out.
	startUnknown
	// running: the worker has confirmed the run.
	running
	// stopping: a stop has been sent; the run holds its room until its end is
	// listed.
	stopping
)

// setWorkers follows the directory.
func (c *Core) setWorkers(infos []WorkerInfo) {
	for _, w := range c.sortedWorkers {
		w.listed = false
	}
	for i := range infos {
		info := infos[i]
		w := c.workers[info.ID]
		if w == nil {
			w = &worker{token: c.epoch << tokenShift, nextHoldMS: c.now.MS}
			w.health.reset()
			c.workers[info.ID] = w
			c.sortedWorkers = append(c.sortedWorkers, w)
		}
		if w.info.ID != info.ID || w.info.Address != info.Address || w.info.Service != info.Service || w.info.Capacity != info.Capacity {
			c.markWorkerDirty(info.ID)
		}
		if info.Draining && !w.info.Draining {
			w.drain = drainState{sinceMS: c.now.MS}
			c.emit(Decision{Event: "worker_draining", Worker: info.ID})
		}
		if info.Draining && info.LeavesInMS != w.info.LeavesInMS {
			w.drain.departureMS = c.now.MS + info.LeavesInMS
		}
		if w.startedMS != 0 && info.BornMS > w.startedMS {
			// A new life under the same id: its report says what is left.
			w.nextHoldMS = c.now.MS
		}
		if w.dead && (info.Address != w.info.Address || info.BornMS > w.info.BornMS) {
			w.dead = false
		}
		w.info, w.listed = info, true
	}
	sortWorkers(c.sortedWorkers)
	c.placementDue = true
	for _, w := range c.sortedWorkers {
		c.tickWorker(w)
	}
}

// removeDeparted forgets workers that have left the directory and run nothing.
func (c *Core) removeDeparted() {
	kept := c.sortedWorkers[:0]
	for _, w := range c.sortedWorkers {
		gone := w.dead || c.now.MS-w.reportedMS > unresponsiveMS
		if w.inherited && !w.reported && !w.dead {
			gone = c.now.MS-c.termStartMS > c.inheritedLeaseMS()
		}
		if !w.listed && len(w.runs) == 0 && gone {
			delete(c.workers, w.info.ID)
			c.markWorkerDirty(w.info.ID)
			continue
		}
		kept = append(kept, w)
	}
	clear(c.sortedWorkers[len(kept):])
	c.sortedWorkers = kept
}

// tickWorker sends the next look when it is due and gives up what a silent
// worker cannot run any more.
func (c *Core) tickWorker(w *worker) {
	if w.dead {
		if w.listed && w.holdsInFlight == 0 && c.now.MS >= w.nextHoldMS {
			c.sendHold(w)
		}
		return
	}
	if w.holdsInFlight == 0 && (w.holdRequested || c.now.MS >= w.nextHoldMS) {
		c.sendHold(w)
	}
	if len(w.runs) > 0 && c.leaseExpired(w) {
		c.loseRuns(w, "lease_over")
	}
	c.checkAckDelay(w)
	c.checkRuns(w)
}

// requestHold sends a look at once, beside one that waits if need be.
func (c *Core) requestHold(w *worker) {
	if w.dead {
		return
	}
	if w.holdsInFlight == 0 {
		c.sendHold(w)
		return
	}
	w.holdRequested = true
}

func (c *Core) sendHold(w *worker) {
	w.holdRequested = false
	if c.deposed {
		w.nextHoldMS = c.now.MS
		return
	}
	w.holdsInFlight++
	w.holdSentMS = c.now.MS
	ack := w.acked
	if w.unverified && !c.disabled.verifyIncarnation {
		ack = 0
	}
	if c.disabled.recordBeforeAck {
		ack = w.processedEnd
	}
	wait := int64(holdWaitMS)
	if w.interference.nearTarget() {
		wait = nearTargetHoldWaitMS
	}
	if w.confirmed < w.token || w.processedEnd > w.acked || !w.reported || w.unverified {
		wait = 0
	}
	c.emit(Hold{
		Worker: w.info.ID, Address: w.info.Address, Token: w.token,
		AckNumber: ack, LeaseEndMS: c.nextLeaseEnd(w), WaitMS: wait,
	})
}

// nextLeaseEnd returns the end of the nextLeaseEnd to ask for now, on the worker's clock,
// or 0 while that clock is not known or the worker is silent.
func (c *Core) nextLeaseEnd(w *worker) int64 {
	if w.clockMS == 0 || c.now.MS-w.reportedMS > unresponsiveMS {
		// A worker that is gone must not keep its runs: what has been sent so far
		// counts, nothing is added.
		return 0
	}
	w.leaseEndMS = max(w.leaseEndMS, w.clockMS+(c.now.MS-w.clockReadMS)+c.config.LeaseMS)
	return w.leaseEndMS
}

// leaseExpired reports whether everything on the worker must have ended, even if
// its clock is slow.
func (c *Core) leaseExpired(w *worker) bool {
	if c.disabled.leaseWait {
		return c.now.MS-w.reportedMS > unresponsiveMS
	}
	left := float64(max(w.leaseEndMS, w.inheritedLeaseEndMS)-w.clockMS) * clockSlack
	return c.now.MS > w.clockReadMS+int64(left)+leaseMarginMS
}

func (c *Core) holdDone(e HoldDone) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	w.holdsInFlight = max(0, w.holdsInFlight-1)
	switch e.Outcome {
	case Done:
		w.dead = false
		c.handleReport(w, e)
	case OtherWorker:
		if w.movedFrom(e.Address) {
			w.unverified = true
			w.nextHoldMS = c.now.MS
			break
		}
		c.markDead(w, "other_worker")
		return
	case Fenced:
		if e.Token >= w.token {
			c.depose(w)
		}
		w.nextHoldMS = c.now.MS + holdRetryMS
	default:
		w.unverified = true
		w.nextHoldMS = c.now.MS + holdRetryMS
		if w.holdRequested {
			w.holdRequested = false
		}
	}
	if e.Outcome == Done && w.holdsInFlight == 0 {
		switch {
		case w.processedEnd > w.acked:
			w.nextHoldMS = c.now.MS + holdPollMS
			if w.holdRequested || w.confirmed < w.token {
				c.sendHold(w)
			}
		default:
			c.sendHold(w)
		}
	}
	c.checkReconciled()
}

// movedFrom reports whether the directory has another address of the worker by
// now: who answers at the former one says nothing of the worker.
func (w *worker) movedFrom(address string) bool { return address != w.info.Address }

// markDead gives up a life of a worker.
func (c *Core) markDead(w *worker, reason string) {
	w.nextHoldMS = c.now.MS + deadHoldIntervalMS
	if w.dead {
		return
	}
	w.dead = true
	c.emit(Decision{Event: "worker_dead", Worker: w.info.ID, Reason: reason})
	c.loseRuns(w, reason)
	c.checkReconciled()
}

// handleRestart starts over with a new life under the same id. The report that
// follows says which runs are gone: an order that was on its way may have
// reached the new life.
func (c *Core) handleRestart(w *worker, bornMS int64) {
	c.emit(Decision{Event: "worker_reborn", Worker: w.info.ID})
	w.startedMS, w.processedEnd, w.acked, w.clockMS, w.leaseEndMS, w.inheritedLeaseEndMS, w.confirmed = bornMS, 0, 0, 0, 0, 0, 0
	w.orphans, w.ackDelay = nil, ackDelay{}
	w.health.reset()
}
