package framework

import (
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// growthMargin is what a raised reservation leaves above the measured use.
const growthMargin = 1.1

// takeUsage takes the task measurements of a worker's newest report in.
func (k *Kernel) takeUsage(w *Worker) {
	w.UsedMiB = 0
	for i := range w.Report.Tasks {
		u := &w.Report.Tasks[i]
		w.UsedMiB += u.MemoryMiB
		t := k.cluster.itemByID[u.Task]
		if t == nil || t.Worker != w || w.Report.MeasuredAt < t.StartedAt {
			continue
		}
		t.takeUsage(u, w.Report.MeasuredAt)
		k.raiseNeed(t)
	}
}

// takeUsage notes one measurement of a running task.
func (t *Item) takeUsage(u *policy.TaskUsage, at time.Duration) {
	if seconds := (at - t.UsedAt).Seconds(); t.UsedAt != 0 && seconds > 0 {
		t.MemoryRate = float64(u.MemoryMiB-t.Used.MemoryMiB) / seconds
	}
	t.takeProgress(min(u.Progress, 1), at)
	t.Used = spec.Resources{MilliCPU: u.MilliCPU, MemoryMiB: u.MemoryMiB}
	t.Peak = largest(t.Peak, t.Used)
	t.UsedAt = at
}

// minGain is the progress since the start from which on the speed of a task says
// more than the history of its kind.
const minGain = 0.1

// takeProgress notes a measured progress and raises the predicted run time when
// the task is slower than predicted.
func (t *Item) takeProgress(progress float64, at time.Duration) {
	if progress <= t.Progress {
		return
	}
	t.Progress = progress
	gain := progress - t.StartProgress
	if gain < minGain {
		return
	}
	full := time.Duration(float64(t.worked(at)) / gain)
	t.Predicted = max(t.Predicted, full)
}

// worked returns the run time so far, as if the task had never been throttled.
func (t *Item) worked(at time.Duration) time.Duration {
	return t.workedBefore + (at-t.speedSince)*time.Duration(t.ThrottledTo)/100
}

// setThrottle changes the processor share that a task may use.
func (t *Item) setThrottle(percent int, now time.Duration) {
	t.workedBefore = t.worked(now)
	t.speedSince = now
	t.ThrottledTo = percent
	t.Throttled = true
}

// raiseNeed reserves memory for a task that uses more than it reserves, as far
// as the worker has room, so that nothing else is placed into that memory.
func (k *Kernel) raiseNeed(t *Item) {
	w := t.Worker
	wanted := int64(float64(t.Used.MemoryMiB) * growthMargin)
	more := min(wanted-t.Need.MemoryMiB, w.Free().MemoryMiB)
	if more <= 0 {
		return
	}
	t.Need.MemoryMiB += more
	w.Reserved.MemoryMiB += more
	k.refresh(w)
}
