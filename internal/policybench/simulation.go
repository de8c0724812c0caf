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

// The fixed behaviour of the simulation, in seconds unless stated otherwise.
const (
	checkpointEvery     = 60
	checkpointDuration  = 5
	leaseDuration       = 20
	reviewEvery         = 5
	unhealthyFailsAfter = 2
	// serviceMemoryMiB is the memory that the target itself uses.
	serviceMemoryMiB = 8192
	// latencySigma is the spread of the logarithm of one request's latency.
	latencySigma = 0.5
)

// run is one running attempt.
type run struct {
	task     *tracedTask
	worker   int
	started  int
	progress float64
	saved    float64
	lastSave int
	throttle float64
	// stopAt is when a move or an eviction takes effect, or 0.
	stopAt int
	move   bool
	// lostAt is when the lease of a task on a lost worker ends, or 0.
	lostAt int
	moves  int
}

// simWorker is the actual state of one worker.
type simWorker struct {
	spec      spec.Worker
	granted   spec.Resources
	running   []*run
	down      bool
	unhealthy bool
}

// pendingReport is a report that has not been delivered yet.
type pendingReport struct {
	at     int
	report policy.Report
}

// Simulation runs one Decider on one trace.
type Simulation struct {
	trace   *trace
	decider policy.Decider
	noise   *rand.Rand
	workers []simWorker
	byTask  map[spec.TaskID]*run
	waiting map[spec.TaskID]*tracedTask
	saved   map[spec.TaskID]policy.Task
	pending []pendingReport
	now     int
	arrived int
	result  Result
}

// Run returns the figures of one Decider over one seed of a parameter set.
func Run(p Params, seed uint64, make Maker) Result {
	t := newTrace(p, seed)
	w := &Simulation{
		trace:   t,
		decider: make(t, seed),
		noise:   rand.New(rand.NewPCG(seed, 0x4015e)),
		byTask:  map[spec.TaskID]*run{},
		waiting: map[spec.TaskID]*tracedTask{},
		saved:   map[spec.TaskID]policy.Task{},
		result:  newResult(),
	}
	w.setUpWorkers()
	for w.now = range p.Seconds {
		w.step()
	}
	w.finish()
	return w.result
}

// Maker returns a Decider for a trace. Only Clairvoyant reads the trace.
type Maker func(t *trace, seed uint64) policy.Decider

func (s *Simulation) setUpWorkers() {
	p := s.trace.params
	s.decider.Configure(0, []policy.Service{{
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
		s.workers = append(s.workers, simWorker{spec: worker})
		s.decider.SetWorker(0, worker)
	}
}

// step advances the simulation by one second.
func (s *Simulation) step() {
	s.applyFaults()
	s.arrivals()
	s.cancellations()
	s.advance()
	s.measure()
	s.deliver()
	s.updateGrants()
	if s.now%reviewEvery == 0 {
		s.carryOut(s.decider.Review(s.clock()))
	}
	s.place()
	if s.now%30 == 0 {
		s.recordOverdue()
	}
}

func (s *Simulation) clock() time.Duration { return seconds(float64(s.now)) }

func (s *Simulation) arrivals() {
	for s.arrived < len(s.trace.tasks) && s.trace.tasks[s.arrived].arrive <= s.now {
		t := &s.trace.tasks[s.arrived]
		s.arrived++
		s.waiting[t.declared.ID] = t
		s.decider.Enqueue(s.clock(), t.declared)
	}
}

func (s *Simulation) place() {
	for _, p := range s.decider.Schedule(s.clock(), 1000) {
		t := s.waiting[p.Task]
		if t == nil {
			continue
		}
		delete(s.waiting, p.Task)
		i := s.indexOf(p.Worker)
		r := &run{task: t, worker: i, started: s.now, lastSave: s.now, throttle: 1}
		if saved, resumed := s.saved[p.Task]; resumed {
			r.progress, r.saved, r.moves = saved.Progress, saved.Progress, saved.Moves
		}
		s.workers[i].running = append(s.workers[i].running, r)
		s.byTask[p.Task] = r
		s.checkNotOvercommitted(i)
	}
}

func (s *Simulation) indexOf(id spec.WorkerID) int {
	var i int
	fmt.Sscanf(string(id), "w%d", &i)
	return i
}

// checkNotOvercommitted asserts that declarations and grants fit into the
// capacity of a worker.
func (s *Simulation) checkNotOvercommitted(i int) {
	m := &s.workers[i]
	sum := m.granted
	for _, r := range m.running {
		sum = sum.Add(r.task.declared.Resources)
	}
	invariant.Check(sum.Fits(m.spec.Capacity), invariant.NeverOvercommitted,
		"worker %s: %+v of %+v", m.spec.ID, sum, m.spec.Capacity)
}

// advance advances every running task by one second.
func (s *Simulation) advance() {
	for i := range s.workers {
		m := &s.workers[i]
		if m.down {
			s.expireLeases(m)
			continue
		}
		load := s.trace.load[s.now][i]
		contention := s.contention(m, load)
		for _, r := range append([]*run(nil), m.running...) {
			s.advanceRun(m, r, load, contention)
		}
		s.checkMemory(m)
		s.serve(i, m, load)
	}
}

// contention is the share of the processors that running tasks get.
func (s *Simulation) contention(m *simWorker, load float64) float64 {
	wanted := load * 0.25 * float64(m.spec.Capacity.MilliCPU)
	for _, r := range m.running {
		wanted += r.task.cpu * r.throttle
	}
	return min(1, float64(m.spec.Capacity.MilliCPU)/max(1, wanted))
}

func (s *Simulation) advanceRun(m *simWorker, r *run, load, contention float64) {
	if r.stopAt != 0 && s.now >= r.stopAt {
		s.stop(m, r)
		return
	}
	if (m.unhealthy || r.task.bad) && s.now-r.started >= unhealthyFailsAfter {
		s.end(m, r, policy.EndFailed)
		return
	}
	rate := r.throttle * contention / (1 + r.task.kind.Sensitivity*load)
	r.progress += rate / r.task.run
	if s.now-r.lastSave >= checkpointEvery {
		r.saved, r.lastSave = r.progress, s.now
	}
	if r.progress >= 1 {
		s.end(m, r, policy.EndDone)
	}
}

// memoryInUse returns the memory in use, which grows over the first fifth of the
// run.
func (r *run) memoryInUse() float64 {
	return r.task.memory * min(1, 0.3+3.5*r.progress+boolToFloat(math.IsInf(r.task.run, 1)))
}

// checkMemory kills the task furthest above its declaration when the worker's
// memory is exceeded.
func (s *Simulation) checkMemory(m *simWorker) {
	sum := float64(serviceMemoryMiB)
	var worst *run
	for _, r := range m.running {
		sum += r.memoryInUse()
		if worst == nil || excess(r) > excess(worst) {
			worst = r
		}
	}
	if sum > float64(m.spec.Capacity.MemoryMiB) && worst != nil {
		s.result.OutOfMemory++
		s.addLostWork(worst, worst.progress)
		worst.progress, worst.saved = 0, 0
		s.end(m, worst, policy.EndFailed)
	}
}

func excess(r *run) float64 { return r.memoryInUse() - float64(r.task.declared.Resources.MemoryMiB) }

// slowdown is the factor by which batch tasks raise the service's latency.
func slowdown(m *simWorker, load float64) float64 {
	s := 1.0
	for _, r := range m.running {
		s += r.task.kind.slowdownAt(load) * r.throttle
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

// p99 is the actual tail latency of a worker in milliseconds.
func (s *Simulation) p99(m *simWorker, load float64) float64 {
	service := s.trace.params.Service
	short := 0.0
	if want := s.slotsFor(load); want > m.granted.Slots {
		short = float64(want-m.granted.Slots) / float64(want)
	}
	return service.BaseP99MS * (1 + 0.5*load*load) * slowdown(m, load) * (1 + 2*short)
}

// serve records the latencies of one second of requests.
func (s *Simulation) serve(i int, m *simWorker, load float64) {
	service := s.trace.params.Service
	median := math.Exp(-2.326 * latencySigma)
	s.result.latency.add(median*s.p99(m, load), load*service.RequestsPerSecond)
	s.result.floor.add(median*service.BaseP99MS*(1+0.5*load*load), load*service.RequestsPerSecond)
}

func (s *Simulation) slotsFor(load float64) int64 {
	return int64(math.Ceil(load * s.trace.params.Service.MaxSlots))
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
