package planner

import "cmp"

// maxNotAwaitedLines bounds the lines that name the workers that a term did not
// wait for; workers_settled counts them all.
const maxNotAwaitedLines = 20

// takeoverLog is what the log lines of a takeover, and of the starts that follow
// from it, state about its course.
type takeoverLog struct {
	// firstListMS is when the first list of workers was applied, endedMS when the
	// takeover ended; 0 before.
	firstListMS, endedMS int64
	// settledBy is "reports" if every worker had reported, otherwise "time".
	settledBy string
	// reported is the number of workers that had reported by then, unreported that
	// of those that were waited for in vain. dead and unlisted workers had not
	// reported and were not waited for; departed ones were removed before.
	// closed workers had not reported either; only the tasks in their records wait.
	reported, unreported, dead, unlisted, departed, closed int
	// lines counts the lines that name such a worker.
	lines int
}

// notAwaited is the number of workers that had not reported at the end of the
// takeover.
func (t *takeoverLog) notAwaited() int {
	return t.unreported + t.dead + t.unlisted + t.departed + t.closed
}

// logFirstList compares the first list of workers with those of the log.
func (c *Core) logFirstList(infos []WorkerInfo, readMS int64) {
	if c.takeoverLog.firstListMS != 0 {
		return
	}
	c.takeoverLog.firstListMS = c.now.MS
	recorded, unrecorded, restarted := len(c.workers), 0, 0
	for i := range infos {
		switch w := c.workers[infos[i].ID]; {
		case w == nil:
			unrecorded++
		case infos[i].StartedMS > w.info.StartedMS:
			restarted++
		}
	}
	d := Decision{Event: "workers_listed", Details: []Detail{
		{Name: "listed", Number: int64(len(infos))},
		{Name: "recorded", Number: int64(recorded)},
		{Name: "recorded_only", Number: int64(recorded - (len(infos) - unrecorded))},
		{Name: "unrecorded", Number: int64(unrecorded)},
		{Name: "restarted", Number: int64(restarted)},
	}}
	if readMS > 0 {
		d.Details = append(d.Details, Detail{Name: "list_age_ms", Number: c.now.MS - readMS})
	}
	c.emit(d)
}

// knownFrom names how the leader learned of a worker.
func (c *Core) knownFrom(w *worker) string {
	switch {
	case w.inherited:
		return "log"
	case w.addedMS > c.takeoverLog.firstListMS:
		return "joined"
	}
	return "directory"
}

// awaited reports whether the takeover waits for a report of the worker.
func (w *worker) awaited() bool {
	return (w.listed || w.inherited) && !w.dead && (!w.reported || w.moreEnded)
}

// awaitedWorkers counts the workers that the takeover still waits for.
func (c *Core) awaitedWorkers() int {
	n := 0
	for _, w := range c.sortedWorkers {
		if w.awaited() {
			n++
		}
	}
	return n
}

// logSettled states how the takeover ended, and names the workers whose reports it
// did not have.
func (c *Core) logSettled() {
	t := &c.takeoverLog
	t.endedMS, t.settledBy = c.now.MS, "reports"
	if len(c.sortedWorkers) == 0 {
		t.settledBy = "time"
	}
	for _, w := range c.sortedWorkers {
		switch {
		case w.awaited() && w.closure.closed:
			t.closed++
			c.logNotAwaited(w, "closed")
		case w.awaited():
			t.settledBy = "time"
			t.unreported++
			reason := "no report"
			if w.reported {
				reason = "ends missing"
			}
			c.logNotAwaited(w, reason)
		case w.reported:
			t.reported++
		case w.dead:
			t.dead++
			c.logNotAwaited(w, "dead: "+w.deadReason)
		default:
			t.unlisted++
			c.logNotAwaited(w, "not listed")
		}
	}
	c.emit(Decision{Event: "workers_settled", Reason: t.settledBy, AgeMS: c.now.MS - c.termStartMS, Details: append([]Detail{
		{Name: "reported", Number: int64(t.reported)},
		{Name: "unreported", Number: int64(t.unreported)},
		{Name: "dead", Number: int64(t.dead)},
		{Name: "unlisted", Number: int64(t.unlisted)},
		{Name: "departed", Number: int64(t.departed)},
		{Name: "closed", Number: int64(t.closed)},
	}, c.evidenceDetails()...)})
}

// logRemoved notes a worker that is removed before the end of the takeover without
// having reported.
func (c *Core) logRemoved(w *worker) {
	if c.reconciled || w.reported {
		return
	}
	c.takeoverLog.departed++
	reason := "departed"
	if w.dead {
		reason = "departed, dead: " + w.deadReason
	}
	c.logNotAwaited(w, reason)
}

func (c *Core) logNotAwaited(w *worker, reason string) {
	if c.takeoverLog.lines == maxNotAwaitedLines {
		return
	}
	c.takeoverLog.lines++
	listed := int64(0)
	if w.listed {
		listed = 1
	}
	details := []Detail{
		{Name: "known_from", Text: c.knownFrom(w)},
		{Name: "listed", Number: listed},
		{Name: "known_ms", Number: c.now.MS - w.addedMS},
	}
	if w.closure.closed {
		details = append(details, Detail{Name: "tasks", Number: int64(len(w.closure.tasks))})
	}
	if w.holdSentMS > 0 {
		details = append(details, Detail{Name: "called_ms", Number: c.now.MS - w.holdSentMS})
	}
	c.emit(Decision{Event: "worker_not_awaited", Worker: w.info.ID, Reason: reason, Details: details})
}

// evidenceDetails states the age of the oldest event that has not been handled and
// that of the evidence of the leadership.
func (c *Core) evidenceDetails() []Detail {
	var details []Detail
	if c.handledMS > 0 {
		details = append(details, Detail{Name: "unhandled_ms", Number: c.now.MS - c.handledMS})
	}
	if !c.leadershipUnlimited() {
		details = append(details, Detail{Name: "evidence_ms", Number: c.now.MS - c.leadershipMS})
	}
	return details
}

// jobSource is how the leader learned of a job: empty if the log held it when the
// term began.
type jobSource string

const (
	// sourceSubmission: the leader has received the submission.
	sourceSubmission jobSource = "submission"
	// sourceRecord: another instance has recorded the submission during the term.
	sourceRecord jobSource = "record"
)

// startDetails states why a task of a job that another leader may have started was
// allowed to start. It returns nil for all other jobs.
func (c *Core) startDetails(j *job) []Detail {
	if !j.inherited && j.source != sourceRecord && j.earlyEnds == 0 && j.orphans == 0 {
		return nil
	}
	t := &c.takeoverLog
	details := []Detail{
		{Name: "job_from", Text: string(cmp.Or(j.source, "log"))},
		{Name: "early_ends", Number: int64(j.earlyEnds)},
		{Name: "orphans", Number: int64(j.orphans)},
		{Name: "lag_ms", Number: int64(c.lag.smoothedMS)},
	}
	details = append(details, c.evidenceDetails()...)
	if t.endedMS == 0 {
		// There was no takeover, or it has not ended yet.
		return append(details, Detail{Name: "settled_by", Text: "none"})
	}
	return append(details,
		Detail{Name: "settled_by", Text: t.settledBy},
		Detail{Name: "settled_ms", Number: c.now.MS - t.endedMS},
		Detail{Name: "unreported", Number: int64(t.unreported)},
		Detail{Name: "not_awaited", Number: int64(t.notAwaited())},
	)
}
