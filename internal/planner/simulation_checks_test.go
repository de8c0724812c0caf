package planner

import (
	"cmp"
	"slices"
	"strings"

	"redwingvale/internal/jobs"
)

func (sim *simulation) spec(t jobs.Task) *jobs.Step { return &sim.jobs[t.Job].job.Steps[t.Step] }

// durationMS returns the task's duration, the same for each run.
func (sim *simulation) durationMS(t jobs.Task) int64 {
	if sim.duration != nil {
		return sim.duration(t)
	}
	base := int64(sim.spec(t).EstimateMS)
	return max(base+int64(t.Index%5)*base/8, 50)
}

// fails reports whether a run fails because of the task itself.
func (sim *simulation) fails(t jobs.Task, run int) bool {
	if strings.HasPrefix(string(t.Job), "bad") {
		return true
	}
	h := uint64(run)*7919 + uint64(t.Index)*104729 + uint64(t.Step)*1299709 + sim.seed
	return sim.faultRates.lost > 0 && h%31 == 0
}

func (sim *simulation) onStart(f *fakeWorker, s Start) {
	sim.starts++
	sim.carriedOut[runKey{s.Task, s.Run}] = true
	sim.checkEvacuated(f, s)
	sub := sim.jobs[s.Task.Job]
	spec := sim.spec(s.Task)
	if sub.refusal.final {
		sim.violate("REFUSED", "%s starts on %s, its job was refused", s.Task, f.info.ID)
	}
	if sub.job.Payload != s.Payload {
		sim.violate("UNASKED", "%s starts with a different payload", s.Task)
	}
	if sim.acked[s.Task] && !spec.LongRunning {
		sim.violate("TWICE", "%s run %d on %s starts after an acknowledged end", s.Task, s.Run, f.info.ID)
	}
	sim.startedAt[s.Task] = append(sim.startedAt[s.Task], startedRun{sim.now, f.info.ID, s.Run, sim.maxAttempts(s)})
	perWorker := 0
	for task := range f.runs {
		if task.Job == s.Task.Job && task.Step == s.Task.Step && task.Occurrence == s.Task.Occurrence {
			perWorker++
		}
	}
	if spec.MaxPerWorker > 0 && perWorker > spec.MaxPerWorker {
		sim.violate("ROUTE", "%s: %d of its step on %s", s.Task, perWorker, f.info.ID)
	}
	if spec.Label != "" && !slices.Contains(f.info.Labels, spec.Label) {
		sim.violate("ROUTE", "%s on %s without label %s", s.Task, f.info.ID, spec.Label)
	}
	if due := sub.job.DueMS(s.Task.Occurrence); due > sim.now+250 {
		sim.violate("ORDER", "%s starts %d ms early", s.Task, due-sim.now)
	}
	for _, before := range spec.After {
		for i := range sub.job.Steps[before].Count {
			t := jobs.Task{Job: s.Task.Job, Occurrence: s.Task.Occurrence, Step: before, Index: i}
			if !sim.done[t] {
				sim.violate("ORDER", "%s starts before %s is done", s.Task, t)
			}
		}
	}
	if sub.mustNotRun() {
		sim.violate("REFUSED", "%s starts after its submission was withdrawn", s.Task)
	}
	if sub.cancelled > 0 && sim.now-sub.cancelled > 3000 && s.Token>>tokenShift == sim.epoch {
		sim.violate("UNASKED", "%s starts %d ms after its cancellation", s.Task, sim.now-sub.cancelled)
	}
	if limit := sim.maxAttempts(s); sim.failed[s.Task] >= limit && !spec.LongRunning && !spec.Gang {
		sim.violate("BUDGET", "%s starts after %d failures, %d are allowed", s.Task, sim.failed[s.Task], limit)
	}
	if spec.Speculative {
		return
	}
	for _, other := range sim.workers {
		if other != f && other.runs[s.Task] != nil && sim.now >= other.downUntil {
			sim.violate("TWICE", "%s runs on %s (run %d) and on %s (run %d)", s.Task, other.info.ID, other.runs[s.Task].number, f.info.ID, s.Run)
		}
	}
}

func (sim *simulation) onEnd(f *fakeWorker, t jobs.Task, r *fakeRun, kind EndKind) {
	spec := sim.spec(t)
	switch kind {
	case EndDone:
		sim.done[t] = true
		if spec.Gang {
			for i := range spec.Count {
				sim.done[jobs.Task{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: i}] = true
			}
		}
	}
	_ = f
	_ = r
}

// onAck notes an end that a worker has dropped because it was acknowledged. If the
// worker's lease lapsed between the end and its acknowledgement, the leader of that
// time could count the run as over, and the task may run again.
func (sim *simulation) onAck(f *fakeWorker, e EndedTask) {
	switch e.Kind {
	case EndDone:
		if f.lapsedMS <= f.endedAt[e.Number] {
			sim.acked[e.Task] = true
			sim.checkStartsAfter(f, e)
		}
	case EndFailed:
		sim.failed[e.Task]++
		if f.lapsedMS <= f.endedAt[e.Number] {
			sim.failedAt[e.Task] = append(sim.failedAt[e.Task], f.endedAt[e.Number])
			sim.checkAttemptsUsed(e.Task)
		}
	}
}

// noteGangEnds notes the ends of gang members that a leader is about to handle.
func (l *leader) noteGangEnds(sim *simulation, e Event) {
	hold, ok := e.(HoldDone)
	if !ok || hold.Outcome != Done {
		return
	}
	for _, end := range hold.Report.Ended {
		if sub := sim.jobs[end.Task.Job]; sub != nil && end.Task.Step < len(sub.job.Steps) && sim.spec(end.Task).Gang {
			l.gangEnds[runKey{sim.spec(end.Task).FailureTask(end.Task), end.Run}] = true
		}
	}
}

// checkGangStart checks that a gang's run gets no member after the end of another one.
func (sim *simulation) checkGangStart(l *leader, s Start) {
	if spec := sim.spec(s.Task); spec.Gang && l.gangEnds[runKey{spec.FailureTask(s.Task), s.Run}] {
		sim.violate("GANG", "%s joins run %d of its gang, of which a member has ended", s.Task, s.Run)
	}
}

// checkAttemptsUsed checks that no run of a task started after as many failures as
// are allowed, including those that are acknowledged only later.
func (sim *simulation) checkAttemptsUsed(t jobs.Task) {
	if spec := sim.spec(t); spec.LongRunning || spec.Gang || spec.Speculative {
		return
	}
	for _, s := range sim.startedAt[t] {
		before := 0
		for _, failedMS := range sim.failedAt[t] {
			if failedMS < s.atMS {
				before++
			}
		}
		if before >= s.limit {
			sim.violate("BUDGET", "%s run %d started on %s at %d after %d failures, %d are allowed", t, s.number, s.worker, s.atMS, before, s.limit)
		}
	}
}

// checkRunTwice guards against a warning of two runs of a task where there was one. A
// start without a response may not have been carried out.
func (sim *simulation) checkRunTwice(d Decision) {
	if d.Event != "run_twice" || sim.oddRows != nil || strings.HasPrefix(detail(d, "other_state"), "start") {
		return
	}
	runs := 0
	for key := range sim.carriedOut {
		if key.task.String() == d.Task {
			runs++
		}
	}
	if runs < 2 {
		sim.violate("LOG", "%s run %d on %s counts as a second run (%s)", d.Task, d.Run, d.Worker, d.Reason)
	}
}

// checkStartsAfter checks that a task had not started again when the end of a run as
// done is acknowledged.
func (sim *simulation) checkStartsAfter(f *fakeWorker, e EndedTask) {
	if spec := sim.spec(e.Task); spec.LongRunning || spec.Speculative {
		return
	}
	for _, s := range sim.startedAt[e.Task] {
		if s.atMS > f.endedAt[e.Number] {
			sim.violate("TWICE", "%s run %d started on %s at %d, run %d had ended as done on %s at %d and is acknowledged",
				e.Task, s.number, s.worker, s.atMS, e.Run, f.info.ID, f.endedAt[e.Number])
		}
	}
}

func sortedTasks(runs map[jobs.Task]*fakeRun) []jobs.Task {
	out := make([]jobs.Task, 0, len(runs))
	for t := range runs {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b jobs.Task) int {
		return cmp.Or(strings.Compare(string(a.Job), string(b.Job)), cmp.Compare(a.Occurrence, b.Occurrence),
			cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	return out
}
