package framework

import (
	"sort"
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Explain implements policy.Decider. For a waiting task it runs every filter on
// every worker, so it is for operators' requests and not for each decision.
// Reasons are in descending order of the number of workers.
func (k *Kernel) Explain(id spec.TaskID) []policy.Reason {
	var out []policy.Reason
	if past, known := k.pastReasons.byTask[id]; known {
		out = append(out, past)
	}
	t := k.cluster.taskByID[id]
	if t == nil || t.state == statePlaced {
		return out
	}
	for _, p := range k.plugins.explain {
		out = p.Explain(&k.cluster, t, out)
	}
	if t.state == stateBackoff {
		return append(out, policy.Reason{Dimension: "backoff", Detail: "waits until " + t.key.String()})
	}
	if t.refusal.Code != Success {
		out = append(out, policy.Reason{
			Dimension: t.refusal.Dimension,
			Workers:   0,
			Detail:    t.refusal.Code.String() + ": " + t.refusal.Detail,
		})
	}
	return append(out, k.countRefusals(t)...)
}

// countRefusals returns the reasons against placing a task, each with the
// number of workers that it excludes.
func (k *Kernel) countRefusals(t *TaskInfo) []policy.Reason {
	var out []policy.Reason
	for _, w := range k.cluster.Workers {
		if w.Removed {
			continue
		}
		if dimension, detail := k.workerRefusal(t, w); dimension != "" {
			out = addReason(out, dimension, detail)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Workers > out[j].Workers })
	return out
}

// workerRefusal returns the first reason against placing a task on a worker, or
// empty strings.
func (k *Kernel) workerRefusal(t *TaskInfo, w *Worker) (dimension, detail string) {
	if !w.Schedulable() {
		return "quarantine", "the worker is isolated"
	}
	if d := t.Need.FirstExceeded(w.Free()); d != "" {
		return string(d), "not enough is free"
	}
	for _, p := range k.plugins.filter {
		if s := p.Filter(&k.cluster, t, w); !s.OK() {
			return s.Dimension, s.Detail
		}
	}
	return "", ""
}

// addReason counts one worker for the reason with the dimension and detail.
func addReason(out []policy.Reason, dimension, detail string) []policy.Reason {
	for i := range out {
		if out[i].Dimension == dimension && out[i].Detail == detail {
			out[i].Workers++
			return out
		}
	}
	return append(out, policy.Reason{Dimension: dimension, Workers: 1, Detail: detail})
}

// Overdue implements policy.Decider. Tasks are in ascending order of deadline.
func (k *Kernel) Overdue(now time.Duration) []spec.TaskID {
	k.cluster.Now = now
	var late []*TaskInfo
	for _, t := range k.cluster.Tasks {
		if t.Deadline != 0 && k.missesDeadline(t) {
			late = append(late, t)
		}
	}
	sort.Slice(late, func(i, j int) bool {
		if late[i].Deadline != late[j].Deadline {
			return late[i].Deadline < late[j].Deadline
		}
		return late[i].seq < late[j].seq
	})
	out := make([]spec.TaskID, 0, len(late))
	for _, t := range late {
		out = append(out, t.ID)
	}
	return out
}

// missesDeadline reports whether a deadline has passed or, according to a
// Forecaster, cannot be met.
func (k *Kernel) missesDeadline(t *TaskInfo) bool {
	if k.cluster.Now >= t.Deadline {
		return true
	}
	for _, p := range k.plugins.forecast {
		if p.MissesDeadline(&k.cluster, t) {
			return true
		}
	}
	return false
}
