package policybench

import (
	"hash/fnv"
	"math"
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// end ends an attempt and, unless it finished or was cancelled, enqueues the
// next one.
func (s *Simulation) end(m *simWorker, r *run, kind policy.EndKind) {
	id := r.task.declared.ID
	for i, each := range m.running {
		if each == r {
			m.running = append(m.running[:i:i], m.running[i+1:]...)
			break
		}
	}
	delete(s.byTask, id)
	s.decider.Ended(s.clock(), id, kind, seconds(float64(s.now-r.started)))
	switch kind {
	case policy.EndDone:
		s.result.recordFinished(r.task, s.now)
	case policy.EndCancelled:
		s.result.recordCancelled(r.task)
	default:
		s.enqueueAgain(r)
	}
}

// maxAttempts is the number of attempts after which a job counts as failed.
const maxAttempts = 6

// enqueueAgain enqueues the next attempt of a task.
func (s *Simulation) enqueueAgain(r *run) {
	next := r.task.declared
	if saved, known := s.saved[next.ID]; known {
		next = saved
	}
	next.Attempt++
	next.Progress = r.saved
	next.Moves = r.moves
	s.saved[next.ID] = next
	if r.task.bad && int(next.Attempt) > maxAttempts {
		s.result.recordCancelled(r.task)
		return
	}
	s.waiting[next.ID] = r.task
	s.decider.Enqueue(s.clock(), next)
}

// addLostWork adds a share of the run time of a task to the lost work.
func (s *Simulation) addLostWork(r *run, share float64) {
	if !math.IsInf(r.task.run, 1) {
		s.result.WorkLost += share * r.task.run
	}
}

// carryOut carries out the actions of the policy.
func (s *Simulation) carryOut(actions []policy.Action) {
	for _, a := range actions {
		if a.Kind == policy.ActionQuarantine {
			s.result.Quarantines++
		}
		r := s.byTask[a.Task]
		if r == nil || r.stopAt != 0 {
			continue
		}
		switch a.Kind {
		case policy.ActionThrottle, policy.ActionUnthrottle:
			r.throttle = float64(a.ThrottlePercent) / 100
			s.result.Throttles++
		case policy.ActionMove:
			r.move, r.stopAt = true, s.now+checkpointDuration
			s.result.Evictions++
		case policy.ActionEvict:
			r.stopAt = s.now + 1
			s.result.Evictions++
		}
	}
}

// stop carries out a move or an eviction.
func (s *Simulation) stop(m *simWorker, r *run) {
	if r.move {
		r.saved = r.progress
	}
	s.addLostWork(r, r.progress-r.saved)
	r.moves++
	if r.task.declared.Class == spec.LongRunning {
		s.result.LongRunMoves++
	}
	s.end(m, r, policy.EndStopped)
}

// expireLeases ends the tasks of a lost worker when their leases are over.
func (s *Simulation) expireLeases(m *simWorker) {
	for _, r := range append([]*run(nil), m.running...) {
		if r.lostAt != 0 && s.now >= r.lostAt {
			s.addLostWork(r, r.progress-r.saved)
			s.end(m, r, policy.EndLost)
		}
	}
}

// applyFaults starts and ends outages.
func (s *Simulation) applyFaults() {
	for _, o := range s.trace.losses {
		m := &s.workers[o.worker]
		if o.from == s.now && !m.down {
			m.down = true
			s.decider.RemoveWorker(s.clock(), m.spec.ID)
			for _, r := range m.running {
				r.lostAt = s.now + leaseDuration
			}
		}
		if o.to == s.now && m.down {
			m.down = false
			s.decider.SetWorker(s.clock(), m.spec)
		}
	}
	for _, o := range s.trace.unhealthy {
		if o.from == s.now {
			s.workers[o.worker].unhealthy = true
		}
		if o.to == s.now {
			s.workers[o.worker].unhealthy = false
		}
	}
}

// cancellations cancels a share of the jobs.
func (s *Simulation) cancellations() {
	for _, c := range s.trace.cancels {
		if c.at != s.now {
			continue
		}
		for i := range s.trace.tasks[:s.arrived] {
			t := &s.trace.tasks[i]
			if t.declared.Class == spec.Deadline && s.isChosen(c, t) {
				s.cancel(t)
			}
		}
	}
}

func (s *Simulation) isChosen(c cancel, t *tracedTask) bool {
	h := fnv.New64a()
	h.Write([]byte(t.declared.ID.Job.Name))
	return float64((h.Sum64()^c.salt)%1000) < 1000*s.trace.params.Faults.CancelShare
}

func (s *Simulation) cancel(t *tracedTask) {
	id := t.declared.ID
	if r := s.byTask[id]; r != nil {
		s.end(&s.workers[r.worker], r, policy.EndCancelled)
		return
	}
	if s.waiting[id] != nil {
		delete(s.waiting, id)
		s.decider.Dequeue(id)
		s.result.recordCancelled(t)
	}
}

// updateGrants grants urgent requests the slots that they need, as far as slots
// are free, and otherwise calls Relieve.
func (s *Simulation) updateGrants() {
	for i := range s.workers {
		m := &s.workers[i]
		if m.down {
			continue
		}
		want := s.slotsFor(s.trace.load[s.now][i])
		used := spec.Resources{}
		for _, r := range m.running {
			used = used.Add(r.task.declared.Resources)
		}
		room := m.spec.Capacity.Slots - used.Slots
		m.granted = spec.Resources{
			MemoryMiB:   serviceMemoryMiB,
			Slots:       min(want, max(0, room)),
			Connections: min(want*4, m.spec.Capacity.Connections),
		}
		m.granted.MemoryMiB = min(serviceMemoryMiB, m.spec.Capacity.MemoryMiB-used.MemoryMiB)
		s.decider.SetGranted(s.clock(), m.spec.ID, m.granted)
		if want > m.granted.Slots {
			missing := spec.Resources{Slots: want - m.granted.Slots}
			s.carryOut(s.decider.Relieve(s.clock(), m.spec.ID, missing))
		}
	}
}

// measure takes the measurements, which are delivered later.
func (s *Simulation) measure() {
	p := s.trace.params.Reports
	for i := range s.workers {
		m := &s.workers[i]
		if m.down || (s.now+i)%p.Every != 0 {
			continue
		}
		load := s.trace.load[s.now][i]
		report := policy.Report{
			Worker:      m.spec.ID,
			MeasuredAt:  s.clock(),
			ServiceP99:  time.Duration(s.p99(m, load) * s.noiseFactor() * float64(time.Millisecond)),
			ServiceLoad: load * s.trace.params.Service.RequestsPerSecond * s.noiseFactor(),
		}
		for _, r := range m.running {
			report.Tasks = append(report.Tasks, s.usage(r))
		}
		lag := p.LagMin + s.noise.IntN(p.LagMax-p.LagMin+1)
		s.pending = append(s.pending, pendingReport{s.now + lag, report})
	}
}

func (s *Simulation) usage(r *run) policy.TaskUsage {
	return policy.TaskUsage{
		Task:      r.task.declared.ID,
		MilliCPU:  int64(r.task.cpu * r.throttle * s.noiseFactor()),
		MemoryMiB: int64(r.memoryInUse() * (1 + 0.1*(s.noiseFactor()-1))),
		Progress:  r.saved,
	}
}

func (s *Simulation) noiseFactor() float64 {
	return math.Exp(s.trace.params.Reports.Noise * s.noise.NormFloat64())
}

// deliver passes the reports that are due to the Decider.
func (s *Simulation) deliver() {
	kept := s.pending[:0]
	for _, d := range s.pending {
		if d.at > s.now {
			kept = append(kept, d)
			continue
		}
		s.decider.Observe(s.clock(), d.report)
	}
	s.pending = kept
}
