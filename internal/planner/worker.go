package planner

import (
	"slices"

	"redwingvale/internal/jobs"
)

// worker is one life of a worker and what the leader holds on it.
type worker struct {
	info WorkerInfo
	// listed is false once the directory has dropped the worker.
	listed bool
	// inherited is set for a worker that the predecessor knew; until it answers
	// or its leases must be over it may run tasks.
	inherited bool
	// dead is set when another life answers at the address.
	dead   bool
	bornMS int64

	// token goes with every call; it rises when a call's outcome is unsure.
	token uint64
	// confirmed is the highest token that a report has answered: nothing sent
	// with a lower one can be carried out any more.
	confirmed uint64

	// seen is the last end that was processed, acked the last that may be
	// acknowledged.
	seen, acked int64

	holds      int
	holdSentMS int64
	nextHoldMS int64
	wantHold   bool
	answeredMS int64
	answered   bool
	// unverified is set while the worker may have started anew since its last
	// report: its ends would be numbered anew, so none is acknowledged.
	unverified  bool
	clockMS     int64
	clockReadMS int64
	// leaseEndMS is the latest lease end sent, on the worker's clock.
	leaseEndMS int64
	// inheritedEndMS is when a lease of a predecessor ends at the latest.
	inheritedEndMS int64

	runs    []*run
	orphans []orphan
	// heldEnds are ends of jobs that the log does not hold, in order.
	heldEnds []heldEnd
	used     Room
	// noRoomUntilMS pauses placement after a refusal for want of room.
	noRoomUntilMS int64
	health        health
	interference  interference
	planned       []plannedTail
	plannedValid  bool
	fillWanted    float64
	fillUnused    float64
	fillValid     bool
	drain         drainState
}

// run is one start of a task on a worker.
type run struct {
	task   *task
	worker *worker
	number int
	phase  phase
	token  uint64
	sentMS int64
	// confirmedMS is when the run was known to exist.
	confirmedMS int64
	percent     int
	// progressMS is when percent last rose.
	progressMS int64
	// firstMS and firstPercent are the first report of the run: a run may
	// resume from a checkpoint.
	firstMS      int64
	firstPercent int
	// adopted is set for a run of a predecessor, whose start is not known.
	adopted bool
	// judgedMS is the report by which the run's speed was last judged.
	judgedMS   int64
	checkpoint string
	usage      int
	usageMS    int64
	// use and tail are the smoothed usage of a filling task, in thousandths of
	// a core, and tail of a serving task, against its target.
	use        float64
	tail       float64
	pace       int
	wantPace   int
	pacing     bool
	stopSentMS int64
	stopReason string
}

type phase int

const (
	// starting: the call has not been answered.
	starting phase = iota
	// unsure: the call may yet be carried out.
	unsure
	// running: the worker has confirmed the run.
	running
	// stopping: a stop has been sent; the run holds its room until its end is
	// listed.
	stopping
)

// setWorkers follows the directory.
func (c *Core) setWorkers(infos []WorkerInfo) {
	for _, w := range c.order {
		w.listed = false
	}
	for i := range infos {
		info := infos[i]
		w := c.workers[info.ID]
		if w == nil {
			w = &worker{token: c.epoch << tokenShift, nextHoldMS: c.now.MS}
			w.health.reset()
			c.workers[info.ID] = w
			c.order = append(c.order, w)
			c.journal.workersDirty = true
		}
		c.journal.workersDirty = c.journal.workersDirty || w.info.Address != info.Address
		if info.Draining && !w.info.Draining {
			w.drain = drainState{sinceMS: c.now.MS}
			c.emit(Decision{Event: "worker_draining", Worker: info.ID})
		}
		if info.Draining && info.LeavesInMS != w.info.LeavesInMS {
			w.drain.leavesMS = c.now.MS + info.LeavesInMS
		}
		if w.bornMS != 0 && info.BornMS > w.bornMS {
			// A new life under the same id: its report says what is left.
			w.nextHoldMS = c.now.MS
		}
		if w.dead && info.Address != w.info.Address {
			w.dead = false
		}
		w.info, w.listed = info, true
	}
	sortWorkers(c.order)
	c.wake = true
	for _, w := range c.order {
		c.tickWorker(w)
	}
}

// dropGone forgets workers that have left the directory and run nothing.
func (c *Core) dropGone() {
	kept := c.order[:0]
	for _, w := range c.order {
		gone := w.dead || c.now.MS-w.answeredMS > silentMS
		if w.inherited && !w.answered && !w.dead {
			gone = c.now.MS-c.termMS > c.inheritedLeaseMS()
		}
		if !w.listed && len(w.runs) == 0 && gone {
			delete(c.workers, w.info.ID)
			c.journal.workersDirty = true
			continue
		}
		kept = append(kept, w)
	}
	clear(c.order[len(kept):])
	c.order = kept
}

// tickWorker sends the next look when it is due and gives up what a silent
// worker cannot run any more.
func (c *Core) tickWorker(w *worker) {
	if w.dead {
		return
	}
	if w.holds == 0 && (w.wantHold || c.now.MS >= w.nextHoldMS) {
		c.sendHold(w)
	}
	if len(w.runs) > 0 && c.leaseOver(w) {
		c.loseRuns(w, "lease_over")
	}
	w.dropHeldEnds(c.now.MS)
	c.watchRuns(w)
}

// holdSoon sends a look at once, beside one that waits if need be.
func (c *Core) holdSoon(w *worker) {
	if w.dead {
		return
	}
	if w.holds == 0 {
		c.sendHold(w)
		return
	}
	w.wantHold = true
}

func (c *Core) sendHold(w *worker) {
	w.wantHold = false
	if c.deposed {
		w.nextHoldMS = c.now.MS
		return
	}
	w.holds++
	w.holdSentMS = c.now.MS
	ack := w.acked
	if w.unverified && !c.off.verifyLife {
		ack = 0
	}
	if c.off.recordFirst {
		ack = w.seen
	}
	wait := int64(holdWaitMS)
	if w.confirmed < w.token || w.seen > w.acked || !w.answered || w.unverified {
		wait = 0
	}
	c.emit(Hold{
		Worker: w.info.ID, Address: w.info.Address, Token: w.token,
		AckNumber: ack, LeaseEndMS: c.lease(w), WaitMS: wait,
	})
}

// lease returns the end of the lease to ask for now, on the worker's clock,
// or 0 while that clock is not known.
func (c *Core) lease(w *worker) int64 {
	if w.clockMS == 0 {
		return 0
	}
	w.leaseEndMS = max(w.leaseEndMS, w.clockMS+(c.now.MS-w.clockReadMS)+c.config.LeaseMS)
	return w.leaseEndMS
}

// leaseOver reports whether everything on the worker must have ended, even if
// its clock is slow.
func (c *Core) leaseOver(w *worker) bool {
	if c.off.leaseWait {
		return c.now.MS-w.answeredMS > silentMS
	}
	left := float64(max(w.leaseEndMS, w.inheritedEndMS)-w.clockMS) * clockSlack
	return c.now.MS > w.clockReadMS+int64(left)+leaseMarginMS
}

func (c *Core) holdDone(e HoldDone) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	w.holds = max(0, w.holds-1)
	switch e.Outcome {
	case Done:
		c.report(w, e)
	case OtherWorker:
		c.died(w, "other_worker")
		return
	case Fenced:
		if e.Token >= w.token {
			c.depose(w)
		}
		w.nextHoldMS = c.now.MS + holdRetryMS
	default:
		w.unverified = true
		w.nextHoldMS = c.now.MS + holdRetryMS
		if w.wantHold {
			w.wantHold = false
		}
	}
	if e.Outcome == Done && w.holds == 0 {
		switch {
		case w.seen > w.acked:
			w.nextHoldMS = c.now.MS + holdPollMS
			if w.wantHold || w.confirmed < w.token {
				c.sendHold(w)
			}
		default:
			c.sendHold(w)
		}
	}
	c.settle()
}

// report takes in what a worker says of its runs.
func (c *Core) report(w *worker, e HoldDone) {
	if w.bornMS != 0 && e.Report.BornMS != 0 && e.Report.BornMS != w.bornMS {
		if e.Report.BornMS < w.bornMS {
			return
		}
		c.reborn(w, e.Report.BornMS)
	}
	if w.bornMS == 0 {
		w.bornMS = e.Report.BornMS
	}
	if e.Report.ClockMS >= w.clockMS {
		w.clockMS, w.clockReadMS = e.Report.ClockMS, c.now.MS
	}
	if w.inheritedEndMS == 0 {
		w.inheritedEndMS = w.clockMS + c.config.MaxLeaseMS
	}
	if !w.answered || c.now.MS-w.answeredMS > silentMS {
		c.wake = true
	}
	w.answered, w.answeredMS, w.unverified = true, c.now.MS, false
	w.confirmed = max(w.confirmed, e.Token)
	for i := range e.Report.Ended {
		end := &e.Report.Ended[i]
		if end.Number <= w.seen {
			continue
		}
		w.seen = end.Number
		if !c.off.holdEnds && (end.Kind == EndDone || end.Kind == EndFailed) && c.jobs[end.Task.Job] == nil && c.book.Known(end.Task.Job) == nil {
			w.heldEnds = append(w.heldEnds, heldEnd{end: *end, sinceMS: c.now.MS})
			continue
		}
		c.ended(w, end)
	}
	w.dropOrphans(e.Report.Running)
	listed := make(map[*run]bool, len(e.Report.Running))
	for i := range e.Report.Running {
		if r := c.listed(w, &e.Report.Running[i], e.SentMS); r != nil {
			listed[r] = true
		}
	}
	for _, r := range slices.Clone(w.runs) {
		if !listed[r] {
			c.missing(w, r, e)
		}
	}
	c.balanceFill(w)
}

// missing decides on a run that a report does not list.
func (c *Core) missing(w *worker, r *run, e HoldDone) {
	switch {
	case r.phase == starting:
	case r.phase == unsure:
		// The report answers a higher token: the start can't come any more.
		if e.Token > r.token {
			c.emit(c.decision("start_settled", r, "not carried out"))
			c.lost(r)
		}
	case r.confirmedMS > 0 && r.confirmedMS < e.SentMS:
		c.emit(c.decision("run_lost", r, "not listed by its worker"))
		c.lost(r)
	case r.confirmedMS == 0 && e.Token > r.token:
		c.lost(r)
	}
}

// listed matches a run that a worker lists with the core's own; a run that
// should not be there is stopped.
func (c *Core) listed(w *worker, rt *RunningTask, sentMS int64) *run {
	r := w.find(rt.Task, rt.Run)
	if r == nil {
		r = c.adoptRun(w, rt)
	}
	if r == nil && c.jobs[rt.Task.Job] == nil && c.book.Known(rt.Task.Job) == nil && w.keepOrphan(rt, c.now.MS) {
		return nil
	}
	if r == nil {
		c.emit(Stop{Worker: w.info.ID, Address: w.info.Address, Token: w.token, Task: rt.Task, Run: rt.Run})
		c.emit(Decision{Event: "stop_sent", Job: rt.Task.Job, Task: rt.Task.String(), Run: rt.Run, Worker: w.info.ID, Reason: "not wanted here"})
		return nil
	}
	if r.confirmedMS == 0 {
		r.confirmedMS = c.now.MS
		r.progressMS = c.now.MS
	}
	if r.phase == starting || r.phase == unsure {
		r.phase = running
	}
	if rt.Checkpoint != "" {
		r.checkpoint = rt.Checkpoint
	}
	if r.firstMS == 0 {
		r.firstMS, r.firstPercent = c.now.MS, rt.Percent
	}
	if rt.Percent > r.percent {
		r.percent, r.progressMS = rt.Percent, c.now.MS
	}
	r.usage, r.usageMS = rt.Usage, c.now.MS
	if r.use == 0 {
		r.use = float64(rt.Usage)
	}
	r.use += usageWeight * (float64(rt.Usage) - r.use)
	if r.phase == stopping && sentMS-r.stopSentMS > holdRetryMS {
		c.sendStop(r)
	}
	return r
}

// adoptRun takes over a run that a predecessor has started, if the task still
// needs one.
//
// The step may not be open yet: the predecessor may have seen ends that are
// not recorded and that this leader has yet to see.
func (c *Core) adoptRun(w *worker, rt *RunningTask) *run {
	t := c.taskOf(rt.Task)
	if t == nil || t.done || t.step.job.state.Final() {
		return nil
	}
	if len(t.runs) > 0 {
		return nil
	}
	r := &run{task: t, worker: w, number: rt.Run, phase: running, token: w.token, sentMS: c.now.MS, pace: 100, adopted: true}
	if t.step.spec.Fills {
		// The predecessor's pace is not known, so it is set anew.
		r.pace = 0
	}
	t.lastRun = max(t.lastRun, rt.Run)
	c.attach(r)
	t.step.job.started = true
	c.emit(c.decision("run_adopted", r, "listed by its worker"))
	return r
}

// orphan is a run of a job that the log does not hold. A predecessor may have
// started it while the submission was being recorded; the caller's next
// attempt brings the job back.
type orphan struct {
	task    RunningTask
	sinceMS int64
}

// orphanMS is how long such a run is left alone: callers repeat a submission
// that was not answered within their time limit of some seconds.
const orphanMS = 1500

// keepOrphan reports whether a run of an unknown job may go on for now.
func (w *worker) keepOrphan(rt *RunningTask, nowMS int64) bool {
	for i := range w.orphans {
		if o := &w.orphans[i]; o.task.Task == rt.Task && o.task.Run == rt.Run {
			o.task = *rt
			return nowMS-o.sinceMS < orphanMS
		}
	}
	w.orphans = append(w.orphans, orphan{task: *rt, sinceMS: nowMS})
	return true
}

// dropOrphans forgets the orphans that the worker does not list any more.
func (w *worker) dropOrphans(running []RunningTask) {
	w.orphans = slices.DeleteFunc(w.orphans, func(o orphan) bool {
		return !slices.ContainsFunc(running, func(rt RunningTask) bool { return rt.Task == o.task.Task && rt.Run == o.task.Run })
	})
}

// adoptOrphans takes over the runs of a job that has just become known.
func (c *Core) adoptOrphans(id jobs.ID) {
	for _, w := range c.order {
		kept := w.orphans[:0]
		for i := range w.orphans {
			o := w.orphans[i]
			if o.task.Task.Job != id {
				kept = append(kept, o)
				continue
			}
			if r := c.adoptRun(w, &o.task); r != nil {
				r.confirmedMS, r.progressMS = c.now.MS, c.now.MS
			}
		}
		w.orphans = kept
		held := w.heldEnds
		w.heldEnds = nil
		for i := range held {
			if held[i].end.Task.Job == id {
				c.ended(w, &held[i].end)
			} else {
				w.heldEnds = append(w.heldEnds, held[i])
			}
		}
	}
}

// heldEnd is the end of a task whose job the log does not hold. It is not
// acknowledged while the caller may still bring the job back: a task that is
// done must not start again, and a failure counts.
type heldEnd struct {
	end     EndedTask
	sinceMS int64
}

// heldEndMS is longer than callers repeat a submission.
const heldEndMS = 15_000

// ackable returns the number of the last end that may be acknowledged once
// what was processed is recorded.
func (w *worker) ackable() int64 {
	if len(w.heldEnds) > 0 {
		return min(w.seen, w.heldEnds[0].end.Number-1)
	}
	return w.seen
}

func (w *worker) dropHeldEnds(nowMS int64) {
	for len(w.heldEnds) > 0 && nowMS-w.heldEnds[0].sinceMS > heldEndMS {
		w.heldEnds = w.heldEnds[1:]
	}
}

func (c *Core) taskOf(ref jobs.Task) *task {
	j := c.jobs[ref.Job]
	if j == nil {
		return nil
	}
	i := ref.Occurrence*len(j.spec.Steps) + ref.Step
	if ref.Step >= len(j.spec.Steps) || i >= len(j.steps) || ref.Index >= len(j.steps[i].tasks) {
		return nil
	}
	return &j.steps[i].tasks[ref.Index]
}

// attach books a run on its worker and task.
func (c *Core) attach(r *run) {
	s := r.task.step
	r.worker.runs = append(r.worker.runs, r)
	r.worker.plannedValid, r.worker.fillValid = false, false
	r.worker.used = r.worker.used.plus(s.room())
	r.task.runs = append(r.task.runs, r)
	r.task.unaccounted = false
	if s.perWorker == nil {
		s.perWorker = map[*worker]int{}
	}
	s.perWorker[r.worker]++
	c.unqueue(r.task)
}

// detach releases what the run has booked.
func (c *Core) detach(r *run) {
	s := r.task.step
	i := slices.Index(r.worker.runs, r)
	if i < 0 {
		return
	}
	r.worker.runs = slices.Delete(r.worker.runs, i, i+1)
	r.worker.plannedValid, r.worker.fillValid = false, false
	r.worker.used = r.worker.used.minus(s.room())
	if i := slices.Index(r.task.runs, r); i >= 0 {
		r.task.runs = slices.Delete(r.task.runs, i, i+1)
	}
	if s.perWorker[r.worker]--; s.perWorker[r.worker] <= 0 {
		delete(s.perWorker, r.worker)
	}
	c.wake = true
}

func (w *worker) find(ref jobs.Task, number int) *run {
	for _, r := range w.runs {
		if r.number == number && r.task.index == ref.Index && r.task.step.index == ref.Step &&
			r.task.step.occurrence == ref.Occurrence && r.task.step.job.id == ref.Job {
			return r
		}
	}
	return nil
}

// lost releases a run that has ended without a word.
func (c *Core) lost(r *run) {
	t := r.task
	if r.checkpoint != "" {
		c.keepCheckpoint(t, r.checkpoint)
	}
	c.detach(r)
	c.afterRun(t)
}

// afterRun lets a task wait for its next start when nothing of it runs.
func (c *Core) afterRun(t *task) {
	if len(t.runs) == 0 {
		c.requeue(t)
	}
}

func (c *Core) loseRuns(w *worker, reason string) {
	for _, r := range slices.Clone(w.runs) {
		d := c.decision("run_lost", r, reason)
		d.AgeMS = c.now.MS - w.answeredMS
		c.emit(d)
		c.lost(r)
	}
}

// died gives up a life of a worker.
func (c *Core) died(w *worker, reason string) {
	w.dead = true
	c.emit(Decision{Event: "worker_dead", Worker: w.info.ID, Reason: reason})
	c.loseRuns(w, reason)
	c.settle()
}

// reborn starts over with a new life under the same id. The report that
// follows says which runs are gone: an order that was on its way may have
// reached the new life.
func (c *Core) reborn(w *worker, bornMS int64) {
	c.emit(Decision{Event: "worker_reborn", Worker: w.info.ID})
	w.bornMS, w.seen, w.acked, w.clockMS, w.leaseEndMS, w.inheritedEndMS, w.confirmed = bornMS, 0, 0, 0, 0, 0, 0
	w.orphans, w.heldEnds = nil, nil
	w.health.reset()
}

// settle ends the first phase of a term: once every listed worker has
// answered, or has had its time, the tasks that were found nowhere are known
// to be either waiting or on a silent worker.
func (c *Core) settle() {
	silent := false
	if c.off.settleTerm && !c.settled && len(c.order) > 0 {
		c.settled = true
		c.account()
	}
	for _, w := range c.order {
		if (w.listed || w.inherited) && !w.dead && !w.answered {
			silent = true
		}
	}
	switch {
	case c.settled && !silent:
		return
	case !silent && len(c.order) > 0:
		c.settled = true
		c.account()
	case !c.settled && c.now.MS-c.termMS > c.inheritedLeaseMS():
		c.settled = true
		c.account()
	}
}

// inheritedLeaseMS is how long a run of a predecessor may go on, on a worker
// that does not answer.
func (c *Core) inheritedLeaseMS() int64 {
	return int64(float64(c.config.MaxLeaseMS)*clockSlack) + leaseMarginMS
}

// account frees the tasks that were held back for a predecessor's runs.
func (c *Core) account() {
	for _, j := range c.jobs {
		if !j.inherited {
			continue
		}
		for _, s := range j.steps {
			for i := range s.tasks {
				s.tasks[i].unaccounted = false
			}
		}
	}
	c.wake = true
	c.emit(Decision{Event: "workers_settled", AgeMS: c.now.MS - c.termMS})
}

func (c *Core) decision(event string, r *run, reason string) Decision {
	return Decision{
		Event: event, Job: r.task.step.job.id, Task: r.task.ref().String(),
		Run: r.number, Worker: r.worker.info.ID, Reason: reason,
	}
}
