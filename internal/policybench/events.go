package policybench

import (
	"hash/fnv"
	"math"
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// end ends an attempt and, unless the task is done or cancelled, requeues the
// task.
func (w *Simulation) end(m *machine, r *run, kind policy.EndKind) {
	id := r.actual.task.ID
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
		w.result.done(r.actual, w.now)
	case policy.EndCancelled:
		w.result.cancelled(r.actual)
	default:
		w.requeue(r)
	}
}

// maxAttempts is the number of attempts after which a job counts as failed.
const maxAttempts = 6

// requeue enqueues the next attempt of a task. A task that always fails is
// counted as cancelled after maxAttempts.
func (w *Simulation) requeue(r *run) {
	next := r.actual.task
	if s, known := w.saved[next.ID]; known {
		next = s
	}
	next.Attempt++
	next.Progress = r.saved
	next.Moves = r.moves
	w.saved[next.ID] = next
	if r.actual.alwaysFails && int(next.Attempt) > maxAttempts {
		w.result.cancelled(r.actual)
		return
	}
	w.waiting[next.ID] = r.actual
	w.decider.Enqueue(w.clock(), next)
}

// addLostWork adds a share of a task's run time to the lost work.
func (w *Simulation) addLostWork(r *run, share float64) {
	if !math.IsInf(r.actual.run, 1) {
		w.result.WorkLost += share * r.actual.run
	}
}

// execute executes the actions of the policy.
func (w *Simulation) execute(actions []policy.Action) {
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

// stop executes a pending move or eviction.
func (w *Simulation) stop(m *machine, r *run) {
	if r.move {
		r.saved = r.progress
	}
	w.addLostWork(r, r.progress-r.saved)
	r.moves++
	if r.actual.task.Class == spec.LongRunning {
		w.result.LongRunMoves++
	}
	w.end(m, r, policy.EndStopped)
}

// expireLeases ends the tasks of a lost worker whose leases have expired.
func (w *Simulation) expireLeases(m *machine) {
	for _, r := range append([]*run(nil), m.running...) {
		if r.lostAt != 0 && w.now >= r.lostAt {
			w.addLostWork(r, r.progress-r.saved)
			w.end(m, r, policy.EndLost)
		}
	}
}

// updateFaults starts and ends the worker outages that are due.
func (w *Simulation) updateFaults() {
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
	for _, o := range w.trace.unhealthy {
		if o.from == w.now {
			w.machines[o.worker].unhealthy = true
		}
		if o.to == w.now {
			w.machines[o.worker].unhealthy = false
		}
	}
}

// cancellations cancels the selected jobs when a cancellation wave is due.
func (w *Simulation) cancellations() {
	for _, c := range w.trace.cancels {
		if c.at != w.now {
			continue
		}
		for i := range w.trace.tasks[:w.arrived] {
			t := &w.trace.tasks[i]
			if t.task.Class == spec.Deadline && w.isSelected(c, t) {
				w.cancel(t)
			}
		}
	}
}

func (w *Simulation) isSelected(c cancelWave, t *actualTask) bool {
	h := fnv.New64a()
	h.Write([]byte(t.task.ID.Job.Name))
	return float64((h.Sum64()^c.salt)%1000) < 1000*w.trace.params.Faults.CancelShare
}

func (w *Simulation) cancel(t *actualTask) {
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

// updateGrants grants urgent requests the slots that they need, as far as
// capacity is free. It calls Decider.Relieve for missing slots.
func (w *Simulation) updateGrants() {
	for i := range w.machines {
		m := &w.machines[i]
		if m.down {
			continue
		}
		want := w.slotsFor(w.trace.load[w.now][i])
		used := spec.Resources{}
		for _, r := range m.running {
			used = used.Add(r.actual.task.Resources)
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
			w.execute(w.decider.Relieve(w.clock(), m.spec.ID, missing))
		}
	}
}

// measure takes the workers' measurements, whose reports arrive after a lag.
func (w *Simulation) measure() {
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
			ServiceP99:  time.Duration(w.p99(m, load) * w.noiseFactor() * float64(time.Millisecond)),
			ServiceLoad: load * w.trace.params.Service.RequestsPerSecond * w.noiseFactor(),
		}
		for _, r := range m.running {
			report.Tasks = append(report.Tasks, w.taskUsage(r))
		}
		lag := p.LagMin + w.noise.IntN(p.LagMax-p.LagMin+1)
		w.pending = append(w.pending, pendingReport{w.now + lag, report})
	}
}

func (w *Simulation) taskUsage(r *run) policy.TaskUsage {
	return policy.TaskUsage{
		Task:      r.actual.task.ID,
		MilliCPU:  int64(r.actual.cpu * r.throttle * w.noiseFactor()),
		MemoryMiB: int64(r.memoryInUse() * (1 + 0.1*(w.noiseFactor()-1))),
		Progress:  r.saved,
	}
}

func (w *Simulation) noiseFactor() float64 {
	return math.Exp(w.trace.params.Reports.Noise * w.noise.NormFloat64())
}

// deliver passes the reports that are due to the Decider.
func (w *Simulation) deliver() {
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
