package planner

import (
	"slices"

	"redwingvale/internal/jobs"
)

// journal batches the records to be written into few writes, one of which is
// outstanding at a time.
type journal struct {
	seq             uint64
	outstanding     bool
	lastWriteMS     int64
	modelRecordedMS int64
	// workers are the workers whose record may be out of date, inFlightWorkers
	// those whose record the outstanding write contains.
	workers, inFlightWorkers []WorkerID
	submissions              []*job
	dirty                    []*job
	// cancellations are those of unknown jobs that have to be recorded,
	// inFlightCancellations those that the outstanding write contains.
	cancellations, inFlightCancellations []unknownCancellation
	// dirtyEarlyEnds are the jobs whose early ends have to be recorded.
	dirtyEarlyEnds []jobs.ID
	// unacknowledged are the workers that have ends to acknowledge, and some that
	// no longer have any.
	unacknowledged []*worker
	// nextAcks is the batch of ends to acknowledge next.
	nextAcks ackBatch
	// inFlight holds the records of the outstanding write; remaining holds
	// those that follow it after the log has rejected a larger write.
	inFlight, remaining []jobs.Record
	// inFlightJobs and inFlightAcks are the jobs and ends that both contain.
	inFlightJobs []*job
	inFlightAcks []ackMark
	drops        []jobs.ID
	// purgeQueue holds the jobs whose records are dropped after
	// StatusRetentionMS, in the order of their ends.
	purgeQueue []purgeEntry
}

// ackMark is an end that may be acknowledged once the write is recorded.
type ackMark struct {
	worker    *worker
	startedMS int64
	number    int64
}

// ackBatch holds ends until everything queued before them is recorded. Later
// ends wait for the next batch, so that no batch waits for new jobs.
type ackBatch struct {
	marks []ackMark
	// dirty and earlyEnds are the numbers of entries at the head of
	// journal.dirty and journal.dirtyEarlyEnds that still have to be recorded.
	dirty, earlyEnds int
}

func (b *ackBatch) recorded() bool { return b.dirty == 0 && b.earlyEnds == 0 }

type purgeEntry struct {
	id      jobs.ID
	finalMS int64
}

// purgeMarginMS is added to the promised retention of a final job's state, for
// callers whose clocks differ.
const purgeMarginMS = 60_000

func (c *Core) markDirty(j *job) {
	j.dirty = true
	for _, other := range c.journal.dirty {
		if other == j {
			return
		}
	}
	c.journal.dirty = append(c.journal.dirty, j)
}

// flush starts the next write if there is something to record, the previous
// write is confirmed and the minimum gap between writes has passed.
func (c *Core) flush() {
	jnl := &c.journal
	if jnl.outstanding || c.now.MS-jnl.lastWriteMS < writeGapMS {
		return
	}
	if len(jnl.nextAcks.marks) == 0 {
		jnl.nextAcks = c.collectAcks()
	}
	b := &batch{limits: c.config.Log}
	c.appendDrops(b)
	c.appendWorkers(b)
	c.appendCancellations(b)
	c.appendSubmissions(b)
	c.appendEarlyEnds(b)
	c.appendProgress(b)
	if len(b.records) == 0 {
		jnl.nextAcks.marks = jnl.nextAcks.marks[:0]
		if !c.disabled.ackUnrecorded {
			c.ackWithoutWrite()
		}
		return
	}
	c.appendInterferenceModel(b)
	if jnl.nextAcks.recorded() {
		jnl.inFlightAcks = append(jnl.inFlightAcks, jnl.nextAcks.marks...)
		jnl.nextAcks.marks = jnl.nextAcks.marks[:0]
	}
	c.startWrite(b.records)
}

func (c *Core) appendSubmissions(b *batch) {
	jnl := &c.journal
	for len(jnl.submissions) > 0 {
		j := jnl.submissions[0]
		if !b.add(jobs.SubmissionRecord(j.id, j.encoded)) {
			return
		}
		jnl.submissions[0] = nil
		jnl.submissions = jnl.submissions[1:]
		jnl.inFlightJobs = append(jnl.inFlightJobs, j)
	}
}

func (c *Core) appendProgress(b *batch) {
	jnl := &c.journal
	if len(jnl.submissions) > 0 {
		// A job's progress must not be recorded before its submission.
		return
	}
	for len(jnl.dirty) > 0 {
		j := jnl.dirty[0]
		record, ok := c.progressRecord(j)
		if ok {
			records := []jobs.Record{record}
			if entry := c.stateMachine.Jobs[j.id]; entry != nil && len(entry.EarlyEnds) > 0 {
				// From this write on the progress record contains them.
				records = append(records, jobs.DropEarlyEnds(j.id))
			}
			if !b.add(records...) {
				return
			}
			jnl.inFlightJobs = append(jnl.inFlightJobs, j)
		}
		jnl.dirty[0] = nil
		jnl.dirty = jnl.dirty[1:]
		jnl.nextAcks.dirty = max(0, jnl.nextAcks.dirty-1)
		j.dirty = false
	}
}

// modelRecordIntervalMS is the minimum time between two records of the
// interference model.
const modelRecordIntervalMS = 3000

// appendInterferenceModel adds a record of the interference model to a write
// when it is due.
func (c *Core) appendInterferenceModel(b *batch) {
	if c.now.MS-c.journal.modelRecordedMS < modelRecordIntervalMS || len(c.interference.serving) == 0 {
		return
	}
	c.journal.modelRecordedMS = c.now.MS
	value, err := c.interference.record()
	if err != nil {
		c.emit(Decision{Event: "learned_not_encoded", Reason: err.Error()})
		return
	}
	record := jobs.Record{Key: jobs.InterferenceModelKey, Value: value}
	if !c.config.Log.Allows(record) {
		c.notRecorded(record, "record exceeds the log's size limit")
		return
	}
	b.add(record)
}

func (c *Core) progressRecord(j *job) (jobs.Record, bool) {
	if j.state == jobs.Queued && j.started {
		j.state = jobs.Active
	}
	j.progress.State = j.state
	j.progress.LastRun = max(j.progress.LastRun, j.baseRun)
	for s := range j.steps() {
		for i := range s.tasks {
			j.progress.LastRun = max(j.progress.LastRun, s.tasks[i].lastRun)
		}
	}
	record, err := jobs.ProgressRecord(j.id, j.progress)
	if err == nil && (j.endOnly || !c.config.Log.Allows(record)) {
		record, err = c.shortenedProgress(j)
	}
	if err != nil {
		c.emit(Decision{Event: "progress_not_encoded", Job: j.id, Reason: err.Error()})
		return record, false
	}
	return record, true
}

// collectAcks returns a batch of all ends that are not acknowledged yet.
func (c *Core) collectAcks() ackBatch {
	jnl := &c.journal
	b := ackBatch{marks: jnl.nextAcks.marks[:0], dirty: len(jnl.dirty), earlyEnds: len(jnl.dirtyEarlyEnds)}
	for _, w := range c.unacknowledged() {
		b.marks = append(b.marks, ackMark{w, w.startedMS, w.processedEnd})
	}
	return b
}

// noteUnacknowledged notes that a worker has ends to acknowledge.
func (c *Core) noteUnacknowledged(w *worker) {
	if !w.unacknowledged {
		w.unacknowledged = true
		c.journal.unacknowledged = append(c.journal.unacknowledged, w)
	}
}

// unacknowledged returns the workers that have ends to acknowledge, sorted by id.
func (c *Core) unacknowledged() []*worker {
	jnl := &c.journal
	jnl.unacknowledged = slices.DeleteFunc(jnl.unacknowledged, func(w *worker) bool {
		w.unacknowledged = w.processedEnd > w.ackableEnd && c.workers[w.info.ID] == w
		return !w.unacknowledged
	})
	sortWorkers(jnl.unacknowledged)
	return jnl.unacknowledged
}

// ackWithoutWrite acknowledges ends that change nothing, such as those of jobs
// that are already final.
func (c *Core) ackWithoutWrite() {
	for _, w := range c.unacknowledged() {
		c.ack(ackMark{w, w.startedMS, w.processedEnd})
	}
}

func (c *Core) ack(m ackMark) {
	w := m.worker
	if w.startedMS != m.startedMS || m.number <= w.ackableEnd {
		return
	}
	w.ackableEnd = m.number
	w.closure.acknowledged(m.number)
	c.requestHold(w)
}

// writeDone sends the replies and acknowledgements that waited for the write.
func (c *Core) writeDone(seq uint64) {
	jnl := &c.journal
	if !jnl.outstanding || seq != jnl.seq {
		return
	}
	jnl.outstanding = false
	if len(jnl.remaining) > 0 {
		c.startWrite(jnl.remaining)
		return
	}
	for _, j := range jnl.inFlightJobs {
		c.jobRecorded(j)
	}
	clear(jnl.inFlightJobs)
	jnl.inFlightJobs = jnl.inFlightJobs[:0]
	c.cancellationsRecorded()
	c.workersRecorded()
	for _, m := range jnl.inFlightAcks {
		c.ack(m)
	}
	jnl.inFlightAcks = jnl.inFlightAcks[:0]
}

func (c *Core) jobRecorded(j *job) {
	if !j.recorded {
		j.recorded = true
		if j.withdrawMS > 0 {
			// Its starts may have been paused.
			c.placementDue = true
		}
		c.emitState(j)
		j.encoded = nil
		c.noteRecorded(j)
		for _, requestID := range j.submitRequests {
			c.emit(Reply{RequestID: requestID, Accepted: true, Known: true})
		}
		j.submitRequests = nil
		if !c.config.OptimisticStart && !j.state.Final() {
			c.openSteps(j)
		}
	}
	entry := c.stateMachine.SubmittedEntry(j.id)
	if entry == nil || !entry.State().Final() || j.dirty || c.jobs[j.id] != j {
		return
	}
	for _, requestID := range j.cancelRequests {
		c.emit(Reply{RequestID: requestID, Accepted: true, Known: true})
	}
	j.cancelRequests = nil
	c.emitState(j)
	c.forget(j)
	c.drain.observe(c.now.MS, j.spec.Footprint())
	c.journal.purgeQueue = append(c.journal.purgeQueue, purgeEntry{j.id, c.now.MS})
}

// purge drops the records of jobs that have been final for long enough, and
// early ends of jobs that were never submitted.
func (c *Core) purge() {
	jnl := &c.journal
	for len(jnl.purgeQueue) > 0 && c.now.MS-jnl.purgeQueue[0].finalMS > c.config.StatusRetentionMS+purgeMarginMS && len(jnl.drops) < maxRecordsPerWrite/4 {
		id := jnl.purgeQueue[0].id
		jnl.purgeQueue = jnl.purgeQueue[1:]
		if c.jobs[id] != nil || c.endedWithin(id, c.config.StatusRetentionMS) {
			// The job was queued for its early ends and has been submitted
			// since; it is queued again when it becomes final.
			continue
		}
		jnl.drops = append(jnl.drops, id)
	}
}

// appendDrops adds the planned removals to a write, except for jobs that have
// received a submission or another end since.
func (c *Core) appendDrops(b *batch) {
	jnl := &c.journal
	for count := 0; len(jnl.drops) > 0 && count < maxDropsPerWrite; count++ {
		id := jnl.drops[0]
		jnl.drops = jnl.drops[1:]
		switch {
		case c.jobs[id] != nil:
		case slices.Contains(jnl.dirtyEarlyEnds, id):
			jnl.purgeQueue = append(jnl.purgeQueue, purgeEntry{id, c.now.MS})
		case c.stateMachine.SubmittedEntry(id) == nil:
			// Another instance may be recording the submission, so that is not
			// dropped.
			delete(c.earlyEnds, id)
			b.add(jobs.DropEarlyEnds(id), jobs.DropCancellation(id))
		default:
			delete(c.earlyEnds, id)
			b.add(jobs.DropRecords(id)...)
		}
	}
}

// endedWithin reports whether a job has become final in the last ms
// milliseconds.
func (c *Core) endedWithin(id jobs.ID, ms int64) bool {
	entry := c.stateMachine.Jobs[id]
	return entry != nil && entry.Progress != nil && c.now.UnixMS-entry.Progress.EndedMS < ms
}
