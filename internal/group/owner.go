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

// live is what the owner knows about a task with an open attempt.
type live struct {
	// leaseUntil is when the attempt's lease has expired on any worker, on the
	// owner's clock. Zero means that no lease was ever given.
	leaseUntil time.Duration
	// startBy is the largest latest start time sent, on the worker's clock of
	// the boot sentBoot. An empty sentBoot means that no start was sent.
	startBy  time.Duration
	sentBoot string
	// adopted states that an earlier owner may have sent a start.
	adopted bool
	// pending states that a record about the attempt is not read back.
	pending bool
	// refused states that the worker refused a start of the attempt.
	refused bool
	// seenRunning states that a report showed the attempt.
	seenRunning bool
	since       time.Duration
	checkpoint  string
	progress    float64
	// throttle is the wanted share in percent, 100 for no limit, and throttled
	// the one that the worker has.
	throttle  int
	throttled int
	// wantCheckpoint asks for a checkpoint before the task can be evicted.
	wantCheckpoint bool
}

func newLive(now time.Duration) *live {
	return &live{since: now, throttle: unthrottled, throttled: unthrottled}
}

// unthrottled is the throttle share that means no limit, in percent.
const unthrottled = 100

// throttleUnknown stands for a worker's share that the owner does not know.
const throttleUnknown = -1

// takeOver starts deciding in the right's epoch.
func (c *Core) takeOver() {
	c.owner = &owner{
		epoch:          c.right.Epoch,
		since:          c.now,
		ledger:         grant.NewLedger(c.opts.Grants),
		workers:        make(map[spec.WorkerID]*contact),
		submits:        make(map[spec.JobID]*pendingSubmit),
		cancels:        make(map[spec.JobID]*pendingCancel),
		receives:       make(map[spec.JobID]*pendingReceive),
		pendingVerdict: make(map[spec.WorkerID]bool),
	}
	c.lastEpoch = c.owner.epoch
	c.owner.ledger.SetEntries(c.entries)
	c.syncWorkers()
	c.state().eachJob(c.adoptJob)
	if c.owner.epoch > 1 && !c.opts.broken.noTakeOverReserve {
		c.owner.ledger.TakeOver(c.oldRightEnd(), c.departedLately())
	}
	c.owner.nextSnapshot = c.firstSnapshot()
	c.note("group_taken_over", "epoch", itoa(c.owner.epoch), "jobs", itoa(len(c.state().jobs)),
		"services_known", boolText(c.servicesKnown))
	c.contactAll()
}

// oldRightEnd bounds the end of what the earlier owner may have promised. Its
// right may have been given up early, with promises to its full end open.
func (c *Core) oldRightEnd() time.Duration {
	return c.owner.since + c.lengthened(c.opts.OwnershipLease)
}

// lengthened returns a duration that another process counts, as an upper
// bound on this clock.
func (c *Core) lengthened(d time.Duration) time.Duration {
	return d + c.guard(d) + time.Millisecond
}

// guard is the clock guard of a duration.
func (c *Core) guard(d time.Duration) time.Duration {
	return time.Duration(int64(d) / 1_000_000 * c.opts.ClockRatePPM)
}

// adoptJob hands a job's tasks to the decider and the ledger.
func (c *Core) adoptJob(j *job) {
	j.pendingIntents = 0
	j.endPending = false
	j.movePending = false
	j.cancelNext = 0
	j.startHorizon = 0
	j.nextOffer = 0
	j.endedElsewhere = false
	j.released = false
	j.since = c.now
	for i := range j.tasks {
		c.adoptTask(&j.tasks[i])
	}
	if j.cancelled && !j.ended {
		c.owner.cancelWork = append(c.owner.cancelWork, j)
	}
	if j.ended || j.movedTo != "" {
		c.owner.ended = append(c.owner.ended, j)
	}
}

func (c *Core) adoptTask(t *task) {
	t.live = nil
	switch {
	case t.active():
		t.live = newLive(c.now)
		t.live.adopted = true
		t.live.throttled = throttleUnknown
		t.live.leaseUntil = c.oldRightEnd() + c.lengthened(c.opts.TaskLease)
		if c.opts.broken.noAdoptedLease {
			t.live.leaseUntil = c.now
		}
		t.live.checkpoint = t.checkpoint
		t.live.progress = t.progress
		c.owner.ledger.Restore(t.id(), t.worker, t.job.resources())
		c.contact(t.worker).tasks[t.id()] = t
		c.decider.Restore(c.now, c.policyTask(t), t.worker)
		if t.state == taskStarting {
			t.job.startHorizon = c.oldRightEnd()
		}
	case t.state == taskWaiting && t.job.open():
		c.decider.Enqueue(c.now, c.policyTask(t))
	}
}

// resign stops deciding and forgets what is not in the log.
func (c *Core) resign(why string) {
	if c.owner == nil {
		return
	}
	c.answerAllUnsure()
	c.state().eachJob(c.releaseJob)
	for _, id := range c.owner.order {
		c.decider.RemoveWorker(c.now, id)
	}
	c.note("group_resigned", "epoch", itoa(c.owner.epoch), "why", why)
	c.owner = nil
}

// releaseJob takes a job's tasks out of the decider.
func (c *Core) releaseJob(j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.live != nil {
			c.decider.Ended(c.now, t.id(), policy.EndNotStarted, 0)
		} else if t.state == taskWaiting {
			c.decider.Dequeue(t.id())
		}
		t.live = nil
	}
}

// policyTask returns a task as the decider sees it.
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
		Submitted: j.since,
		Progress:  t.progress,
		Moves:     int(t.moves),
	}
}

func (c *Core) onWorkers(e SetWorkers) {
	c.infos = append(c.infos[:0:0], e.Workers...)
	sort.Slice(c.infos, func(i, j int) bool { return c.infos[i].Worker.ID < c.infos[j].Worker.ID })
	c.largest = e.Largest
	if c.owner != nil {
		c.syncWorkers()
	}
}

// syncWorkers brings the owner's workers in line with the platform's list. A
// worker that is gone stays as long as tasks may run on it.
func (c *Core) syncWorkers() {
	listed := make(map[spec.WorkerID]bool, len(c.infos))
	for _, info := range c.infos {
		listed[info.Worker.ID] = true
		w := c.contact(info.Worker.ID)
		w.worker = info.Worker
		w.leaving = info.Leaving
		w.listed = true
		w.seen = true
		c.owner.ledger.SetWorker(info.Worker, info.Leaving)
		for _, t := range w.ordered() {
			c.owner.ledger.Restore(t.id(), t.worker, t.job.resources())
		}
		c.offerWorker(w)
	}
	for _, id := range append(c.owner.order[:0:0], c.owner.order...) {
		if w := c.owner.workers[id]; !listed[id] {
			w.leaving = true
			w.listed = false
			c.owner.ledger.SetWorker(w.worker, true)
			c.offerWorker(w)
			c.dropWorker(w)
		}
	}
}

// offerWorker tells the decider about a worker that has reported in this
// epoch, or that a worker gets no new work.
func (c *Core) offerWorker(w *contact) {
	if w.leaving {
		c.decider.RemoveWorker(c.now, w.worker.ID)
		return
	}
	if !w.answered {
		return
	}
	c.decider.SetWorker(c.now, w.worker)
	restorer, ok := c.decider.(policy.QuarantineRestorer)
	if ok && !w.offered && c.state().quarantined[w.worker.ID] {
		restorer.RestoreQuarantine(c.now, w.worker.ID)
	}
	w.offered = true
	c.syncGranted(w.worker.ID)
}

// dropWorker forgets a worker that is no longer listed and runs nothing.
func (c *Core) dropWorker(w *contact) {
	id := w.worker.ID
	if len(w.tasks) > 0 || !c.owner.ledger.Idle(c.now, id) {
		return
	}
	c.owner.ledger.RemoveWorker(id)
	delete(c.owner.workers, id)
	at, found := slices.BinarySearch(c.owner.order, id)
	invariant.Check(found, invariant.InternalConsistency, "worker %s is not in the order", id)
	c.owner.order = slices.Delete(c.owner.order, at, at+1)
}

func (c *Core) onEntries(e SetEntries) {
	for _, entry := range c.entries {
		c.departed[entry] = c.now
	}
	c.entries = append(c.entries[:0:0], e.Entries...)
	for _, entry := range c.entries {
		delete(c.departed, entry)
	}
	if c.owner != nil {
		c.owner.ledger.SetEntries(c.entries)
	}
}

// departedLately returns the entries that left so lately that they may still
// use grants of an earlier owner.
func (c *Core) departedLately() []spec.InstanceID {
	limit := c.lengthened(c.opts.OwnershipLease + c.opts.Grants.Valid + c.opts.Grants.UrgentLimit)
	var out []spec.InstanceID
	for entry, left := range c.departed {
		if c.now-left > limit {
			delete(c.departed, entry)
			continue
		}
		out = append(out, entry)
	}
	slices.Sort(out)
	return out
}

// syncGranted tells the decider what urgent work holds or wants of a worker.
func (c *Core) syncGranted(id spec.WorkerID) {
	w := c.owner.workers[id]
	granted := c.owner.ledger.Granted(c.now, id)
	if w == nil || !w.offered || granted == w.granted {
		return
	}
	w.granted = granted
	c.decider.SetGranted(c.now, id, granted)
}

func (c *Core) onRenew(e RenewGrants) {
	if !c.deciding() {
		c.emit(Reply{Request: e.Request, Code: code.NotOwner})
		return
	}
	right := grant.Right{Epoch: c.right.Epoch, Until: c.right.Until}
	grants := c.owner.ledger.Renew(c.now, right, e.Renewal)
	for _, id := range c.owner.order {
		c.syncGranted(id)
	}
	c.emit(Reply{Request: e.Request, Code: code.OK, Grants: grants})
}
