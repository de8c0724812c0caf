package planner

import (
	"cmp"
	"slices"

	"redwingvale/internal/jobs"
	"redwingvale/internal/overload"
)

// Core holds the scheduling state of one leader's term. It is not safe for
// concurrent use: one goroutine owns it.
type Core struct {
	config       Config
	stateMachine *jobs.StateMachine
	epoch        uint64
	now          Time
	// termStartMS is when the term began.
	termStartMS int64
	// priorLeaseMS is how long a lease granted by the predecessor lasts,
	// counted from the call that granted it.
	priorLeaseMS int64
	// reconciled is set once every worker has reported or the leases of those
	// that have not reported must have expired.
	reconciled bool

	// unsettled are the closed workers of the predecessor that may still run one of
	// the tasks listed in their records, heldTasks these tasks.
	unsettled []*worker
	heldTasks map[jobs.Task]bool

	queues map[string]*Queue
	// configured is set once the configuration has been read in this term.
	configured bool
	workers    map[WorkerID]*worker
	// tokenFloor is above every token of the workers that were removed in this
	// term: one of them may return and must not be called with a lower token.
	tokenFloor uint64
	// sortedWorkers holds the workers sorted by id.
	sortedWorkers []*worker
	jobs          map[jobs.ID]*job
	// earlyEnds holds the ends of runs whose jobs have not been submitted yet.
	earlyEnds map[jobs.ID][]jobs.EarlyEnd
	// ready holds the steps that have tasks waiting for a worker.
	ready []*step
	// scheduled holds the steps of occurrences that were built before they are due,
	// schedules the jobs with occurrences that have not been built yet.
	scheduled []*step
	schedules scheduleQueue
	// extraBytes is the memory of the occurrences that are open beside another one
	// of their job, unrecordedBytes that of jobs whose submission is not recorded.
	extraBytes, unrecordedBytes int64
	drain                       drainMeter
	// overload is the model of the backlog; nil if Config.Overload is off.
	overload         *overload.Model
	overloadWarnedMS int64
	statusBuffer     []overload.Status
	advice           adviceQueue
	// suspended is set while the leadership is unconfirmed; commands are
	// withheld.
	suspended bool
	// leadershipMS is the latest time at which no newer leader had begun its
	// term; doubted is set while it is too long ago.
	leadershipMS int64
	doubted      bool
	// deposed is set once a worker has rejected a command because it has seen a
	// newer token.
	deposed bool
	// compareSteps replaces the order of the waiting steps of one priority; only
	// tests set it.
	compareSteps func(a, b *step) int
	// placementDue is set when a waiting task may fit on a worker now.
	placementDue bool
	lastPassMS   int64
	// reservations are the workers whose free room is kept in this pass, with
	// the step it is kept for; previousReservations is the same for the previous
	// pass.
	reservations, previousReservations []reservedWorker

	lag         lag
	takeoverLog takeoverLog
	// runsTwice holds the second runs that have been logged.
	runsTwice map[workerRun]bool
	// handledMS is the time up to which everything received had been handled at
	// the last tick.
	handledMS    int64
	serviceLoads serviceLoads
	durations    durationModel
	interference *interferenceModel
	evacuation   evacuationState
	journal      journal
	// work counts what the passes have done.
	work Work
	// pass is the number of the current pass over the waiting tasks, rescanMS the
	// time after which its steps consider all workers again.
	pass, rescanMS int64
	// urgentSteps is the number of waiting steps that every pass tries to place.
	urgentSteps int
	// otherSteps is the number of the others that it tries in turn.
	otherSteps int64
	// changed are the workers that have changed since the pass before it,
	// changedNext those that have changed since it began.
	changed, changedNext []*worker
	// reports counts the reports of workers.
	reports int64
	// endedGangs are the gangs' runs that the current event has shown to be over.
	endedGangs []endedGang
	// runBuffer holds the runs of the worker whose report or runs are checked.
	runBuffer []*run
	// candidates are the workers that may run a task of the step that is being
	// placed; pendingBuffer holds its waiting tasks meanwhile.
	candidates    []candidate
	pendingBuffer []*task
	orderBuffer   []orderKey
	// useBuffer, marginBuffer and paceBuffer are scratch buffers of the interference model.
	useBuffer    bestEffortUse
	marginBuffer []margin
	paceBuffer   []pacedRun
	// endBuffer holds the expected ends of a worker's runs.
	endBuffer []expectedEnd
	// disabled lists the safeguards that a test has turned off.
	disabled safeguards
	effects  []Effect
}

// safeguards lists the mechanisms that a test can disable to show that the
// random runs detect their absence.
type safeguards struct {
	// leaseWait: runs on an unresponsive worker count as lost only when its
	// lease has expired.
	leaseWait bool
	// recordBeforeAck: an end is acknowledged only after it is recorded.
	recordBeforeAck bool
	// resolveStart: a start without a response stays unresolved until a report
	// shows whether it was carried out.
	resolveStart bool
	// earlyEnds: ends of unknown jobs are recorded.
	earlyEnds bool
	// reconcileWorkers: a new leader waits for the workers' reports.
	reconcileWorkers bool
	// stepOrder: a step waits for its predecessors.
	stepOrder bool
	// attemptLimit: a job fails when a task has used up its attempts.
	attemptLimit bool
	// confirmedLimit: an attempt limit ends a job only once the configuration
	// confirms it.
	confirmedLimit bool
	// lowestLimit: until the limit is confirmed, no failed task starts again.
	lowestLimit bool
	// recheckFailures: a new configuration is applied to failures that were
	// counted before it.
	recheckFailures bool
	// awaitFailures: a new leader starts no task again before it knows all of its
	// failures.
	awaitFailures bool
	// stopOrphans: runs of unknown jobs are stopped after a grace period.
	stopOrphans bool
	// ackUnrecorded: ends that change nothing are acknowledged without a write.
	ackUnrecorded bool
	// leadershipLease: the leader acts on evidence of its leadership only.
	leadershipLease bool
	// verifyIncarnation: no end is acknowledged to a worker that may have
	// restarted since its last report.
	verifyIncarnation bool
	// refuseUnknown: only submissions that are new to the log and to the leader are
	// refused.
	refuseUnknown bool
	// withdrawUntouched: only a submission of which nothing was started is withdrawn.
	withdrawUntouched bool
	// recordWorkers: nothing starts on a worker whose address is not recorded.
	recordWorkers bool
	// heldTasks: the tasks that a closed worker may still run do not start before
	// it is settled.
	heldTasks bool
	// evacuation: nothing starts in a data centre under evacuation.
	evacuation bool
	// currentEntry: nothing starts on a worker whose entry or report may be of another
	// incarnation than the present one.
	currentEntry bool
	// backfill: tasks that delay no other step run beside reservations.
	backfill bool
}

// New returns the core for the term of the given epoch. The state machine must
// hold every record up to the claim of the term.
func New(config Config, stateMachine *jobs.StateMachine, epoch uint64, now Time) *Core {
	c := &Core{
		config:       config,
		stateMachine: stateMachine,
		epoch:        epoch,
		now:          now,
		termStartMS:  now.MS,
		reconciled:   config.FirstTerm,
		queues:       map[string]*Queue{},
		workers:      map[WorkerID]*worker{},
		jobs:         map[jobs.ID]*job{},
		earlyEnds:    map[jobs.ID][]jobs.EarlyEnd{},
		serviceLoads: serviceLoads{byService: map[string]*serviceLoad{}},
		durations:    durationModel{byQueue: map[string]*estimate{}},
		interference: newInterferenceModel(),
	}
	if config.Overload {
		c.overload = overload.New(now.MS)
	}
	c.priorLeaseMS = cmp.Or(config.PriorLeaseMS, config.MaxLeaseMS)
	ids := make([]jobs.ID, 0, len(stateMachine.Jobs))
	for id := range stateMachine.Jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if ends := stateMachine.Jobs[id].EarlyEnds; len(ends) > 0 {
			c.earlyEnds[id] = slices.Clone(ends)
		}
		c.adoptJob(id, !config.FirstTerm)
		c.schedulePurge(id)
	}
	c.inheritWorkers()
	if len(stateMachine.InterferenceModel) > 0 {
		if err := c.interference.restore(stateMachine.InterferenceModel); err != nil {
			c.emit(Decision{Event: "learned_invalid", Reason: err.Error()})
		}
	}
	slices.SortStableFunc(c.journal.purgeQueue, func(a, b purgeEntry) int { return cmp.Compare(a.finalMS, b.finalMS) })
	return c
}

// schedulePurge queues the records of a job that was final before the term for
// removal.
func (c *Core) schedulePurge(id jobs.ID) {
	entry := c.stateMachine.Jobs[id]
	switch {
	case c.jobs[id] != nil:
	case entry.Progress != nil:
		age := max(0, c.now.UnixMS-entry.Progress.EndedMS)
		c.journal.purgeQueue = append(c.journal.purgeQueue, purgeEntry{id, c.now.MS - age})
	case len(entry.EarlyEnds) > 0, entry.Cancelled:
		c.journal.purgeQueue = append(c.journal.purgeQueue, purgeEntry{id, c.now.MS})
	}
}

// Step handles an event and returns the effects that the caller has to carry
// out. The effects are valid until the next call.
func (c *Core) Step(now Time, e Event) []Effect {
	c.effects = c.effects[:0]
	c.now = now
	switch e := e.(type) {
	case Tick:
		c.observeLag(e.LagMS)
		c.handledMS = cmp.Or(e.HandledMS, c.now.MS)
		c.tick()
	case QueuesChanged:
		c.setQueues(e.Queues)
	case WorkersChanged:
		c.logFirstList(e.Workers, e.ReadMS)
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
	case EvacuationsChanged:
		c.setEvacuations(e.DataCentres)
	case JobMemoryChanged:
		c.config.MaxJobBytes = e.MaxBytes
	case Suspended:
		c.suspended = true
	case LeadershipConfirmed:
		c.suspended, c.deposed, c.placementDue = false, false, true
		c.raiseFencedTokens()
	case LeadershipAsOf:
		c.leadershipMS = max(c.leadershipMS, e.MS)
		c.checkLeadership()
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
	c.stopEndedGangs()
	c.schedule()
	c.flush()
	return c.effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// fencedBy handles the refusal of a call because the worker has seen a higher
// token.
func (c *Core) fencedBy(w *worker, token uint64) {
	if token < w.token {
		// The token has been raised since the call was sent.
		return
	}
	w.fenced = true
	c.depose(w)
}

// raiseFencedTokens raises the tokens of the workers that have refused one,
// after the log has shown that no newer leader has: otherwise such a worker would
// be of no use until the term ends. The steps grow, and the token stays below the
// next term's.
func (c *Core) raiseFencedTokens() {
	for _, w := range c.sortedWorkers {
		if !w.fenced {
			continue
		}
		w.fenced = false
		highest := (c.epoch+1)<<tokenShift - 1
		if w.token >= highest {
			// The worker refuses every token of this term.
			w.nextHoldMS = c.now.MS + deadHoldIntervalMS
			continue
		}
		w.token = min(w.token+1<<min(w.fencedCount, tokenShift), highest)
		w.fencedCount++
		c.emit(Decision{Event: "token_raised", Worker: w.info.ID, Reason: "refused without a newer claim in the log"})
	}
}

// depose stops all commands after a worker has rejected one because it has seen
// a newer token.
func (c *Core) depose(w *worker) {
	if c.deposed {
		return
	}
	c.suspended, c.deposed = true, true
	c.emit(Deposed{Worker: w.info.ID})
}

func (c *Core) tick() {
	c.withdrawDue()
	c.checkLeadership()
	if c.deposed {
		return
	}
	c.checkReconciled()
	c.releaseDue()
	c.openDue()
	c.releaseAdviser()
	if c.now.MS-c.lastPassMS >= maxPassIntervalMS {
		c.placementDue = true
	}
	for _, w := range c.sortedWorkers {
		c.tickWorker(w)
	}
	c.checkEvacuations()
	c.removeDeparted()
	c.sampleOverload()
	c.purge()
}

// WaitingJobs returns the number of a queue's accepted jobs that have not
// started any task.
func (c *Core) WaitingJobs(queue string) int {
	n := 0
	for _, j := range c.jobs {
		if j.spec.Queue == queue && !j.started && !j.state.Final() && j.recorded && j.spec.Repeat == 0 {
			n++
		}
	}
	return n
}

// State returns the state of a job as callers see it; ok is false if the job is
// unknown.
func (c *Core) State(id jobs.ID) (state jobs.State, ok bool) {
	entry := c.stateMachine.SubmittedEntry(id)
	if entry == nil {
		return "", false
	}
	state = entry.State()
	if j := c.jobs[id]; j != nil && state == jobs.Queued && j.started {
		state = jobs.Active
	}
	return state, true
}

// Work counts what placement has done since the term began.
type Work struct {
	// Passes is the number of passes over the waiting steps.
	Passes int64
	// StepsTried is the number of attempts to place a step, WorkersChecked that of
	// the workers considered for them.
	StepsTried, WorkersChecked int64
	// StepsWaiting is the number of steps that wait now.
	StepsWaiting int
}

// Work returns what placement has done.
func (c *Core) Work() Work {
	work := c.work
	work.Passes, work.StepsWaiting = c.pass, len(c.ready)
	return work
}

// emitState reports the state of a recorded job as callers see it.
func (c *Core) emitState(j *job) {
	if state, ok := c.State(j.id); ok {
		c.emit(JobStateChanged{Job: j.id, State: state})
	}
}

func sortWorkers(workers []*worker) {
	slices.SortFunc(workers, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
}
