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
	t.Progress = max(t.Progress, min(u.Progress, 1))
	t.Used = spec.Resources{MilliCPU: u.MilliCPU, MemoryMiB: u.MemoryMiB}
	t.Peak = largest(t.Peak, t.Used)
	t.UsedAt = at
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
