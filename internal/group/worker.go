package group

import (
	"slices"
	"sort"
	"time"

	"redwingvale/internal/invariant"
	"redwingvale/internal/platform"
	"redwingvale/internal/spec"
)

// workerState is the owner's volatile state of one worker.
type workerState struct {
	worker  spec.Worker
	leaving bool
	// listed is set while the platform lists the worker, seen once it has listed
	// it in this ownership. The list may be older than the worker, so a worker
	// that was never seen gets no new work, and its tasks run until their leases
	// end.
	listed bool
	seen   bool
	// reachable is set while the worker has reported in this epoch and is not
	// considered unreachable. registered is set once the worker has been
	// registered with the decider.
	reachable  bool
	registered bool
	granted    spec.Resources
	boot       string
	// clock is the worker's clock in the report that arrived at clockReadAt.
	clock       time.Duration
	clockReadAt time.Duration
	// batchInFlight is the serial of the batch in flight, or 0.
	batchInFlight uint64
	nextPoll      time.Duration
	// batchDue is set if a batch is to be sent before the next poll.
	batchDue bool
	// lastBatchFailed is set if the last batch got no response.
	lastBatchFailed bool
	tasks           map[spec.TaskID]*task
	// startBy holds the latest StartBy sent for each attempt, on the worker's
	// clock, until the attempt is forgotten.
	startBy map[attemptKey]time.Duration
	// closedAttempts are attempts that the worker still reports but that are no
	// longer open.
	closedAttempts []platform.TaskReport
	// earlyStarts are start commands that an owner under the mutation
	// startBeforeReadBack sends before the intent is read back.
	earlyStarts []platform.Command
}

type attemptKey struct {
	task    spec.TaskID
	attempt spec.Attempt
}

// ensureWorker returns the state of a worker and creates it if there is none.
func (c *Core) ensureWorker(id spec.WorkerID) *workerState {
	w, ok := c.owner.workers[id]
	if ok {
		return w
	}
	w = &workerState{
		worker:  spec.Worker{ID: id},
		leaving: true,
		tasks:   make(map[spec.TaskID]*task),
		startBy: make(map[attemptKey]time.Duration),
	}
	c.owner.workers[id] = w
	at, _ := slices.BinarySearch(c.owner.workerOrder, id)
	c.owner.workerOrder = slices.Insert(c.owner.workerOrder, at, id)
	return w
}

// sortedTasks returns the worker's tasks in a deterministic order.
func (w *workerState) sortedTasks() []*task {
	out := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool { return lessTask(out[i], out[j]) })
	return out
}

func lessTask(a, b *task) bool {
	if a.job.id.Team != b.job.id.Team {
		return a.job.id.Team < b.job.id.Team
	}
	if a.job.id.Name != b.job.id.Name {
		return a.job.id.Name < b.job.id.Name
	}
	return a.index < b.index
}

// sendDueBatches sends a batch to each worker that is due.
func (c *Core) sendDueBatches() {
	if !c.deciding() {
		return
	}
	for _, id := range c.owner.workerOrder {
		w := c.owner.workers[id]
		if w.batchInFlight == 0 && (w.batchDue && !w.lastBatchFailed || c.now >= w.nextPoll) {
			c.sendBatch(w)
		}
	}
}

// sendBatch sends a worker all its outstanding commands. The first batch of an
// ownership has none: it makes the worker report and fence off earlier owners.
func (c *Core) sendBatch(w *workerState) {
	invariant.Check(c.deciding(), invariant.SingleExecution, "batch to %s without a valid ownership lease", w.worker.ID)
	c.lastSerial++
	w.batchInFlight = c.lastSerial
	w.batchDue = false
	w.nextPoll = c.now + c.opts.PollEvery
	batch := platform.CommandBatch{
		Worker: w.worker.ID,
		Epoch:  c.owner.epoch,
		Boot:   w.boot,
	}
	if c.opts.mutations.noWorkerFence {
		batch.Epoch = 1
	}
	if c.opts.mutations.noBoot {
		batch.Boot = ""
	}
	if w.reachable {
		batch.Commands = c.commands(w)
	}
	c.emit(Send{Serial: w.batchInFlight, Worker: w.worker, Batch: batch})
}

// commands derives the commands for a worker from the state.
func (c *Core) commands(w *workerState) []platform.Command {
	out := append([]platform.Command(nil), w.earlyStarts...)
	w.earlyStarts = nil
	for _, t := range w.sortedTasks() {
		out = append(out, c.taskCommands(w, t)...)
	}
	for _, r := range w.closedAttempts {
		out = append(out, c.closedAttemptCommands(w, r)...)
	}
	return out
}

func (c *Core) taskCommands(w *workerState, t *task) []platform.Command {
	a := t.attemptState
	var out []platform.Command
	switch {
	case a.reportedRunning:
		out = append(out, c.renewCommand(w, t))
	case c.mayStart(w, t):
		return append(out, c.issueStart(w, t))
	case !a.adopted && a.sentBoot == "":
		return nil
	}
	command := platform.Command{Task: t.id(), Attempt: t.attempt}
	if t.state == taskStopping || t.job.cancelled {
		command.Kind = platform.CommandStop
		command.Grace = c.opts.StopGrace
		return append(out, command)
	}
	if a.needsCheckpoint && a.reportedRunning {
		a.needsCheckpoint = false
		command.Kind = platform.CommandCheckpoint
		out = append(out, command)
	}
	if a.wantedThrottle != a.sentThrottle && a.reportedRunning {
		command.Kind = platform.CommandThrottle
		command.ThrottlePercent = a.wantedThrottle
		a.sentThrottle = a.wantedThrottle
		out = append(out, command)
	}
	return out
}

// mayStart reports whether a start command for the task's attempt may be sent
// now.
func (c *Core) mayStart(w *workerState, t *task) bool {
	a := t.attemptState
	if t.state != taskStarting || a.adopted || a.startRefused || a.recordPending || t.job.cancelled {
		return false
	}
	return w.boot == t.boot && (a.sentBoot == "" || a.sentBoot == w.boot)
}

// issueStart returns the start command and records the latest time at which it
// can take effect.
func (c *Core) issueStart(w *workerState, t *task) platform.Command {
	a := t.attemptState
	invariant.Check(t.state == taskStarting && t.worker == w.worker.ID && t.epoch == c.owner.epoch,
		invariant.SingleExecution, "start of %s attempt %d on %s without a recorded intent", t.id(), t.attempt, w.worker.ID)
	startBy := c.toWorkerClock(w, c.ownershipLease.Until)
	a.startBy = max(a.startBy, startBy)
	if c.opts.mutations.noLatestStart {
		startBy += time.Hour
	}
	a.sentBoot = w.boot
	key := attemptKey{task: t.id(), attempt: t.attempt}
	w.startBy[key] = a.startBy
	t.job.startHorizon = max(t.job.startHorizon, c.ownershipLease.Until)
	return c.startCommand(w, t, t.attempt, startBy)
}

func (c *Core) startCommand(w *workerState, t *task, attempt spec.Attempt, startBy time.Duration) platform.Command {
	j := t.job
	return platform.Command{
		Kind:       platform.CommandStart,
		Task:       t.id(),
		Attempt:    attempt,
		LeaseEnd:   c.leaseEnd(w, t),
		StartBy:    startBy,
		Resources:  j.resources(),
		Class:      spec.Class(j.spec.GetClass()),
		JobKind:    j.spec.GetKind(),
		RunTime:    time.Duration(j.spec.GetRunTimeMs()) * time.Millisecond,
		Checkpoint: t.checkpoint,
		Payload:    j.spec.GetPayload(),
	}
}

func (c *Core) renewCommand(w *workerState, t *task) platform.Command {
	return platform.Command{
		Kind:     platform.CommandRenew,
		Task:     t.id(),
		Attempt:  t.attempt,
		LeaseEnd: c.leaseEnd(w, t),
	}
}

// leaseEnd returns the end of the task's lease on the worker's clock and records
// it. The lease is counted from the end of the ownership lease, not from now.
func (c *Core) leaseEnd(w *workerState, t *task) time.Duration {
	end := c.ownershipLease.Until + c.opts.TaskLease
	if t.attemptState != nil {
		t.attemptState.leaseUntil = max(t.attemptState.leaseUntil, end)
	}
	if c.opts.mutations.leaseFromReceipt {
		return -c.opts.TaskLease
	}
	return c.toWorkerClock(w, end)
}

// toWorkerClock converts a time on the owner's clock to a reading that the
// worker's clock reaches no later than that.
func (c *Core) toWorkerClock(w *workerState, at time.Duration) time.Duration {
	ahead := max(at-w.clockReadAt, 0)
	return w.clock + ahead - c.clockDrift(ahead) - time.Microsecond
}

// closedAttemptCommands returns the command that stops a closed attempt or, once
// it has stopped, makes the worker forget it.
func (c *Core) closedAttemptCommands(w *workerState, r platform.TaskReport) []platform.Command {
	command := platform.Command{Task: r.Task, Attempt: r.Attempt}
	if r.State == platform.TaskRunning {
		command.Kind = platform.CommandStop
		return []platform.Command{command}
	}
	if !w.mayForget(&r) {
		return nil
	}
	delete(w.startBy, attemptKey{task: r.Task, attempt: r.Attempt})
	command.Kind = platform.CommandForget
	return []platform.Command{command}
}

// mayForget reports whether every start command sent for the attempt is past its
// StartBy. A worker that has forgotten an attempt would take a delayed start
// command for a new attempt.
func (w *workerState) mayForget(r *platform.TaskReport) bool {
	startBy, sent := w.startBy[attemptKey{task: r.Task, attempt: r.Attempt}]
	return !sent || w.clock > startBy
}
