package group

import (
	"fmt"
	"sort"
	"time"

	"redwingvale/internal/platform"
	"redwingvale/internal/spec"
)

// fakeWorker is a simulated worker that runs attempts.
type fakeWorker struct {
	sim            *sim
	worker         spec.Worker
	leaving        bool
	unlisted       bool
	boots          int
	bootAt         time.Duration
	rate           float64
	offset         time.Duration
	epoch          spec.Epoch
	runs           map[attemptKey]*fakeRun
	tasksFail      bool
	cutOffUntil    time.Duration
	used           spec.Resources
	urgentRequests int64
}

// fakeRun is one attempt on a worker.
type fakeRun struct {
	command platform.Command
	report  platform.TaskReport
	// doneAt and stopAt are in simulated time; stopAt is zero if no stop was
	// requested.
	doneAt          time.Duration
	startAt         time.Duration
	stopAt          time.Duration
	initialProgress float64
}

func (w *fakeWorker) boot() string { return fmt.Sprintf("%s.%d", w.worker.ID, w.boots) }

func (w *fakeWorker) clock() time.Duration {
	return w.offset + time.Duration(float64(w.sim.now-w.bootAt)*w.rate)
}

// restart ends all runs and clears the worker's state.
func (w *fakeWorker) restart() {
	for _, r := range w.sorted() {
		if r.report.State == platform.TaskRunning {
			w.endRun(r, platform.TaskStopped)
		}
	}
	w.boots++
	w.bootAt = w.sim.now
	w.offset = w.sim.upTo(time.Hour)
	w.epoch = 0
	w.runs = make(map[attemptKey]*fakeRun)
}

func (w *fakeWorker) sorted() []*fakeRun {
	out := make([]*fakeRun, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i].report, out[j].report
		if a.Task != b.Task {
			return a.Task.String() < b.Task.String()
		}
		return a.Attempt < b.Attempt
	})
	return out
}

// advance ends the runs that are done, stopped or past their lease.
func (w *fakeWorker) advance() {
	for _, r := range w.sorted() {
		if r.report.State != platform.TaskRunning {
			continue
		}
		switch {
		case w.clock() >= r.report.LeaseEnd:
			w.endRun(r, platform.TaskStopped)
		case w.tasksFail:
			w.endRun(r, platform.TaskFailed)
		case w.sim.now >= r.doneAt:
			r.report.Progress = 1
			w.endRun(r, platform.TaskDone)
			w.sim.checker.finished[r.report.Task]++
		case r.stopAt != 0 && w.sim.now >= r.stopAt:
			w.checkpoint(r)
			w.endRun(r, platform.TaskStopped)
		}
	}
}

func (w *fakeWorker) endRun(r *fakeRun, state platform.TaskState) {
	r.report.State = state
	r.report.Ran = true
	w.used = w.used.Sub(r.command.Resources)
	delete(w.sim.checker.running, r.report.Task)
}

// checkpoint saves the progress of a run. Tasks with an odd index write no
// checkpoints.
func (w *fakeWorker) checkpoint(r *fakeRun) {
	if r.report.Task.Index%2 == 1 {
		return
	}
	share := float64(w.sim.now-r.startAt) / float64(r.command.RunTime)
	r.report.Progress = min(1, r.initialProgress+share)
	r.report.Checkpoint = fmt.Sprintf("%.6f", r.report.Progress)
}

// execute processes a batch and returns the worker's report.
func (w *fakeWorker) execute(batch platform.CommandBatch) *platform.WorkerReport {
	w.advance()
	report := &platform.WorkerReport{Worker: w.worker.ID, Boot: w.boot()}
	if batch.Epoch < w.epoch {
		report.Fenced = true
	}
	w.epoch = max(w.epoch, batch.Epoch)
	if !report.Fenced && (batch.Boot == report.Boot || batch.Boot == "") {
		for _, command := range batch.Commands {
			w.executeCommand(command)
		}
	}
	report.Epoch = w.epoch
	report.Clock = w.clock()
	for _, r := range w.sorted() {
		report.Tasks = append(report.Tasks, r.report)
	}
	return report
}

func (w *fakeWorker) executeCommand(c platform.Command) {
	key := attemptKey{task: c.Task, attempt: c.Attempt}
	run := w.runs[key]
	if c.Kind == platform.CommandStart && run == nil {
		w.startRun(key, c)
		return
	}
	if run == nil {
		return
	}
	running := run.report.State == platform.TaskRunning
	switch {
	case c.Kind == platform.CommandRenew && running:
		run.report.LeaseEnd = max(run.report.LeaseEnd, w.leaseEnd(c))
	case c.Kind == platform.CommandCheckpoint && running:
		w.checkpoint(run)
	case c.Kind == platform.CommandStop && running && run.stopAt == 0:
		run.stopAt = w.sim.now + w.sim.upTo(c.Grace)
	case c.Kind == platform.CommandForget && !running:
		delete(w.runs, key)
	}
}

// leaseEnd returns the lease end of a command. A negative end, which is sent only
// under the mutation leaseFromReceipt, is a duration that counts from receipt.
func (w *fakeWorker) leaseEnd(c platform.Command) time.Duration {
	if c.LeaseEnd < 0 {
		return w.clock() - c.LeaseEnd
	}
	return c.LeaseEnd
}

func (w *fakeWorker) startRun(key attemptKey, c platform.Command) {
	r := &fakeRun{command: c, startAt: w.sim.now}
	r.report = platform.TaskReport{Task: c.Task, Attempt: c.Attempt, LeaseEnd: w.leaseEnd(c), Checkpoint: c.Checkpoint}
	w.runs[key] = r
	if w.clock() > c.StartBy || w.clock() >= r.report.LeaseEnd {
		r.report.State = platform.TaskRefused
		return
	}
	r.report.State = platform.TaskRunning
	if c.Checkpoint != "" {
		_, _ = fmt.Sscanf(c.Checkpoint, "%f", &r.initialProgress)
	}
	r.report.Progress = r.initialProgress
	r.doneAt = w.sim.now + time.Duration((1-r.initialProgress)*float64(c.RunTime))
	w.used = w.used.Add(c.Resources)
	w.sim.checker.checkStart(w.sim, w, c)
	w.sim.checker.checkWorker(w.sim, w)
}

// sendBatch delivers a batch to its worker and the report to the node. Both can
// be lost or delayed, and a batch can be duplicated.
func (s *sim) sendBatch(n *node, e Send) {
	w := s.worker(e.Worker.ID)
	incarnation := n.incarnation
	sentAt := n.clock()
	s.after(time.Second, func() {
		if n.incarnation == incarnation {
			n.step(WorkerFailed{Serial: e.Serial, Worker: e.Worker.ID})
		}
	})
	copies := 1
	if s.fault(0.04) {
		copies = 2
	}
	for ; copies > 0; copies-- {
		if w == nil || s.fault(0.04) {
			continue
		}
		if s.now < w.cutOffUntil {
			s.dropOrDelay(w, e)
			continue
		}
		s.after(s.messageDelay(), func() { s.deliver(n, incarnation, w, e, sentAt) })
	}
}

// dropOrDelay drops a batch to a cut-off worker or delivers it late, without the
// report.
func (s *sim) dropOrDelay(w *fakeWorker, e Send) {
	if s.chance(s.faults.lateBatch) {
		s.after(s.upTo(6*time.Second), func() { w.execute(e.Batch) })
	}
}

func (s *sim) deliver(n *node, incarnation spec.Incarnation, w *fakeWorker, e Send, sentAt time.Duration) {
	report := w.execute(e.Batch)
	if s.fault(0.04) {
		return
	}
	s.after(s.messageDelay(), func() {
		if n.incarnation != incarnation || n.core == nil {
			return
		}
		n.step(WorkerAnswered{Serial: e.Serial, Report: report, SentAt: sentAt, ReceivedAt: n.clock()})
	})
}

func (s *sim) worker(id spec.WorkerID) *fakeWorker {
	for _, w := range s.workers {
		if w.worker.ID == id {
			return w
		}
	}
	return nil
}

func (s *sim) workerInfos() []WorkerInfo {
	out := make([]WorkerInfo, 0, len(s.workers))
	for _, w := range s.workers {
		if !w.unlisted {
			out = append(out, WorkerInfo{Worker: w.worker, Leaving: w.leaving})
		}
	}
	return out
}
