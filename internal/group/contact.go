package group

import (
	"slices"
	"sort"
	"time"

	"redwingvale/internal/invariant"
	"redwingvale/internal/platform"
	"redwingvale/internal/spec"
)

// contact is what the owner knows about one worker.
type contact struct {
	worker  spec.Worker
	leaving bool
	// listed states that the platform still lists the worker; seen that it has
	// listed it in this ownership. The list may be older than the worker, so one
	// that was never seen gets no new work, and its tasks run until their leases
	// end.
	listed bool
	seen   bool
	// answered states that the worker reported in this epoch; offered that the
	// decider knows it.
	answered bool
	offered  bool
	granted  spec.Resources
	boot     string
	// clock is the worker's reading in the report that arrived at clockAt.
	clock   time.Duration
	clockAt time.Duration
	// open is the serial of the batch under way, or 0.
	open     uint64
	nextPoll time.Duration
	// urgent asks for a batch before the next poll.
	urgent bool
	// failing states that the last batch got no answer.
	failing bool
	tasks   map[spec.TaskID]*task
	// startBy holds for each started attempt the largest latest start time
	// sent, on the worker's clock, until the attempt is forgotten.
	startBy map[attemptKey]time.Duration
	// over are attempts that the worker still lists and that are over.
	over []platform.TaskReport
	// early are starts that a broken owner sends before its intent is read.
	early []platform.Command
}

type attemptKey struct {
	task    spec.TaskID
	attempt spec.Attempt
}

// contact returns the book of a worker, new if there is none.
func (c *Core) contact(id spec.WorkerID) *contact {
	w, ok := c.owner.workers[id]
	if ok {
		return w
	}
	w = &contact{
		worker:  spec.Worker{ID: id},
		leaving: true,
		tasks:   make(map[spec.TaskID]*task),
		startBy: make(map[attemptKey]time.Duration),
	}
	c.owner.workers[id] = w
	at, _ := slices.BinarySearch(c.owner.order, id)
	c.owner.order = slices.Insert(c.owner.order, at, id)
	return w
}

// ordered returns the worker's tasks in a fixed order.
func (w *contact) ordered() []*task {
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

// contactAll sends a batch to each worker that is due.
func (c *Core) contactAll() {
	if !c.deciding() {
		return
	}
	for _, id := range c.owner.order {
		w := c.owner.workers[id]
		if w.open == 0 && (w.urgent && !w.failing || c.now >= w.nextPoll) {
			c.send(w)
		}
	}
}

// send sends a worker everything that is to be done there. The first batch of
// an ownership is empty: it makes the worker refuse earlier owners and report.
func (c *Core) send(w *contact) {
	invariant.Check(c.deciding(), invariant.OnePlaceAtATime, "batch to %s without a right", w.worker.ID)
	c.nextSerial++
	w.open = c.nextSerial
	w.urgent = false
	w.nextPoll = c.now + c.opts.PollEvery
	batch := platform.CommandBatch{
		Worker: w.worker.ID,
		Epoch:  c.owner.epoch,
		Boot:   w.boot,
	}
	if c.opts.broken.noWorkerFence {
		batch.Epoch = 1
	}
	if c.opts.broken.noBoot {
		batch.Boot = ""
	}
	if w.answered {
		batch.Commands = c.commands(w)
	}
	c.emit(Send{Serial: w.open, Worker: w.worker, Batch: batch})
}

// commands derives from the state what a worker is to do.
func (c *Core) commands(w *contact) []platform.Command {
	out := append([]platform.Command(nil), w.early...)
	w.early = nil
	for _, t := range w.ordered() {
		out = append(out, c.taskCommands(w, t)...)
	}
	for _, r := range w.over {
		out = append(out, c.overCommands(w, r)...)
	}
	return out
}

func (c *Core) taskCommands(w *contact, t *task) []platform.Command {
	l := t.live
	var out []platform.Command
	switch {
	case l.seenRunning:
		out = append(out, c.renewal(w, t))
	case c.mayStart(w, t):
		return append(out, c.start(w, t))
	case !l.adopted && l.sentBoot == "":
		return nil
	}
	command := platform.Command{Task: t.id(), Attempt: t.attempt}
	if t.state == taskStopping || t.job.cancelled {
		command.Kind = platform.CommandStop
		command.Grace = c.opts.StopGrace
		return append(out, command)
	}
	if l.wantCheckpoint && l.seenRunning {
		l.wantCheckpoint = false
		command.Kind = platform.CommandCheckpoint
		out = append(out, command)
	}
	if l.throttle != l.throttled && l.seenRunning {
		command.Kind = platform.CommandThrottle
		command.ThrottlePercent = l.throttle
		l.throttled = l.throttle
		out = append(out, command)
	}
	return out
}

// mayStart reports whether a start of the task's attempt may be sent now.
func (c *Core) mayStart(w *contact, t *task) bool {
	l := t.live
	if t.state != taskStarting || l.adopted || l.refused || l.pending || t.job.cancelled {
		return false
	}
	return w.boot == t.boot && (l.sentBoot == "" || l.sentBoot == w.boot)
}

// start makes the start command and books the latest time at which it can take
// effect.
func (c *Core) start(w *contact, t *task) platform.Command {
	l := t.live
	invariant.Check(t.state == taskStarting && t.worker == w.worker.ID && t.epoch == c.owner.epoch,
		invariant.OnePlaceAtATime, "start of %s attempt %d on %s without its intent", t.id(), t.attempt, w.worker.ID)
	startBy := c.onWorkerClock(w, c.right.Until)
	l.startBy = max(l.startBy, startBy)
	if c.opts.broken.noLatestStart {
		startBy += time.Hour
	}
	l.sentBoot = w.boot
	key := attemptKey{task: t.id(), attempt: t.attempt}
	w.startBy[key] = l.startBy
	t.job.startHorizon = max(t.job.startHorizon, c.right.Until)
	return c.startCommand(w, t, t.attempt, startBy)
}

func (c *Core) startCommand(w *contact, t *task, attempt spec.Attempt, startBy time.Duration) platform.Command {
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

func (c *Core) renewal(w *contact, t *task) platform.Command {
	return platform.Command{
		Kind:     platform.CommandRenew,
		Task:     t.id(),
		Attempt:  t.attempt,
		LeaseEnd: c.leaseEnd(w, t),
	}
}

// leaseEnd returns the lease end on the worker's clock and books it. It counts
// from the end of the owner's confirmed right, not from now.
func (c *Core) leaseEnd(w *contact, t *task) time.Duration {
	end := c.right.Until + c.opts.TaskLease
	if t.live != nil {
		t.live.leaseUntil = max(t.live.leaseUntil, end)
	}
	if c.opts.broken.leaseFromReceipt {
		return -c.opts.TaskLease
	}
	return c.onWorkerClock(w, end)
}

// onWorkerClock turns a time on the owner's clock into a reading that the
// worker's clock reaches no later.
func (c *Core) onWorkerClock(w *contact, at time.Duration) time.Duration {
	ahead := max(at-w.clockAt, 0)
	return w.clock + ahead - c.guard(ahead) - time.Microsecond
}

// overCommands stops and forgets an attempt that is over.
func (c *Core) overCommands(w *contact, r platform.TaskReport) []platform.Command {
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

// mayForget reports whether no start of the attempt can arrive any more. A
// worker that forgot an attempt would take a late start for a new one.
func (w *contact) mayForget(r *platform.TaskReport) bool {
	startBy, sent := w.startBy[attemptKey{task: r.Task, attempt: r.Attempt}]
	return !sent || w.clock > startBy
}
