package framework

import (
	"fmt"
	"hash/fnv"
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Mutations lists the mechanisms that WithMutation can switch off.
var Mutations = []string{mutationLag, mutationRelease, mutationCapacity, mutationDetach, mutationMoves, "quota"}

// WithMutation returns a configuration with one mechanism switched off.
func WithMutation(cfg Config, mechanism string) Config {
	cfg.mutation = mechanism
	return cfg
}

// RandomRun makes random calls to a kernel and audits it regularly.
type RandomRun struct {
	Placed int
	// Actions counts the actions by kind.
	Actions map[policy.ActionKind]int
	// Digest is a hash over all decisions in order.
	Digest uint64

	kernel   *Kernel
	random   random
	now      time.Duration
	waiting  []policy.Task
	running  []policy.Task
	nextTask int
}

const (
	randomWorkers = 12
	randomTeams   = 4
	// noisyKind is a kind whose tasks raise the reported p99 above the target.
	noisyKind = "kind2"
)

// NewRandomRun returns a run with a few workers and teams.
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
		r.now += time.Duration(r.random.intn(400)) * time.Millisecond
		r.step()
		if i%16 == 0 {
			r.kernel.Audit()
		}
	}
}

func (r *RandomRun) step() {
	switch n := r.random.intn(100); {
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
		r.carryOut(r.kernel.Review(r.now))
	case n < 97:
		r.relieve()
	case n < 98:
		r.addOrRemoveWorker()
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

// restore adds a task that is already running, as after a takeover.
func (r *RandomRun) restore() {
	task := r.newTask()
	w := r.kernel.cluster.Workers[r.random.intn(randomWorkers)]
	if !task.Resources.Fits(w.Free()) {
		return
	}
	r.kernel.Restore(r.now, task, w.ID)
	r.running = append(r.running, task)
}

func (r *RandomRun) newTask() policy.Task {
	r.nextTask++
	i := r.random.intn(randomTeams)
	task := policy.Task{
		ID:        spec.TaskID{Job: spec.JobID{Team: spec.TeamID(fmt.Sprint("team", i)), Name: fmt.Sprint("j", r.nextTask/3)}, Index: uint32(r.nextTask)},
		Attempt:   1,
		Service:   spec.ServiceID(fmt.Sprint("service", i)),
		Class:     spec.Deadline,
		Kind:      fmt.Sprint("kind", r.random.intn(3)),
		Resources: spec.Resources{MilliCPU: int64(1000 * (1 + r.random.intn(8))), MemoryMiB: int64(1000 * (1 + r.random.intn(30))), Slots: 1},
		RunTime:   time.Minute,
		Deadline:  r.now + time.Duration(1+r.random.intn(600))*time.Second,
		Submitted: r.now,
	}
	if r.random.intn(10) == 0 {
		task.Class, task.Deadline, task.RunTime = spec.LongRunning, 0, 0
	}
	if r.random.intn(10) == 0 {
		task.Resources.Accelerators = 1
	}
	return task
}

func (r *RandomRun) dequeue() {
	if len(r.waiting) == 0 {
		return
	}
	t := removeAt(&r.waiting, r.random.intn(len(r.waiting)))
	r.kernel.Dequeue(t.ID)
}

func (r *RandomRun) schedule() {
	for _, p := range r.kernel.Schedule(r.now, 1+r.random.intn(8)) {
		r.Placed++
		r.addToDigest(p.Task.String(), string(p.Worker), p.Why)
		for i, t := range r.waiting {
			if t.ID == p.Task {
				r.running = append(r.running, removeAt(&r.waiting, i))
				break
			}
		}
	}
}

func (r *RandomRun) end(kind policy.EndKind) {
	if len(r.running) == 0 {
		return
	}
	t := removeAt(&r.running, r.random.intn(len(r.running)))
	r.kernel.Ended(r.now, t.ID, kind, time.Duration(r.random.intn(120))*time.Second)
	if kind != policy.EndDone {
		t.Attempt++
		r.kernel.Enqueue(r.now, t)
		r.waiting = append(r.waiting, t)
	}
}

// grant grants part of the free slots of a worker to urgent requests.
func (r *RandomRun) grant() {
	w := r.kernel.cluster.Workers[r.random.intn(randomWorkers)]
	free := max(0, w.Free().Slots)
	granted := spec.Resources{Slots: int64(r.random.intn(int(min(free, 4)) + 1)), Connections: 10}
	r.kernel.SetGranted(r.now, w.ID, granted)
}

func (r *RandomRun) observe() {
	w := r.kernel.cluster.Workers[r.random.intn(randomWorkers)]
	report := policy.Report{
		Worker:      w.ID,
		MeasuredAt:  r.now - time.Duration(r.random.intn(4000))*time.Millisecond,
		ServiceP99:  time.Duration(20+r.random.intn(10)) * time.Millisecond,
		ServiceLoad: float64(r.random.intn(100)),
	}
	for _, t := range w.Running {
		if t.Task.Kind == noisyKind {
			report.ServiceP99 += 80 * time.Millisecond
		}
		report.Tasks = append(report.Tasks, policy.TaskUsage{
			Task: t.ID, MilliCPU: t.Resources.MilliCPU,
			MemoryMiB: t.Resources.MemoryMiB * int64(5+r.random.intn(10)) / 10,
			Progress:  float64(r.random.intn(100)) / 100,
		})
	}
	r.kernel.Observe(r.now, report)
}

func (r *RandomRun) relieve() {
	w := r.kernel.cluster.Workers[r.random.intn(randomWorkers)]
	r.carryOut(r.kernel.Relieve(r.now, w.ID, spec.Resources{Slots: int64(1 + r.random.intn(4))}))
}

// carryOut carries out actions: a moved or evicted task ends and is enqueued
// again.
func (r *RandomRun) carryOut(actions []policy.Action) {
	for _, a := range actions {
		r.Actions[a.Kind]++
		r.addToDigest(string(a.Kind), a.Task.String(), string(a.Worker))
		if a.Kind != policy.ActionMove && a.Kind != policy.ActionEvict {
			continue
		}
		for i, t := range r.running {
			if t.ID == a.Task {
				removeAt(&r.running, i)
				r.kernel.Ended(r.now, t.ID, policy.EndStopped, time.Second)
				t.Moves++
				r.kernel.Enqueue(r.now, t)
				r.waiting = append(r.waiting, t)
				break
			}
		}
	}
}

func (r *RandomRun) addOrRemoveWorker() {
	i := r.random.intn(randomWorkers)
	if r.random.intn(2) == 0 {
		r.kernel.RemoveWorker(r.now, randomWorker(i).ID)
		return
	}
	r.kernel.SetWorker(r.now, randomWorker(i))
}

func (r *RandomRun) explain() {
	if len(r.waiting) > 0 {
		r.kernel.Explain(r.waiting[r.random.intn(len(r.waiting))].ID)
	}
}

func (r *RandomRun) addToDigest(parts ...string) {
	h := fnv.New64a()
	fmt.Fprint(h, r.Digest, parts)
	r.Digest = h.Sum64()
}

func removeAt(list *[]policy.Task, i int) policy.Task {
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

// Task returns the task with the id, which must be known.
func (k *Kernel) Task(id spec.TaskID) policy.Task { return k.cluster.taskByID[id].Task }
