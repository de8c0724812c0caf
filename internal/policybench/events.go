package policybench

import (
	"hash/fnv"
	"math"
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// end finishes an attempt and, unless it is done, waits again.
func (w *World) end(m *machine, r *run, kind policy.EndKind) {
	id := r.truth.task.ID
	for i, each := range m.running {
		if each == r {
			m.running = append(m.running[:i:i], m.running[i+1:]...)
			break
		}
	}
	delete(w.byTask, id)
	w.decider.Ended(w.clock(), id, kind, seconds(float64(w.now-r.started)))
	switch kind {
	case policy.EndDone:
		w.result.done(r.truth, w.now)
	case policy.EndCancelled:
		w.result.cancelled(r.truth)
	default:
		w.again(r)
	}
}

// maxAttempts is the number of attempts after which a job counts as failed.
const maxAttempts = 6

// again enqueues the next attempt of a task.
func (w *World) again(r *run) {
	next := r.truth.task
	if s, known := w.saved[next.ID]; known {
		next = s
	}
	next.Attempt++
	next.Progress = r.saved
	next.Moves = r.moves
	w.saved[next.ID] = next
	if r.truth.bad && int(next.Attempt) > maxAttempts {
		w.result.cancelled(r.truth)
		return
	}
	w.waiting[next.ID] = r.truth
	w.decider.Enqueue(w.clock(), next)
}

// lose counts the work between the last checkpoint and the end.
func (w *World) lose(r *run, share float64) {
	if !math.IsInf(r.truth.run, 1) {
		w.result.WorkLost += share * r.truth.run
	}
}

// act carries out the actions of the policy.
func (w *World) act(actions []policy.Action) {
	for _, a := range actions {
		if a.Kind == policy.ActionQuarantine {
			w.result.Quarantines++
		}
		r := w.byTask[a.Task]
		if r == nil || r.stopAt != 0 {
			continue
		}
		switch a.Kind {
		case policy.ActionThrottle, policy.ActionUnthrottle:
			r.throttle = float64(a.ThrottlePercent) / 100
			w.result.Throttles++
		case policy.ActionMove:
			r.move, r.stopAt = true, w.now+checkpointTakes
			w.result.Evictions++
		case policy.ActionEvict:
			r.stopAt = w.now + 1
			w.result.Evictions++
		}
	}
}

// stop carries out a move or an eviction.
func (w *World) stop(m *machine, r *run) {
	if r.move {
		r.saved = r.progress
	}
	w.lose(r, r.progress-r.saved)
	r.moves++
	if r.truth.task.Class == spec.LongRunning {
		w.result.LongRunMoves++
	}
	w.end(m, r, policy.EndStopped)
}

// expireLeases ends the tasks of a lost worker when their leases are over.
func (w *World) expireLeases(m *machine) {
	for _, r := range append([]*run(nil), m.running...) {
		if r.lostAt != 0 && w.now >= r.lostAt {
			w.lose(r, r.progress-r.saved)
			w.end(m, r, policy.EndLost)
		}
	}
}

// faults starts and ends outages.
func (w *World) faults() {
	for _, o := range w.trace.losses {
		m := &w.machines[o.worker]
		if o.from == w.now && !m.down {
			m.down = true
			w.decider.RemoveWorker(w.clock(), m.spec.ID)
			for _, r := range m.running {
				r.lostAt = w.now + leaseLength
			}
		}
		if o.to == w.now && m.down {
			m.down = false
			w.decider.SetWorker(w.clock(), m.spec)
		}
	}
	for _, o := range w.trace.sick {
		if o.from == w.now {
			w.machines[o.worker].sick = true
		}
		if o.to == w.now {
			w.machines[o.worker].sick = false
		}
	}
}

// cancellations cancels a share of the jobs.
func (w *World) cancellations() {
	for _, c := range w.trace.cancels {
		if c.at != w.now {
			continue
		}
		for i := range w.trace.tasks[:w.arrived] {
			t := &w.trace.tasks[i]
			if t.task.Class == spec.Deadline && w.chosen(c, t) {
				w.cancel(t)
			}
		}
	}
}

func (w *World) chosen(c cancel, t *truth) bool {
	h := fnv.New64a()
	h.Write([]byte(t.task.ID.Job.Name))
	return float64((h.Sum64()^c.salt)%1000) < 1000*w.trace.params.Faults.CancelShare
}

func (w *World) cancel(t *truth) {
	id := t.task.ID
	if r := w.byTask[id]; r != nil {
		w.end(&w.machines[r.worker], r, policy.EndCancelled)
		return
	}
	if w.waiting[id] != nil {
		delete(w.waiting, id)
		w.decider.Dequeue(id)
		w.result.cancelled(t)
	}
}

// grants gives urgent requests the slots that they need, as far as there is
// room, and asks for relief otherwise.
func (w *World) grants() {
	for i := range w.machines {
		m := &w.machines[i]
		if m.down {
			continue
		}
		want := w.slotsFor(w.trace.load[w.now][i])
		used := spec.Resources{}
		for _, r := range m.running {
			used = used.Add(r.truth.task.Resources)
		}
		room := m.spec.Capacity.Slots - used.Slots
		m.granted = spec.Resources{
			MemoryMiB:   serviceMemoryMiB,
			Slots:       min(want, max(0, room)),
			Connections: min(want*4, m.spec.Capacity.Connections),
		}
		m.granted.MemoryMiB = min(serviceMemoryMiB, m.spec.Capacity.MemoryMiB-used.MemoryMiB)
		w.decider.SetGranted(w.clock(), m.spec.ID, m.granted)
		if want > m.granted.Slots {
			missing := spec.Resources{Slots: want - m.granted.Slots}
			w.act(w.decider.Relieve(w.clock(), m.spec.ID, missing))
		}
	}
}

// measure takes the readings that arrive later.
func (w *World) measure() {
	p := w.trace.params.Reports
	for i := range w.machines {
		m := &w.machines[i]
		if m.down || (w.now+i)%p.Every != 0 {
			continue
		}
		load := w.trace.load[w.now][i]
		report := policy.Report{
			Worker:      m.spec.ID,
			MeasuredAt:  w.clock(),
			ServiceP99:  time.Duration(w.p99(m, load) * w.noisy() * float64(time.Millisecond)),
			ServiceLoad: load * w.trace.params.Service.RequestsPerSecond * w.noisy(),
		}
		for _, r := range m.running {
			report.Tasks = append(report.Tasks, w.usage(r))
		}
		lag := p.LagMin + w.noise.IntN(p.LagMax-p.LagMin+1)
		w.pending = append(w.pending, delivery{w.now + lag, report})
	}
}

func (w *World) usage(r *run) policy.TaskUsage {
	return policy.TaskUsage{
		Task:      r.truth.task.ID,
		MilliCPU:  int64(r.truth.cpu * r.throttle * w.noisy()),
		MemoryMiB: int64(r.memoryOf() * (1 + 0.1*(w.noisy()-1))),
		Progress:  r.saved,
	}
}

func (w *World) noisy() float64 {
	return math.Exp(w.trace.params.Reports.Noise * w.noise.NormFloat64())
}

// deliver hands over the reports that are due.
func (w *World) deliver() {
	kept := w.pending[:0]
	for _, d := range w.pending {
		if d.at > w.now {
			kept = append(kept, d)
			continue
		}
		w.decider.Observe(w.clock(), d.report)
	}
	w.pending = kept
}
