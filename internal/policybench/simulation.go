package policybench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"redwingvale/internal/invariant"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Constants of the simulation, in seconds unless stated otherwise.
const (
	checkpointEvery     = 60
	checkpointTakes     = 5
	leaseLength         = 20
	reviewEvery         = 5
	unhealthyFailsAfter = 2
	// serviceMemoryMiB is the memory that the target itself uses.
	serviceMemoryMiB = 8192
	// latencySigma is the spread of the logarithm of one request's latency.
	latencySigma = 0.5
)

// run is one running attempt.
type run struct {
	actual   *actualTask
	worker   int
	started  int
	progress float64
	saved    float64
	lastSave int
	throttle float64
	// stopAt is the time at which a move or an eviction takes effect, or 0.
	stopAt int
	move   bool
	// lostAt is the time at which the lease of a task on a lost worker ends, or
	// 0.
	lostAt int
	moves  int
}

// machine is the simulated state of one worker.
type machine struct {
	spec      spec.Worker
	granted   spec.Resources
	running   []*run
	down      bool
	unhealthy bool
}

// pendingReport is a report that has not arrived yet.
type pendingReport struct {
	at     int
	report policy.Report
}

// Simulation runs one Decider on one trace.
type Simulation struct {
	trace    *trace
	decider  policy.Decider
	noise    *rand.Rand
	machines []machine
	byTask   map[spec.TaskID]*run
	waiting  map[spec.TaskID]*actualTask
	saved    map[spec.TaskID]policy.Task
	pending  []pendingReport
	now      int
	arrived  int
	result   Result
}

// Run simulates a Decider with one seed of a parameter set and returns the
// figures.
func Run(p Params, seed uint64, make Maker) Result {
	t := newTrace(p, seed)
	w := &Simulation{
		trace:   t,
		decider: make(t, seed),
		noise:   rand.New(rand.NewPCG(seed, 0x4015e)),
		byTask:  map[spec.TaskID]*run{},
		waiting: map[spec.TaskID]*actualTask{},
		saved:   map[spec.TaskID]policy.Task{},
		result:  newResult(),
	}
	w.configure()
	for w.now = range p.Seconds {
		w.step()
	}
	w.finish()
	return w.result
}

// Maker returns a Decider for a trace. Only a clairvoyant one reads the trace.
type Maker func(t *trace, seed uint64) policy.Decider

func (w *Simulation) configure() {
	p := w.trace.params
	w.decider.Configure(0, []policy.Service{{
		Team: "desk", ID: serviceID,
		TailWeight: p.Service.TailWeight, EvictionWeight: p.Service.EvictionWeight,
		TargetP99: time.Duration(p.Service.TargetMS * float64(time.Millisecond)),
	}})
	for i := range p.Sites.Workers {
		capacity := spec.Resources{
			MilliCPU: p.Sites.MilliCPU, MemoryMiB: p.Sites.MemoryMiB,
			Slots: p.Sites.Slots, Connections: p.Sites.Connections,
		}
		if p.Sites.AcceleratorEvery > 0 && i%p.Sites.AcceleratorEvery == 0 {
			capacity.Accelerators = p.Sites.Accelerators
		}
		worker := spec.Worker{
			ID:         spec.WorkerID(fmt.Sprintf("w%03d", i)),
			Rack:       spec.Rack(fmt.Sprint("rack", i/p.Sites.RackSize)),
			DataCentre: spec.DataCentre(fmt.Sprint("dc", i%p.Sites.DataCentres)),
			Capacity:   capacity,
			Service:    serviceID,
		}
		w.machines = append(w.machines, machine{spec: worker})
		w.decider.SetWorker(0, worker)
	}
}

// step advances the simulation by one second.
func (w *Simulation) step() {
	w.updateFaults()
	w.arrivals()
	w.cancellations()
	w.advance()
	w.measure()
	w.deliver()
	w.updateGrants()
	if w.now%reviewEvery == 0 {
		w.execute(w.decider.Review(w.clock()))
	}
	w.place()
	if w.now%30 == 0 {
		w.recordOverdue()
	}
}

func (w *Simulation) clock() time.Duration { return seconds(float64(w.now)) }

func (w *Simulation) arrivals() {
	for w.arrived < len(w.trace.tasks) && w.trace.tasks[w.arrived].arrive <= w.now {
		t := &w.trace.tasks[w.arrived]
		w.arrived++
		w.waiting[t.task.ID] = t
		w.decider.Enqueue(w.clock(), t.task)
	}
}

func (w *Simulation) place() {
	for _, p := range w.decider.Schedule(w.clock(), 1000) {
		t := w.waiting[p.Task]
		if t == nil {
			continue
		}
		delete(w.waiting, p.Task)
		i := w.indexOf(p.Worker)
		r := &run{actual: t, worker: i, started: w.now, lastSave: w.now, throttle: 1}
		if s, resumed := w.saved[p.Task]; resumed {
			r.progress, r.saved, r.moves = s.Progress, s.Progress, s.Moves
		}
		w.machines[i].running = append(w.machines[i].running, r)
		w.byTask[p.Task] = r
		w.checkCapacity(i)
	}
}

func (w *Simulation) indexOf(id spec.WorkerID) int {
	var i int
	fmt.Sscanf(string(id), "w%d", &i)
	return i
}

// checkCapacity asserts that the declared resources and the grants fit a worker's
// capacity, as the ledger does.
func (w *Simulation) checkCapacity(i int) {
	m := &w.machines[i]
	sum := m.granted
	for _, r := range m.running {
		sum = sum.Add(r.actual.task.Resources)
	}
	invariant.Check(sum.Fits(m.spec.Capacity), invariant.NeverOvercommitted,
		"worker %s: %+v of %+v", m.spec.ID, sum, m.spec.Capacity)
}

// advance advances every running task by one second.
func (w *Simulation) advance() {
	for i := range w.machines {
		m := &w.machines[i]
		if m.down {
			w.expireLeases(m)
			continue
		}
		load := w.trace.load[w.now][i]
		contention := w.contention(m, load)
		for _, r := range append([]*run(nil), m.running...) {
			w.advanceRun(m, r, load, contention)
		}
		w.checkMemory(m)
		w.recordLatencies(i, m, load)
	}
}

// contention returns the share of the wanted processor time that running tasks
// get.
func (w *Simulation) contention(m *machine, load float64) float64 {
	wanted := load * 0.25 * float64(m.spec.Capacity.MilliCPU)
	for _, r := range m.running {
		wanted += r.actual.cpu * r.throttle
	}
	return min(1, float64(m.spec.Capacity.MilliCPU)/max(1, wanted))
}

func (w *Simulation) advanceRun(m *machine, r *run, load, contention float64) {
	if r.stopAt != 0 && w.now >= r.stopAt {
		w.stop(m, r)
		return
	}
	if (m.unhealthy || r.actual.alwaysFails) && w.now-r.started >= unhealthyFailsAfter {
		w.end(m, r, policy.EndFailed)
		return
	}
	rate := r.throttle * contention / (1 + r.actual.kind.Suffers*load)
	r.progress += rate / r.actual.run
	if w.now-r.lastSave >= checkpointEvery {
		r.saved, r.lastSave = r.progress, w.now
	}
	if r.progress >= 1 {
		w.end(m, r, policy.EndDone)
	}
}

// memoryInUse returns the memory in use, which grows over the first fifth of the
// run.
func (r *run) memoryInUse() float64 {
	return r.actual.memory * min(1, 0.3+3.5*r.progress+boolToFloat(math.IsInf(r.actual.run, 1)))
}

// checkMemory kills the task that exceeds its declared memory most when the
// worker's memory is exceeded.
func (w *Simulation) checkMemory(m *machine) {
	sum := float64(serviceMemoryMiB)
	var worst *run
	for _, r := range m.running {
		sum += r.memoryInUse()
		if worst == nil || excess(r) > excess(worst) {
			worst = r
		}
	}
	if sum > float64(m.spec.Capacity.MemoryMiB) && worst != nil {
		w.result.OutOfMemory++
		w.addLostWork(worst, worst.progress)
		worst.progress, worst.saved = 0, 0
		w.end(m, worst, policy.EndFailed)
	}
}

func excess(r *run) float64 { return r.memoryInUse() - float64(r.actual.task.Resources.MemoryMiB) }

// slowdown returns the factor by which batch tasks raise the service's latency.
func slowdown(m *machine, load float64) float64 {
	s := 1.0
	for _, r := range m.running {
		s += r.actual.kind.slowdownAt(load) * r.throttle
	}
	return s
}

// slowdownAt returns the slowdown that one task of a kind adds at a load.
func (k *Kind) slowdownAt(load float64) float64 {
	if load <= k.Knee {
		return 0
	}
	return k.Slowdown * (load - k.Knee) / (1 - k.Knee)
}

// p99 returns the actual tail latency of a worker in milliseconds, without
// measurement noise.
func (w *Simulation) p99(m *machine, load float64) float64 {
	s := w.trace.params.Service
	short := 0.0
	if want := w.slotsFor(load); want > m.granted.Slots {
		short = float64(want-m.granted.Slots) / float64(want)
	}
	return s.BaseP99MS * (1 + 0.5*load*load) * slowdown(m, load) * (1 + 2*short)
}

// recordLatencies records the latencies of one second of requests.
func (w *Simulation) recordLatencies(i int, m *machine, load float64) {
	s := w.trace.params.Service
	median := math.Exp(-2.326 * latencySigma)
	w.result.latency.add(median*w.p99(m, load), load*s.RequestsPerSecond)
	w.result.floor.add(median*s.BaseP99MS*(1+0.5*load*load), load*s.RequestsPerSecond)
}

func (w *Simulation) slotsFor(load float64) int64 {
	return int64(math.Ceil(load * w.trace.params.Service.MaxSlots))
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
