package planner

import (
	"cmp"
	"slices"

	"redwingvale/internal/jobs"
)

// Core is the state of one leader's term. It is owned by one goroutine.
type Core struct {
	config       Config
	stateMachine *jobs.Book
	epoch        uint64
	now          Time
	// termStartMS is when the term began.
	termStartMS int64
	// priorLeaseMS is how long a predecessor's lease lasts from its order on.
	priorLeaseMS int64
	// reconciled is set once every worker has answered, or has had its chance to.
	reconciled bool

	queues map[string]*Queue
	// configured is set once the configuration has been read in this term.
	configured bool
	workers    map[WorkerID]*worker
	// sortedWorkers holds the workers sorted by id.
	sortedWorkers []*worker
	jobs          map[jobs.ID]*job
	// earlyEnds holds the ends of runs of jobs that are not submitted yet.
	earlyEnds map[jobs.ID][]jobs.EarlyEnd
	// ready holds the steps with tasks that wait for a worker.
	ready []*step
	// scheduled holds the occurrences that are not due yet.
	scheduled []*step
	// suspended holds orders back while the leadership is in doubt.
	suspended bool
	// deposed is set once a worker has refused an order for a newer token.
	deposed bool
	// placementDue is set when a waiting task may fit now.
	placementDue bool
	scheduledMS  int64
	// reserved are the workers that keep room for a step of this pass.
	// previouslyReserved is the same of the pass before.
	reserved, previouslyReserved map[*worker]*step

	durations    durationModel
	interference *interferenceModel
	journal      journal
	// pass numbers the passes over the waiting tasks.
	pass int64
	// useBuffer and marginBuffer are reused by the disturbance model.
	useBuffer    bestEffortUse
	marginBuffer []margin
	// disabled switches single safeguards disabled; only tests set it.
	disabled safeguards
	effects  []Effect
}

// safeguards names the mechanisms that a test can switch off to show that the
// random runs notice their loss.
type safeguards struct {
	// leaseWait: runs of a silent worker wait for the end of its lease.
	leaseWait bool
	// recordBeforeAck: an end is acknowledged after it is recorded.
	recordBeforeAck bool
	// resolveStart: a start without an answer waits for a report.
	resolveStart bool
	// earlyEnds: ends of unknown jobs are recorded.
	earlyEnds bool
	// reconcileWorkers: a new leader waits for the workers' reports.
	reconcileWorkers bool
	// stepOrder: a step waits for its predecessors.
	stepOrder bool
	// attemptLimit: a job ends when its attempts are used up.
	attemptLimit bool
	// confirmedLimit: a bound of attempts decides once it is known.
	confirmedLimit bool
	// lowestLimit: before that, no failed task starts again.
	lowestLimit bool
	// recheckFailures: a configuration judges the failures that were counted before.
	recheckFailures bool
	// stopOrphans: runs of unknown jobs are stopped after a while.
	stopOrphans bool
	// ackUnrecorded: ends that change nothing need no write.
	ackUnrecorded bool
	// verifyIncarnation: nothing is acknowledged to a worker that may be a new life.
	verifyIncarnation bool
}

// New returns the core for the term of the given epoch. The book must hold
// every record up to the claim of the term.
func New(config Config, book *jobs.Book, epoch uint64, now Time) *Core {
	c := &Core{
		config:       config,
		stateMachine: book,
		epoch:        epoch,
		now:          now,
		termStartMS:  now.MS,
		reconciled:   config.FirstTerm,
		queues:       map[string]*Queue{},
		workers:      map[WorkerID]*worker{},
		jobs:         map[jobs.ID]*job{},
		earlyEnds:    map[jobs.ID][]jobs.EarlyEnd{},
		durations:    durationModel{byQueue: map[string]*estimate{}},
		interference: newInterferenceModel(),

		reserved:           map[*worker]*step{},
		previouslyReserved: map[*worker]*step{},
	}
	c.priorLeaseMS = cmp.Or(config.PriorLeaseMS, config.MaxLeaseMS)
	ids := make([]jobs.ID, 0, len(book.Jobs))
	for id := range book.Jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if ends := book.Jobs[id].EarlyEnds; len(ends) > 0 {
			c.earlyEnds[id] = slices.Clone(ends)
		}
		c.adoptJob(id, !config.FirstTerm)
		c.schedulePurge(id)
	}
	c.inheritWorkers()
	if len(book.Learned) > 0 {
		if err := c.interference.restore(book.Learned); err != nil {
			c.emit(Decision{Event: "learned_invalid", Reason: err.Error()})
		}
	}
	slices.SortStableFunc(c.journal.purgeQueue, func(a, b purgeEntry) int { return cmp.Compare(a.finalMS, b.finalMS) })
	return c
}

// schedulePurge plans the removal of a job that was final before the term.
func (c *Core) schedulePurge(id jobs.ID) {
	entry := c.stateMachine.Jobs[id]
	switch {
	case c.jobs[id] != nil:
	case entry.Progress != nil:
		age := max(0, c.now.UnixMS-entry.Progress.EndedMS)
		c.journal.purgeQueue = append(c.journal.purgeQueue, purgeEntry{id, c.now.MS - age})
	case len(entry.EarlyEnds) > 0:
		c.journal.purgeQueue = append(c.journal.purgeQueue, purgeEntry{id, c.now.MS})
	}
}

// Step takes an event and returns what is to be done. The effects are valid
// until the next call.
func (c *Core) Step(now Time, e Event) []Effect {
	c.effects = c.effects[:0]
	c.now = now
	switch e := e.(type) {
	case Tick:
		c.tick()
	case QueuesChanged:
		c.setQueues(e.Queues)
	case WorkersChanged:
		c.setWorkers(e.Workers)
	case SubmitRequested:
		c.submit(e)
	case CancelRequested:
		c.cancel(e)
	case RecordsRead:
		for _, id := range e.Jobs {
			c.recordRead(id)
		}
	case WriteDone:
		c.writeDone(e.Seq)
	case WriteRejected:
		c.writeRejected(e.Seq)
	case Suspended:
		c.suspended = true
	case LeadershipConfirmed:
		c.suspended, c.deposed, c.placementDue = false, false, true
	case HoldDone:
		c.holdDone(e)
	case StartDone:
		c.startDone(e)
	case StopDone:
		c.stopDone(e)
	case PaceDone:
		c.paceDone(e)
	case AdviceDone:
		c.adviceDone(e)
	}
	c.schedule()
	c.flush()
	return c.effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// depose stops all orders after a worker has refused one for a newer token.
func (c *Core) depose(w *worker) {
	if c.deposed {
		return
	}
	c.suspended, c.deposed = true, true
	c.emit(Deposed{Worker: w.info.ID})
}

func (c *Core) tick() {
	if c.deposed {
		return
	}
	c.checkReconciled()
	c.releaseDue()
	if c.now.MS-c.scheduledMS >= scheduleEveryMS {
		c.placementDue = true
	}
	for _, w := range c.sortedWorkers {
		c.tickWorker(w)
	}
	c.removeDeparted()
	c.purge()
}

// Waiting returns the number of a queue's accepted jobs of which no task has
// started.
func (c *Core) Waiting(queue string) int {
	n := 0
	for _, j := range c.jobs {
		if j.spec.Queue == queue && !j.started && !j.state.Final() && j.recorded && j.spec.Repeat == 0 {
			n++
		}
	}
	return n
}

// State returns what a caller is told of a job; ok is false for a job that
// the book does not know.
func (c *Core) State(id jobs.ID) (state jobs.State, ok bool) {
	entry := c.stateMachine.Known(id)
	if entry == nil {
		return "", false
	}
	state = entry.State()
	if j := c.jobs[id]; j != nil && state == jobs.Queued && j.started {
		state = jobs.Active
	}
	return state, true
}

func sortWorkers(workers []*worker) {
	slices.SortFunc(workers, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
}
