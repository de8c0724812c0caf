package framework

import (
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Observe implements policy.Decider. It drops a report that is not newer than
// the last one of its worker.
func (k *Kernel) Observe(now time.Duration, report policy.Report) {
	k.cluster.Now = now
	w := k.cluster.workerByID[report.Worker]
	if w == nil || (w.HasReport && report.MeasuredAt <= w.Report.MeasuredAt) {
		return
	}
	k.cluster.Lag = max(k.cluster.Lag, min(now-report.MeasuredAt, maxLag))
	w.Report = report
	w.ReportedAt = now
	w.HasReport = true
	k.recordUsage(w)
	for _, p := range k.plugins.learn {
		p.Observe(&k.cluster, w, &w.Report)
	}
	if !w.dirty {
		w.dirty = true
		k.unreviewed = append(k.unreviewed, w)
	}
}

// maxLag is the largest measurement lag that a late report can set.
const maxLag = time.Minute

// Review implements policy.Decider.
func (k *Kernel) Review(now time.Duration) []policy.Action {
	k.cluster.Now = now
	var out []policy.Action
	out = k.reviewQuarantine(out)
	if len(k.unreviewed) > 0 {
		k.queues.activate(MeasurementArrived)
	}
	budget := k.cluster.Config.ActionsPerReview
	for _, w := range k.unreviewed {
		w.dirty = false
		if !k.measuredSinceAction(w) {
			continue
		}
		out = k.reviewWorker(w, out, &budget)
	}
	k.unreviewed = k.unreviewed[:0]
	k.proposals = k.proposals[:0]
	for _, p := range k.plugins.periodic {
		k.proposals = p.Propose(&k.cluster, k.proposals)
	}
	return k.accept(out, &budget)
}

// reviewWorker collects the actions for one worker with a new report.
func (k *Kernel) reviewWorker(w *Worker, out []policy.Action, budget *int) []policy.Action {
	k.proposals = k.proposals[:0]
	for _, p := range k.plugins.throttle {
		k.proposals = p.Throttle(&k.cluster, w, k.proposals)
	}
	for _, p := range k.plugins.evict {
		k.proposals = p.Evict(&k.cluster, w, spec.Resources{}, k.proposals)
	}
	return k.accept(out, budget)
}

// measuredSinceAction reports whether the newest report was measured after the
// last action on the worker had taken effect for one measurement lag.
func (k *Kernel) measuredSinceAction(w *Worker) bool {
	if !w.HasAction || k.cluster.Config.mutation == mutationLag {
		return true
	}
	return w.Report.MeasuredAt > w.LastAction && k.cluster.Now >= w.LastAction+k.cluster.Lag
}

// accept records the proposals that the kernel's limits allow and appends them
// to out.
func (k *Kernel) accept(out []policy.Action, budget *int) []policy.Action {
	for _, a := range k.proposals {
		stops := a.Kind == policy.ActionMove || a.Kind == policy.ActionEvict
		if stops && *budget <= 0 {
			continue
		}
		t := k.cluster.taskByID[a.Task]
		if t == nil || !k.MayActOn(t, a.Kind) {
			continue
		}
		k.recordAction(t, &a)
		out = append(out, a)
		if stops {
			*budget--
		}
	}
	return out
}

// MayActOn reports whether an action on a task is allowed now: the task runs,
// is not stopping already, had no action within the measurement lag, and, for a
// move or eviction of a long-running task, has moves left today.
func (k *Kernel) MayActOn(t *TaskInfo, kind policy.ActionKind) bool {
	if t.state != statePlaced || t.Stopping {
		return false
	}
	tooEarly := t.HasAction && k.cluster.Now < t.LastAction+k.cluster.Lag
	if tooEarly && k.cluster.Config.mutation != mutationLag {
		return false
	}
	stops := kind == policy.ActionMove || kind == policy.ActionEvict
	if !stops || t.Class != spec.LongRunning || k.cluster.Config.mutation == mutationMoves {
		return true
	}
	return k.moves.count(t, k.cluster.Now) < k.cluster.MovesPerDay(t)
}

// MovesPerDay returns how often a long-running task may be moved per day.
func (c *Cluster) MovesPerDay(t *TaskInfo) int {
	if t.ServiceIndex >= 0 && c.Services[t.ServiceIndex].MaxMovesPerDay > 0 {
		return c.Services[t.ServiceIndex].MaxMovesPerDay
	}
	return c.Config.LongRunMovesPerDay
}

// recordAction updates the state of a task and its worker for an accepted action.
func (k *Kernel) recordAction(t *TaskInfo, a *policy.Action) {
	k.checkActionLag(t)
	now := k.cluster.Now
	t.LastAction, t.HasAction = now, true
	t.Worker.LastAction, t.Worker.HasAction = now, true
	a.Worker = t.Worker.ID
	switch a.Kind {
	case policy.ActionThrottle, policy.ActionUnthrottle:
		t.setThrottle(a.ThrottlePercent, now)
	case policy.ActionMove, policy.ActionEvict:
		t.Stopping = true
		k.pastReasons.add(t.ID, policy.Reason{Dimension: string(a.Kind), Workers: 1, Detail: a.Why})
		if t.Class == spec.LongRunning {
			k.checkMovesLeft(t)
			k.moves.add(t.ID, now)
		}
	}
}
