package group

import (
	"slices"
	"sort"
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/grant"
	"redwingvale/internal/invariant"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// attemptState is the owner's volatile state of a task's open attempt.
type attemptState struct {
	// leaseUntil is the time, on the owner's clock, by which the attempt's
	// lease has expired on any worker. Zero means that no lease was granted.
	leaseUntil time.Duration
	// startBy is the latest StartBy sent to the worker, on the clock of the
	// worker's boot sentBoot. An empty sentBoot means that no start was sent.
	startBy  time.Duration
	sentBoot string
	// adopted is set if an earlier owner may have sent a start.
	adopted bool
	// recordPending is set while a record about the attempt has been written
	// but not read back.
	recordPending bool
	// startRefused is set if the worker refused to start the attempt.
	startRefused bool
	// reportedRunning is set once the worker has reported the attempt as running.
	reportedRunning bool
	runningSince    time.Duration
	checkpoint      string
	progress        float64
	// wantedThrottle is the wanted share in percent, 100 for no limit, and
	// sentThrottle the one that was sent to the worker.
	wantedThrottle int
	sentThrottle   int
	// needsCheckpoint is set when the task must write a checkpoint before it can
	// be stopped.
	needsCheckpoint bool
}

func newAttemptState(now time.Duration) *attemptState {
	return &attemptState{runningSince: now, wantedThrottle: unthrottled, sentThrottle: unthrottled}
}

// unthrottled is the throttle share that means no limit, in percent.
const unthrottled = 100

// throttleUnknown marks that the share in effect on the worker is unknown.
const throttleUnknown = -1

// takeOver starts an ownership in the epoch of the ownership lease.
func (c *Core) takeOver() {
	c.owner = &owner{
		epoch:             c.ownershipLease.Epoch,
		takenOverAt:       c.now,
		ledger:            grant.NewLedger(c.opts.Grants),
		workers:           make(map[spec.WorkerID]*workerState),
		pendingSubmits:    make(map[spec.JobID]*pendingSubmit),
		pendingCancels:    make(map[spec.JobID]*pendingCancel),
		pendingReceives:   make(map[spec.JobID]*pendingReceive),
		pendingQuarantine: make(map[spec.WorkerID]bool),
	}
	c.lastEpoch = c.owner.epoch
	c.owner.ledger.SetEntries(c.entries)
	c.syncWorkers()
	c.state().eachJob(c.adoptJob)
	if c.owner.epoch > 1 && !c.opts.mutations.noTakeOverReserve {
		c.owner.ledger.TakeOver(c.previousLeaseEnd(), c.recentlyDepartedEntries())
	}
	c.owner.nextSnapshot = c.firstSnapshotTime()
	c.logEvent("group_taken_over", "epoch", itoa(c.owner.epoch), "jobs", itoa(len(c.state().jobs)),
		"services_known", formatBool(c.servicesKnown))
	c.sendDueBatches()
}

// previousLeaseEnd returns an upper bound on the end of the previous owner's
// ownership lease. It uses the full lease, since an owner that released the
// group early may have sent commands and grants that last to the full end.
func (c *Core) previousLeaseEnd() time.Duration {
	return c.owner.takenOverAt + c.withClockDrift(c.opts.OwnershipLease)
}

// withClockDrift returns an upper bound, on this clock, of a duration that
// another process measures on its own clock.
func (c *Core) withClockDrift(d time.Duration) time.Duration {
	return d + c.clockDrift(d) + time.Millisecond
}

// clockDrift returns the largest difference that two clocks can accumulate over
// a duration.
func (c *Core) clockDrift(d time.Duration) time.Duration {
	return time.Duration(int64(d) / 1_000_000 * c.opts.ClockRatePPM)
}

// adoptJob resets a job's volatile state and registers its tasks with the
// decider and the ledger.
func (c *Core) adoptJob(j *job) {
	j.pendingIntents = 0
	j.endPending = false
	j.handOffPending = false
	j.nextCancelTask = 0
	j.startHorizon = 0
	j.nextResend = 0
	j.endedElsewhere = false
	j.forgottenBySource = false
	j.phaseSince = c.now
	for i := range j.tasks {
		c.adoptTask(&j.tasks[i])
	}
	if j.cancelled && !j.ended {
		c.owner.cancelQueue = append(c.owner.cancelQueue, j)
	}
	if j.ended || j.movedTo != "" {
		c.owner.closedJobs = append(c.owner.closedJobs, j)
	}
}

func (c *Core) adoptTask(t *task) {
	t.attemptState = nil
	switch {
	case t.active():
		t.attemptState = newAttemptState(c.now)
		t.attemptState.adopted = true
		t.attemptState.sentThrottle = throttleUnknown
		t.attemptState.leaseUntil = c.previousLeaseEnd() + c.withClockDrift(c.opts.TaskLease)
		if c.opts.mutations.noAdoptedLease {
			t.attemptState.leaseUntil = c.now
		}
		t.attemptState.checkpoint = t.checkpoint
		t.attemptState.progress = t.progress
		c.owner.ledger.Restore(t.id(), t.worker, t.job.resources())
		c.ensureWorker(t.worker).tasks[t.id()] = t
		c.decider.Restore(c.now, c.policyTask(t), t.worker)
		if t.state == taskStarting {
			t.job.startHorizon = c.previousLeaseEnd()
		}
	case t.state == taskWaiting && t.job.open():
		c.decider.Enqueue(c.now, c.policyTask(t))
	}
}

// resign ends the ownership and discards its volatile state.
func (c *Core) resign(why string) {
	if c.owner == nil {
		return
	}
	c.refusePendingRequests()
	c.state().eachJob(c.removeFromDecider)
	for _, id := range c.owner.workerOrder {
		c.decider.RemoveWorker(c.now, id)
	}
	c.logEvent("group_resigned", "epoch", itoa(c.owner.epoch), "why", why)
	c.owner = nil
}

// removeFromDecider removes a job's tasks from the decider.
func (c *Core) removeFromDecider(j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.attemptState != nil {
			c.decider.Ended(c.now, t.id(), policy.EndNotStarted, 0)
		} else if t.state == taskWaiting {
			c.decider.Dequeue(t.id())
		}
		t.attemptState = nil
	}
}

// policyTask converts a task to the form that the decider takes.
func (c *Core) policyTask(t *task) policy.Task {
	j := t.job
	var deadline time.Duration
	if ms := j.spec.GetDeadlineUnixMs(); ms != 0 {
		deadline = max(time.Duration(ms-c.opts.UnixMSAtZero)*time.Millisecond, 1)
	}
	return policy.Task{
		ID:        t.id(),
		Attempt:   t.attempt,
		Service:   spec.ServiceID(j.spec.GetService()),
		Class:     spec.Class(j.spec.GetClass()),
		Kind:      j.spec.GetKind(),
		Resources: j.resources(),
		RunTime:   time.Duration(j.spec.GetRunTimeMs()) * time.Millisecond,
		Deadline:  deadline,
		Submitted: j.phaseSince,
		Progress:  t.progress,
		Moves:     int(t.moves),
	}
}

func (c *Core) onSetWorkers(e SetWorkers) {
	c.workerInfos = append(c.workerInfos[:0:0], e.Workers...)
	sort.Slice(c.workerInfos, func(i, j int) bool { return c.workerInfos[i].Worker.ID < c.workerInfos[j].Worker.ID })
	c.largestWorker = e.Largest
	if c.owner != nil {
		c.syncWorkers()
	}
}

// syncWorkers updates the owner's workers from the platform's list. A worker
// that is no longer listed is kept as long as tasks may run on it.
func (c *Core) syncWorkers() {
	listed := make(map[spec.WorkerID]bool, len(c.workerInfos))
	for _, info := range c.workerInfos {
		listed[info.Worker.ID] = true
		w := c.ensureWorker(info.Worker.ID)
		w.worker = info.Worker
		w.leaving = info.Leaving
		w.listed = true
		w.seen = true
		c.owner.ledger.SetWorker(info.Worker, info.Leaving)
		for _, t := range w.sortedTasks() {
			c.owner.ledger.Restore(t.id(), t.worker, t.job.resources())
		}
		c.registerWorker(w)
	}
	for _, id := range append(c.owner.workerOrder[:0:0], c.owner.workerOrder...) {
		if w := c.owner.workers[id]; !listed[id] {
			w.leaving = true
			w.listed = false
			c.owner.ledger.SetWorker(w.worker, true)
			c.registerWorker(w)
			c.removeIdleWorker(w)
		}
	}
}

// registerWorker registers a worker with the decider once it has reported in
// this epoch, or removes it if it is leaving.
func (c *Core) registerWorker(w *workerState) {
	if w.leaving {
		c.decider.RemoveWorker(c.now, w.worker.ID)
		return
	}
	if !w.reachable {
		return
	}
	c.decider.SetWorker(c.now, w.worker)
	restorer, ok := c.decider.(policy.QuarantineRestorer)
	if ok && !w.registered && c.state().quarantined[w.worker.ID] {
		restorer.RestoreQuarantine(c.now, w.worker.ID)
	}
	w.registered = true
	c.syncGranted(w.worker.ID)
}

// removeIdleWorker removes an unlisted worker once it has no tasks and the
// ledger holds nothing for it.
func (c *Core) removeIdleWorker(w *workerState) {
	id := w.worker.ID
	if len(w.tasks) > 0 || !c.owner.ledger.Idle(c.now, id) {
		return
	}
	c.owner.ledger.RemoveWorker(id)
	delete(c.owner.workers, id)
	at, found := slices.BinarySearch(c.owner.workerOrder, id)
	invariant.Check(found, invariant.InternalConsistency, "worker %s is missing from the sorted worker ids", id)
	c.owner.workerOrder = slices.Delete(c.owner.workerOrder, at, at+1)
}

func (c *Core) onSetEntries(e SetEntries) {
	for _, entry := range c.entries {
		c.departedEntries[entry] = c.now
	}
	c.entries = append(c.entries[:0:0], e.Entries...)
	for _, entry := range c.entries {
		delete(c.departedEntries, entry)
	}
	if c.owner != nil {
		c.owner.ledger.SetEntries(c.entries)
	}
}

// recentlyDepartedEntries returns the entries that left so recently that they
// may still use grants of an earlier owner.
func (c *Core) recentlyDepartedEntries() []spec.InstanceID {
	limit := c.withClockDrift(c.opts.OwnershipLease + c.opts.Grants.GrantDuration + c.opts.Grants.UrgentLimit)
	var out []spec.InstanceID
	for entry, left := range c.departedEntries {
		if c.now-left > limit {
			delete(c.departedEntries, entry)
			continue
		}
		out = append(out, entry)
	}
	slices.Sort(out)
	return out
}

// syncGranted updates the decider with the resources of a worker that urgent
// work holds or wants.
func (c *Core) syncGranted(id spec.WorkerID) {
	w := c.owner.workers[id]
	granted := c.owner.ledger.UrgentDemand(c.now, id)
	if w == nil || !w.registered || granted == w.granted {
		return
	}
	w.granted = granted
	c.decider.SetGranted(c.now, id, granted)
}

func (c *Core) onRenewGrants(e RenewGrants) {
	if !c.deciding() {
		c.emit(Reply{Request: e.Request, Code: code.NotOwner})
		return
	}
	lease := grant.OwnershipLease{Epoch: c.ownershipLease.Epoch, Until: c.ownershipLease.Until}
	grants := c.owner.ledger.Renew(c.now, lease, e.Renewal)
	for _, id := range c.owner.workerOrder {
		c.syncGranted(id)
	}
	c.emit(Reply{Request: e.Request, Code: code.OK, Grants: grants})
}
