package framework

import (
	"fmt"
	"hash/fnv"
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Mechanisms lists what Broken can switch off.
var Mechanisms = []string{brokenLag, brokenRelease, brokenRoom, brokenDetach, brokenMoves, "quota"}

// Broken returns a configuration with one mechanism switched off.
func Broken(cfg Config, mechanism string) Config {
	cfg.broken = mechanism
	return cfg
}

// RandomRun drives a kernel with random calls and audits it as it goes.
type RandomRun struct {
	Placed int
	// Actions counts the actions by kind.
	Actions map[policy.ActionKind]int
	// Digest depends on every decision in order.
	Digest uint64

	kernel  *Kernel
	random  random
	now     time.Duration
	waiting []policy.Task
	running []policy.Task
	next    int
}

const (
	randomWorkers = 12
	randomTeams   = 4
	// noisyKind raises the reported p99 above the services' target.
	noisyKind = "kind2"
)

// NewRandomRun returns a run over a few workers and teams.
func NewRandomRun(k *Kernel, seed uint64) *RandomRun {
	r := &RandomRun{Actions: map[policy.ActionKind]int{}, kernel: k, random: newRandom(seed ^ 0x5eed)}
	services := []policy.Service{}
	for i := range randomTeams {
		services = append(services, policy.Service{
			Team:           spec.TeamID(fmt.Sprint("team", i)),
			ID:             spec.ServiceID(fmt.Sprint("service", i)),
			Quota:          spec.Resources{MilliCPU: 40000, MemoryMiB: 200000, Slots: 20},
			TailWeight:     float64(i),
			TargetP99:      50 * time.Millisecond,
			MaxMovesPerDay: 1,
		})
	}
	k.Configure(0, services)
	for i := range randomWorkers {
		k.SetWorker(0, randomWorker(i))
	}
	return r
}

func randomWorker(i int) spec.Worker {
	return spec.Worker{
		ID:         spec.WorkerID(fmt.Sprint("w", i)),
		Rack:       spec.Rack(fmt.Sprint("r", i/4)),
		DataCentre: spec.DataCentre(fmt.Sprint("d", i/6)),
		Service:    spec.ServiceID(fmt.Sprint("service", i%randomTeams)),
		Capacity:   spec.Resources{MilliCPU: 32000, MemoryMiB: 128000, Accelerators: int64(i % 3), Slots: 8, Connections: 60},
	}
}

// Steps makes n random calls.
func (r *RandomRun) Steps(n int) {
	for i := range n {
		r.now += time.Duration(r.random.below(400)) * time.Millisecond
		r.step()
		if i%16 == 0 {
			r.kernel.Audit()
		}
	}
}

func (r *RandomRun) step() {
	switch n := r.random.below(100); {
	case n < 25:
		r.enqueue()
	case n < 28:
		r.dequeue()
	case n < 53:
		r.schedule()
	case n < 70:
		r.end(policy.EndDone)
	case n < 73:
		r.end(policy.EndFailed)
	case n < 76:
		r.end(policy.EndNotStarted)
	case n < 79:
		r.grant()
	case n < 90:
		r.observe()
	case n < 95:
		r.note(r.kernel.Review(r.now))
	case n < 97:
		r.relieve()
	case n < 98:
		r.flap()
	case n < 99:
		r.restore()
	default:
		r.kernel.Overdue(r.now)
		r.explain()
	}
}

func (r *RandomRun) enqueue() {
	task := r.newTask()
	r.kernel.Enqueue(r.now, task)
	r.waiting = append(r.waiting, task)
}

// restore adds a task that runs already, as after a takeover.
func (r *RandomRun) restore() {
	task := r.newTask()
	w := r.kernel.cluster.Workers[r.random.below(randomWorkers)]
	if !task.Resources.Fits(w.Free()) {
		return
	}
	r.kernel.Restore(r.now, task, w.ID)
	r.running = append(r.running, task)
}

func (r *RandomRun) newTask() policy.Task {
	r.next++
	i := r.random.below(randomTeams)
	task := policy.Task{
		ID:        spec.TaskID{Job: spec.JobID{Team: spec.TeamID(fmt.Sprint("team", i)), Name: fmt.Sprint("j", r.next/3)}, Index: uint32(r.next)},
		Attempt:   1,
		Service:   spec.ServiceID(fmt.Sprint("service", i)),
		Class:     spec.Deadline,
		Kind:      fmt.Sprint("kind", r.random.below(3)),
		Resources: spec.Resources{MilliCPU: int64(1000 * (1 + r.random.below(8))), MemoryMiB: int64(1000 * (1 + r.random.below(30))), Slots: 1},
		RunTime:   time.Minute,
		Deadline:  r.now + time.Duration(1+r.random.below(600))*time.Second,
		Submitted: r.now,
	}
	if r.random.below(10) == 0 {
		task.Class, task.Deadline, task.RunTime = spec.LongRunning, 0, 0
	}
	if r.random.below(10) == 0 {
		task.Resources.Accelerators = 1
	}
	return task
}

func (r *RandomRun) dequeue() {
	if len(r.waiting) == 0 {
		return
	}
	t := take(&r.waiting, r.random.below(len(r.waiting)))
	r.kernel.Dequeue(t.ID)
}

func (r *RandomRun) schedule() {
	for _, p := range r.kernel.Schedule(r.now, 1+r.random.below(8)) {
		r.Placed++
		r.mix(p.Task.String(), string(p.Worker), p.Why)
		for i, t := range r.waiting {
			if t.ID == p.Task {
				r.running = append(r.running, take(&r.waiting, i))
				break
			}
		}
	}
}

func (r *RandomRun) end(kind policy.EndKind) {
	if len(r.running) == 0 {
		return
	}
	t := take(&r.running, r.random.below(len(r.running)))
	r.kernel.Ended(r.now, t.ID, kind, time.Duration(r.random.below(120))*time.Second)
	if kind != policy.EndDone {
		t.Attempt++
		r.kernel.Enqueue(r.now, t)
		r.waiting = append(r.waiting, t)
	}
}

// grant gives urgent requests part of what is free, as a ledger would.
func (r *RandomRun) grant() {
	w := r.kernel.cluster.Workers[r.random.below(randomWorkers)]
	free := max(0, w.Free().Slots)
	granted := spec.Resources{Slots: int64(r.random.below(int(min(free, 4)) + 1)), Connections: 10}
	r.kernel.SetGranted(r.now, w.ID, granted)
}

func (r *RandomRun) observe() {
	w := r.kernel.cluster.Workers[r.random.below(randomWorkers)]
	report := policy.Report{
		Worker:      w.ID,
		MeasuredAt:  r.now - time.Duration(r.random.below(4000))*time.Millisecond,
		ServiceP99:  time.Duration(20+r.random.below(10)) * time.Millisecond,
		ServiceLoad: float64(r.random.below(100)),
	}
	for _, t := range w.Running {
		if t.Task.Kind == noisyKind {
			report.ServiceP99 += 80 * time.Millisecond
		}
		report.Tasks = append(report.Tasks, policy.TaskUsage{
			Task: t.ID, MilliCPU: t.Resources.MilliCPU,
			MemoryMiB: t.Resources.MemoryMiB * int64(5+r.random.below(10)) / 10,
			Progress:  float64(r.random.below(100)) / 100,
		})
	}
	r.kernel.Observe(r.now, report)
}

func (r *RandomRun) relieve() {
	w := r.kernel.cluster.Workers[r.random.below(randomWorkers)]
	r.note(r.kernel.Relieve(r.now, w.ID, spec.Resources{Slots: int64(1 + r.random.below(4))}))
}

// note carries out the actions: what moves ends and waits again.
func (r *RandomRun) note(actions []policy.Action) {
	for _, a := range actions {
		r.Actions[a.Kind]++
		r.mix(string(a.Kind), a.Task.String(), string(a.Worker))
		if a.Kind != policy.ActionMove && a.Kind != policy.ActionEvict {
			continue
		}
		for i, t := range r.running {
			if t.ID == a.Task {
				take(&r.running, i)
				r.kernel.Ended(r.now, t.ID, policy.EndStopped, time.Second)
				t.Moves++
				r.kernel.Enqueue(r.now, t)
				r.waiting = append(r.waiting, t)
				break
			}
		}
	}
}

func (r *RandomRun) flap() {
	i := r.random.below(randomWorkers)
	if r.random.below(2) == 0 {
		r.kernel.RemoveWorker(r.now, randomWorker(i).ID)
		return
	}
	r.kernel.SetWorker(r.now, randomWorker(i))
}

func (r *RandomRun) explain() {
	if len(r.waiting) > 0 {
		r.kernel.Explain(r.waiting[r.random.below(len(r.waiting))].ID)
	}
}

func (r *RandomRun) mix(parts ...string) {
	h := fnv.New64a()
	fmt.Fprint(h, r.Digest, parts)
	r.Digest = h.Sum64()
}

func take(list *[]policy.Task, i int) policy.Task {
	t := (*list)[i]
	last := len(*list) - 1
	(*list)[i] = (*list)[last]
	*list = (*list)[:last]
	return t
}

// Running returns the tasks on a worker.
func (k *Kernel) Running(id spec.WorkerID) []spec.TaskID {
	var out []spec.TaskID
	for _, t := range k.cluster.workerByID[id].Running {
		out = append(out, t.ID)
	}
	return out
}

// Task returns a known task.
func (k *Kernel) Task(id spec.TaskID) policy.Task { return k.cluster.itemByID[id].Task }
