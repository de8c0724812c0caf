package framework

import (
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// reservationMargin is the ratio of a raised reservation to the measured use.
const reservationMargin = 1.1

// recordUsage records the task measurements of a worker's newest report.
func (k *Kernel) recordUsage(w *Worker) {
	w.UsedMiB = 0
	for i := range w.Report.Tasks {
		u := &w.Report.Tasks[i]
		w.UsedMiB += u.MemoryMiB
		t := k.cluster.taskByID[u.Task]
		if t == nil || t.Worker != w || w.Report.MeasuredAt < t.StartedAt {
			continue
		}
		t.recordUsage(u, w.Report.MeasuredAt)
		k.raiseReservation(t)
	}
}

// recordUsage records one measurement of a running task.
func (t *TaskInfo) recordUsage(u *policy.TaskUsage, at time.Duration) {
	if seconds := (at - t.UsedAt).Seconds(); t.UsedAt != 0 && seconds > 0 {
		t.MemoryRate = float64(u.MemoryMiB-t.Used.MemoryMiB) / seconds
	}
	t.recordProgress(min(u.Progress, 1), at)
	t.Used = spec.Resources{MilliCPU: u.MilliCPU, MemoryMiB: u.MemoryMiB}
	t.Peak = largest(t.Peak, t.Used)
	t.UsedAt = at
}

// minProgressGain is the progress since the start from which on the speed of a
// task predicts its run time better than the history of its kind.
const minProgressGain = 0.1

// recordProgress records a measured progress and raises the predicted run time
// when the task is slower than predicted.
func (t *TaskInfo) recordProgress(progress float64, at time.Duration) {
	if progress <= t.Progress {
		return
	}
	t.Progress = progress
	gain := progress - t.StartProgress
	if gain < minProgressGain {
		return
	}
	full := time.Duration(float64(t.effectiveRunTime(at)) / gain)
	t.Predicted = max(t.Predicted, full)
}

// effectiveRunTime returns the run time so far, with throttled time counted by
// the processor share that the throttle allowed.
func (t *TaskInfo) effectiveRunTime(at time.Duration) time.Duration {
	return t.effectiveBefore + (at-t.throttleChangedAt)*time.Duration(t.ThrottledTo)/100
}

// setThrottle sets the processor share that a task may use.
func (t *TaskInfo) setThrottle(percent int, now time.Duration) {
	t.effectiveBefore = t.effectiveRunTime(now)
	t.throttleChangedAt = now
	t.ThrottledTo = percent
	t.Throttled = true
}

// raiseReservation raises the reservation of a task that uses more memory than
// it reserves, as far as the worker has free memory, so that no other task is
// placed into that memory.
func (k *Kernel) raiseReservation(t *TaskInfo) {
	w := t.Worker
	wanted := int64(float64(t.Used.MemoryMiB) * reservationMargin)
	more := min(wanted-t.Need.MemoryMiB, w.Free().MemoryMiB)
	if more <= 0 {
		return
	}
	t.Need.MemoryMiB += more
	w.Reserved.MemoryMiB += more
	k.updateIndex(w)
}
