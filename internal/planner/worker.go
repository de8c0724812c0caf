package planner

import "redwingvale/internal/jobs"

// worker is the leader's view of a worker: its current incarnation, lease and
// runs.
type worker struct {
	entry
	incarnation
	// listed is false once the worker is missing from the directory.
	listed bool
	// inherited is set for a worker that the predecessor recorded; it may run
	// tasks until it reports or its leases must have expired.
	inherited bool
	// addedMS is when this leader learned of the worker.
	addedMS int64
	// dead is set when another worker or incarnation responds at its address.
	dead       bool
	deadReason string
	// evacuated is set while the worker's data centre is under evacuation.
	evacuated bool
	// countedRuns is what the worker adds to evacuationState.serviceRuns of the pass
	// countedPass.
	countedPass int64
	countedRuns int
	// recorded is set while the log's record of the worker is up to date and no
	// write may replace it. Nothing starts on a worker without one: a successor may
	// find no directory entry of the worker, and must still wait for its report, or
	// for the longest lease that it may hold, before it starts tasks that it has
	// found nowhere.
	recorded bool

	// token is the fencing token of every call; it is raised when the outcome
	// of a call is unknown.
	token uint64
	// restartedMS is the Unix time at which an incarnation replaced an earlier
	// one that a leader knew; 0 if there is none.
	restartedMS int64
	// restartToken is the token that fences the calls from before the last
	// restart of the worker that this leader has noticed; 0 if there was none.
	restartToken uint64
	// fenced is set while the worker has refused the current token and the
	// leadership has not been confirmed since; fencedCount counts these refusals.
	fenced      bool
	fencedCount int

	// unacknowledged is set while the worker is listed in journal.unacknowledged.
	unacknowledged bool

	holdsInFlight int
	holdSentMS    int64
	// reportSentMS is when the hold call of the newest report was sent.
	reportSentMS  int64
	nextHoldMS    int64
	holdRequested bool
	reportedMS    int64
	reported      bool
	// firstReportMS is when the worker first reported in this term.
	firstReportMS int64
	// unverified is set while the worker may have restarted since its last
	// report. A restarted worker numbers its ends from the beginning, so none
	// is acknowledged.
	unverified bool

	runs []*run
	// findFrom is the index in runs at which findRun begins.
	findFrom int
	// ended are the runs that the worker no longer runs and whose ends it has
	// not listed yet. They hold no room, but their tasks must not start again.
	ended []*run
	// moreEnded is set while the worker may have ends that its last report does
	// not list.
	moreEnded bool
	used      Resources
	// longRunning is the part of used that long-running tasks hold.
	longRunning Resources
	reservation reservation
	// changedPass is the first pass that has to consider the worker again,
	// because more may fit on it than in the passes before.
	changedPass int64
	// runsCheckedMS is when the runs were last checked for stalls and slowness.
	runsCheckedMS    int64
	planned          []plannedTail
	plannedValid     bool
	bestEffortWanted float64
	unusedCPU        float64
	demandValid      bool
	closure          closure
}

// run is one start of a task on a worker.
type run struct {
	task *task
	// ref is the task's name.
	ref    jobs.Task
	worker *worker
	number int
	phase  runPhase
	token  uint64
	sentMS int64
	// confirmedMS is when the run was confirmed to exist.
	confirmedMS int64
	percent     int
	// progressMS is when percent last increased.
	progressMS int64
	// firstReportMS and firstPercent are the time and progress of the run's
	// first report: a run may resume from a checkpoint.
	firstReportMS int64
	firstPercent  int
	// adopted is set for a run that a predecessor started, whose start time is
	// unknown.
	adopted bool
	// backfill is set for a best-effort run that was started although its
	// predicted interference ruled out every worker.
	backfill bool
	// speedCheckedMS is the time of the report by which the run's speed was
	// last measured.
	speedCheckedMS int64
	checkpoint     string
	// checkpointPercent is the progress at which the run's last checkpoint was first
	// reported, or with which it resumed.
	checkpointPercent int
	usage             int
	usageMS           int64
	// smoothedUsage is the usage of a best-effort task in thousandths of a
	// core; smoothedTail is the tail latency of a serving task as a share of
	// its target.
	smoothedUsage float64
	smoothedTail  float64
	// underTargetMS is when smoothedTail was last below overTargetTail.
	underTargetMS int64
	pace          int
	targetPace    int
	paceInFlight  bool
	// paceUnknown is set while the last pace command had no response.
	paceUnknown bool
	stopSentMS  int64
	stopReason  string
	// over says how the run ended or why it was counted as over at overMS.
	over   string
	overMS int64
	// listedReport is the number of the last report that lists the run.
	listedReport int64
}

type runPhase int

const (
	// starting: the start call has not returned.
	starting runPhase = iota
	// startUnknown: the start got no response and may still be carried out.
	startUnknown
	// running: the worker has confirmed the run.
	running
	// stopping: a stop has been sent; the run occupies its room until the
	// worker lists its end.
	stopping
	// awaitingEnd: the worker no longer runs it, but may list its end later.
	awaitingEnd
)

// setWorkers applies the directory's current list of workers.
func (c *Core) setWorkers(infos []WorkerInfo) {
	for _, w := range c.sortedWorkers {
		w.listed = false
	}
	for i := range infos {
		info := infos[i]
		w := c.workers[info.ID]
		if w == nil {
			w = &worker{incarnation: newIncarnation(), token: max(c.epoch<<tokenShift, c.tokenFloor), nextHoldMS: c.now.MS, addedMS: c.now.MS}
			c.workers[info.ID] = w
			c.sortedWorkers = append(c.sortedWorkers, w)
		}
		if c.entryIsOld(w, &info) {
			w.listed = true
			continue
		}
		if !w.info.recordsAs(&info) {
			c.markWorkerDirty(info.ID)
		}
		if w.info.StartedMS != 0 && info.StartedMS > w.info.StartedMS {
			w.restartedMS = info.StartedMS
		}
		if w.startedMS != 0 && info.StartedMS > w.startedMS {
			// The worker has restarted with the same ID: its report shows which
			// runs are left.
			w.nextHoldMS = c.now.MS
			if info.StartedMS > w.info.StartedMS {
				// Until then it may have granted the longest lease, for calls with
				// a lease end on its former clock.
				w.inheritedLeaseEndMS = max(w.inheritedLeaseEndMS, w.clockMS+(c.now.MS-w.clockReadMS)+c.config.MaxLeaseMS)
			}
		}
		if w.dead && (info.Address != w.info.Address || info.StartedMS > w.info.StartedMS) {
			w.dead = false
		}
		if info.StartedMS != w.info.StartedMS {
			// What is recorded about the closing is about another incarnation.
			w.closure.open()
		}
		wasCurrent := !w.reported || w.entryCurrent()
		w.listed = true
		if w.entry.update(info, c.now.MS) {
			c.emit(Decision{Event: "worker_draining", Worker: info.ID})
		}
		if !wasCurrent && w.entryCurrent() {
			c.emit(Decision{Event: "worker_entry_read", Worker: info.ID, Reason: "entry of the present incarnation", AgeMS: c.now.MS - w.knownMS})
		}
		c.markEvacuated(w)
	}
	sortWorkers(c.sortedWorkers)
	c.placementDue = true
	for _, w := range c.sortedWorkers {
		c.tickWorker(w)
	}
}

// entryIsOld reports whether a directory entry is of an earlier incarnation than the
// one that runs tasks, or that the predecessor recorded and may have started tasks on.
// The list that a term begins with may be older than the log, and another writer may
// repeat an old entry; a refusal by another worker at the address in it says nothing
// about the present incarnation.
func (c *Core) entryIsOld(w *worker, info *WorkerInfo) bool {
	if w.dead || info.StartedMS >= w.info.StartedMS {
		return false
	}
	return w.inherited && !w.reported && (!c.reconciled || w.closure.held != nil) || len(w.runs)+len(w.ended) > 0
}

// removeDeparted removes workers that have left the directory and that can neither
// run nor list anything of interest.
func (c *Core) removeDeparted() {
	kept := c.sortedWorkers[:0]
	for _, w := range c.sortedWorkers {
		if c.hasDeparted(w) {
			c.logRemoved(w)
			delete(c.workers, w.info.ID)
			c.tokenFloor = max(c.tokenFloor, w.token+1)
			c.markWorkerDirty(w.info.ID)
			continue
		}
		kept = append(kept, w)
	}
	clear(c.sortedWorkers[len(kept):])
	c.sortedWorkers = kept
}

func (c *Core) hasDeparted(w *worker) bool {
	switch {
	case w.listed, len(w.runs) > 0, len(w.ended) > 0:
		return false
	case w.dead:
		return true
	case w.inherited && !w.reported:
		return c.settledMS()-c.termStartMS > c.inheritedLeaseMS(w)
	case w.processedEnd > w.ackableEnd:
		// A successor would learn of its ends from the worker only.
		return false
	case w.moreEnded, len(w.orphans) > 0:
		// Its runs and ends are not all known, or belong to a job that may still
		// become known.
		return c.leaseOverUnrenewed(w)
	}
	return c.now.MS-w.reportedMS > unresponsiveMS
}

// tickWorker sends the next hold call when it is due and releases the runs of a
// worker whose lease has expired.
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
	if len(w.runs)+len(w.ended) > 0 && c.leaseOverUnrenewed(w) {
		c.loseRuns(w, "lease_over")
	}
	c.checkAckDelay(w)
	c.checkRuns(w)
	c.checkClosed(w)
}

// restartPending reports whether the directory lists a later incarnation of the
// worker than the one that has reported.
func (w *worker) restartPending() bool { return w.startedMS != 0 && w.info.StartedMS > w.startedMS }

// requestHold sends a hold call now, or as soon as the outstanding one has
// returned.
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
	ack := w.ackableEnd
	if w.unverified && !c.disabled.verifyIncarnation {
		ack = 0
	}
	if c.disabled.recordBeforeAck {
		ack = w.processedEnd
	}
	wait := min(holdWaitMS, c.config.LeaseMS/holdsPerLease)
	if w.interference.nearTarget() {
		wait = nearTargetHoldWaitMS
	}
	if w.confirmed < w.token || w.processedEnd > w.ackableEnd || !w.reported || w.unverified {
		wait = 0
	}
	c.emit(Hold{
		Worker: w.info.ID, Address: w.info.Address, Token: w.token,
		AckNumber: ack, LeaseEndMS: c.nextLeaseEnd(w), WaitMS: wait,
	})
}

// nextLeaseEnd returns the lease end to request now, on the worker's clock. It
// returns 0 if that clock is not known yet, as after a restart, or the worker is
// unresponsive.
func (c *Core) nextLeaseEnd(w *worker) int64 {
	if w.clockMS == 0 || w.restartPending() || c.now.MS-w.reportedMS > unresponsiveMS || c.inDoubt() {
		// A worker that is gone must not keep its runs, nor one that a successor
		// may wait for: leases that were sent stay valid, but none is extended.
		return 0
	}
	w.leaseEndMS = max(w.leaseEndMS, w.clockMS+(c.now.MS-w.clockReadMS)+c.config.LeaseMS)
	return w.leaseEndMS
}

// leaseOverUnrenewed reports whether every run on the worker must have ended: the
// leases are over, and no successor had begun its term by then that could have
// renewed them.
func (c *Core) leaseOverUnrenewed(w *worker) bool {
	if c.disabled.leaseWait {
		return c.now.MS-w.reportedMS > unresponsiveMS
	}
	return c.settledMS() > c.leaseOverMS(w)
}

// leaseOverMS returns when the leases that this leader and its predecessors have
// requested of a worker are over by this clock, even if the worker's is slow.
func (c *Core) leaseOverMS(w *worker) int64 {
	remaining := float64(max(w.leaseEndMS, w.inheritedLeaseEndMS)-w.clockMS) * clockSlack
	return w.clockReadMS + int64(remaining) + leaseMarginMS
}

func (c *Core) holdDone(e HoldDone) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	if !e.Late {
		w.holdsInFlight = max(0, w.holdsInFlight-1)
	} else if w.dead || w.startedMS != 0 && e.Report.StartedMS != w.startedMS || e.Report.ClockMS <= w.clockMS {
		// Something newer is known of the worker.
		return
	}
	switch e.Outcome {
	case Done:
		w.dead = false
		c.handleReport(w, e)
	case WrongWorker:
		if w.movedFrom(e.Address) {
			w.unverified = true
			w.nextHoldMS = c.now.MS
			break
		}
		c.markDead(w, "other_worker")
		return
	case Fenced:
		c.fencedBy(w, e.Token)
		w.nextHoldMS = c.now.MS + holdRetryMS
	default:
		w.unverified = true
		// The retry serves a requested hold call too: without the pause a worker
		// that does not respond would get one in each tick.
		w.holdRequested = false
		w.nextHoldMS = c.now.MS + holdRetryMS
	}
	if e.Outcome == Done && w.holdsInFlight == 0 {
		switch {
		case w.processedEnd > w.ackableEnd:
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

// movedFrom reports whether the directory now has a different address for the
// worker: a response from its former address says nothing about it.
func (w *worker) movedFrom(address string) bool { return address != w.info.Address }

// markDead marks the current incarnation of a worker as dead and releases its
// runs.
func (c *Core) markDead(w *worker, reason string) {
	w.nextHoldMS = c.now.MS + deadHoldIntervalMS
	if w.dead {
		return
	}
	w.dead, w.deadReason, w.orphans = true, reason, nil
	c.emit(Decision{Event: "worker_dead", Worker: w.info.ID, Reason: reason})
	c.loseRuns(w, reason)
	c.checkReconciled()
}

// handleRestart resets the state of a worker that has restarted with the same
// ID. Its report then decides which runs are lost: a start in flight may have
// reached the new incarnation. Calls from before are fenced by a higher token.
func (c *Core) handleRestart(w *worker, startedMS int64) {
	c.emit(Decision{Event: "worker_reborn", Worker: w.info.ID})
	c.placementDue = true
	w.incarnation = newIncarnation()
	w.startedMS, w.knownMS = startedMS, c.now.MS
	w.closure.open()
	w.closure.unrecorded, w.closure.unmatched = nil, nil
	w.token++
	w.restartToken, w.restartedMS = w.token, startedMS
	c.markWorkerDirty(w.info.ID)
}

// noteInheritedLease bounds the leases that a worker may have granted for calls
// that were not this leader's, or that stated a lease end on the clock of a former
// incarnation. It is called with the first report that fences those calls.
func (c *Core) noteInheritedLease(w *worker) {
	lease := c.priorLeaseMS
	if w.restartToken > 0 || c.now.UnixMS-w.restartedMS < lateCallMS {
		// A lease end on the former clock lies far in the future, and the worker
		// shortens it to the longest lease.
		lease = c.config.MaxLeaseMS
	}
	w.inheritedLeaseEndMS = max(w.inheritedLeaseEndMS, w.clockMS+lease)
}
