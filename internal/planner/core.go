package planner

import (
	"cmp"
	"slices"

	"redwingvale/internal/jobs"
)

// Core is the state of one leader's term. It is owned by one goroutine.
type Core struct {
	config Config
	book   *jobs.Book
	epoch  uint64
	now    Time
	// termMS is when the term began.
	termMS int64
	// priorLeaseMS is how long a predecessor's lease lasts from its order on.
	priorLeaseMS int64
	// settled is set once every worker has answered, or has had its chance to.
	settled bool

	queues map[string]*Queue
	// configured is set once the configuration has been read in this term.
	configured bool
	workers    map[WorkerID]*worker
	// order holds the workers sorted by id.
	order []*worker
	jobs  map[jobs.ID]*job
	// early holds the ends of runs of jobs that are not submitted yet.
	early map[jobs.ID][]jobs.EarlyEnd
	// ready holds the steps with tasks that wait for a worker.
	ready []*step
	// scheduled holds the occurrences that are not due yet.
	scheduled []*step
	// suspended holds orders back while the leadership is in doubt.
	suspended bool
	// deposed is set once a worker has refused an order for a newer token.
	deposed bool
	// wake is set when a waiting task may fit now.
	wake        bool
	scheduledMS int64
	// reserved are the workers that keep room for a step of this pass.
	// formerlyReserved is the same of the pass before.
	reserved, formerlyReserved map[*worker]*step

	learned durations
	disturb *disturbance
	journal journal
	// pass numbers the passes over the waiting tasks.
	pass int64
	// usedBuffer and marginBuffer are reused by the disturbance model.
	usedBuffer   used
	marginBuffer []margin
	// off switches single safeguards off; only tests set it.
	off     safeguards
	effects []Effect
}

// safeguards names the mechanisms that a test can switch off to show that the
// random runs notice their loss.
type safeguards struct {
	// leaseWait: runs of a silent worker wait for the end of its lease.
	leaseWait bool
	// recordFirst: an end is acknowledged after it is recorded.
	recordFirst bool
	// settleStart: a start without an answer waits for a report.
	settleStart bool
	// earlyEnds: ends of unknown jobs are recorded.
	earlyEnds bool
	// settleTerm: a new leader waits for the workers' reports.
	settleTerm bool
	// stepOrder: a step waits for its predecessors.
	stepOrder bool
	// budget: a job ends when its attempts are used up.
	budget bool
	// knownBound: a bound of attempts decides once it is known.
	knownBound bool
	// lowestBound: before that, no failed task starts again.
	lowestBound bool
	// judgeAgain: a configuration judges the failures that were counted before.
	judgeAgain bool
	// stopUnknown: runs of unknown jobs are stopped after a while.
	stopUnknown bool
	// acknowledgeIdle: ends that change nothing need no write.
	acknowledgeIdle bool
	// verifyLife: nothing is acknowledged to a worker that may be a new life.
	verifyLife bool
}

// New returns the core for the term of the given epoch. The book must hold
// every record up to the claim of the term.
func New(config Config, book *jobs.Book, epoch uint64, now Time) *Core {
	c := &Core{
		config:  config,
		book:    book,
		epoch:   epoch,
		now:     now,
		termMS:  now.MS,
		settled: config.FirstTerm,
		queues:  map[string]*Queue{},
		workers: map[WorkerID]*worker{},
		jobs:    map[jobs.ID]*job{},
		early:   map[jobs.ID][]jobs.EarlyEnd{},
		learned: durations{byQueue: map[string]*estimate{}},
		disturb: newDisturbance(),

		reserved:         map[*worker]*step{},
		formerlyReserved: map[*worker]*step{},
	}
	c.priorLeaseMS = cmp.Or(config.PriorLeaseMS, config.MaxLeaseMS)
	ids := make([]jobs.ID, 0, len(book.Jobs))
	for id := range book.Jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if ends := book.Jobs[id].EarlyEnds; len(ends) > 0 {
			c.early[id] = slices.Clone(ends)
		}
		c.adoptJob(id, !config.FirstTerm)
		c.noteFinal(id)
	}
	c.inheritWorkers()
	if len(book.Learned) > 0 {
		if err := c.disturb.restore(book.Learned); err != nil {
			c.emit(Decision{Event: "learned_invalid", Reason: err.Error()})
		}
	}
	slices.SortStableFunc(c.journal.final, func(a, b finalJob) int { return cmp.Compare(a.atMS, b.atMS) })
	return c
}

// noteFinal plans the removal of a job that was final before the term.
func (c *Core) noteFinal(id jobs.ID) {
	entry := c.book.Jobs[id]
	switch {
	case c.jobs[id] != nil:
	case entry.Progress != nil:
		age := max(0, c.now.UnixMS-entry.Progress.EndedMS)
		c.journal.final = append(c.journal.final, finalJob{id, c.now.MS - age})
	case len(entry.EarlyEnds) > 0:
		c.journal.final = append(c.journal.final, finalJob{id, c.now.MS})
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
			c.observe(id)
		}
	case WriteDone:
		c.writeDone(e.Seq)
	case WriteRejected:
		c.writeRejected(e.Seq)
	case Suspended:
		c.suspended = true
	case LeadershipConfirmed:
		c.suspended, c.deposed, c.wake = false, false, true
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
	c.settle()
	c.releaseDue()
	if c.now.MS-c.scheduledMS >= scheduleEveryMS {
		c.wake = true
	}
	for _, w := range c.order {
		c.tickWorker(w)
	}
	c.dropGone()
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
	entry := c.book.Known(id)
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
