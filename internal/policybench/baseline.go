package policybench

import (
	"math/rand/v2"
	"sort"
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// chooser returns the worker for a task among those with free capacity, or nil.
type chooser func(b *baseline, t policy.Task) *workerState

// workerState is a baseline's state of one worker.
type workerState struct {
	worker  spec.Worker
	granted spec.Resources
	used    spec.Resources
	running []policy.Task
	removed bool
	// actedAt is the time of the last eviction. It limits evictions to one per
	// report.
	actedAt time.Duration
	report  policy.Report
}

func (s *workerState) free() spec.Resources { return s.worker.Capacity.Sub(s.granted).Sub(s.used) }

// baseline is a Decider that does not learn: it places tasks first come, first
// served by declared size. If reactive, it evicts the newest task of a worker
// whose measured p99 is above the service's target, once per report.
type baseline struct {
	choose   chooser
	order    func(b *baseline, t policy.Task) float64
	victim   func(b *baseline, s *workerState) int
	reactive bool
	random   *rand.Rand
	workers  []*workerState
	byID     map[spec.WorkerID]*workerState
	byTask   map[spec.TaskID]*workerState
	queue    []policy.Task
	target   time.Duration
	reported []*workerState
	// memory holds the actual peaks in MiB. Only Clairvoyant sets it.
	memory map[spec.TaskID]float64
}

var _ policy.Decider = (*baseline)(nil)

func newBaseline(choose chooser, reactive bool, seed uint64) *baseline {
	return &baseline{
		choose: choose, reactive: reactive,
		victim: newest,
		random: rand.New(rand.NewPCG(seed, 0xba5e)),
		byID:   map[spec.WorkerID]*workerState{},
		byTask: map[spec.TaskID]*workerState{},
	}
}

// Random places a task on a random worker with free capacity.
func Random(_ *trace, seed uint64) policy.Decider {
	return newBaseline(func(b *baseline, t policy.Task) *workerState {
		var chosen *workerState
		seen := 0
		for _, s := range b.workers {
			if b.fits(s, t) {
				seen++
				if b.random.IntN(seen) == 0 {
					chosen = s
				}
			}
		}
		return chosen
	}, true, seed)
}

// FirstFit places a task on the first worker with free capacity.
func FirstFit(_ *trace, seed uint64) policy.Decider {
	return newBaseline(func(b *baseline, t policy.Task) *workerState {
		for _, s := range b.workers {
			if b.fits(s, t) {
				return s
			}
		}
		return nil
	}, true, seed)
}

// LeastLoaded places a task on the worker with the most free slots, and among
// equals on the one with the most free processors.
func LeastLoaded(_ *trace, seed uint64) policy.Decider {
	return newBaseline(leastLoaded, true, seed)
}

// LeastLoadedPassive is LeastLoaded without evictions for a high p99.
func LeastLoadedPassive(_ *trace, seed uint64) policy.Decider {
	return newBaseline(leastLoaded, false, seed)
}

func leastLoaded(b *baseline, t policy.Task) *workerState {
	var best *workerState
	for _, s := range b.workers {
		if b.fits(s, t) && (best == nil || lessLoaded(s, best)) {
			best = s
		}
	}
	return best
}

func lessLoaded(a, b *workerState) bool {
	x, y := a.free(), b.free()
	if x.Slots != y.Slots {
		return x.Slots > y.Slots
	}
	return x.MilliCPU > y.MilliCPU
}

func (b *baseline) fits(s *workerState, t policy.Task) bool {
	if s.removed || !t.Resources.Fits(s.free()) {
		return false
	}
	return b.memory == nil || b.memoryFits(s, t)
}

// memoryFits reports whether the actual memory peaks of a task and of the running
// tasks fit beside the service.
func (b *baseline) memoryFits(s *workerState, t policy.Task) bool {
	sum := serviceMemoryMiB + b.memory[t.ID]
	for _, each := range s.running {
		sum += b.memory[each.ID]
	}
	return sum <= float64(s.worker.Capacity.MemoryMiB)
}

// Configure implements policy.Decider.
func (b *baseline) Configure(_ time.Duration, services []policy.Service) {
	b.target = services[0].TargetP99
}

// SetWorker implements policy.Decider.
func (b *baseline) SetWorker(_ time.Duration, w spec.Worker) {
	if s := b.byID[w.ID]; s != nil {
		s.worker, s.removed = w, false
		return
	}
	s := &workerState{worker: w}
	b.workers = append(b.workers, s)
	b.byID[w.ID] = s
}

// RemoveWorker implements policy.Decider.
func (b *baseline) RemoveWorker(_ time.Duration, id spec.WorkerID) { b.byID[id].removed = true }

// SetGranted implements policy.Decider.
func (b *baseline) SetGranted(_ time.Duration, id spec.WorkerID, granted spec.Resources) {
	b.byID[id].granted = granted
}

// Enqueue implements policy.Decider.
func (b *baseline) Enqueue(_ time.Duration, t policy.Task) { b.queue = append(b.queue, t) }

// Dequeue implements policy.Decider.
func (b *baseline) Dequeue(id spec.TaskID) {
	for i, t := range b.queue {
		if t.ID == id {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			return
		}
	}
}

// Restore implements policy.Decider.
func (b *baseline) Restore(_ time.Duration, t policy.Task, id spec.WorkerID) { b.place(t, b.byID[id]) }

// Schedule implements policy.Decider. It skips a task that fits nowhere and goes
// on with the next one.
func (b *baseline) Schedule(_ time.Duration, limit int) []policy.Placement {
	if b.order != nil {
		sort.SliceStable(b.queue, func(i, j int) bool {
			return b.order(b, b.queue[i]) < b.order(b, b.queue[j])
		})
	}
	var out []policy.Placement
	kept := b.queue[:0]
	for _, t := range b.queue {
		s := b.choose(b, t)
		if s == nil || len(out) >= limit {
			kept = append(kept, t)
			continue
		}
		b.place(t, s)
		out = append(out, policy.Placement{Task: t.ID, Worker: s.worker.ID})
	}
	b.queue = kept
	return out
}

func (b *baseline) place(t policy.Task, s *workerState) {
	s.used = s.used.Add(t.Resources)
	s.running = append(s.running, t)
	b.byTask[t.ID] = s
}

// Ended implements policy.Decider.
func (b *baseline) Ended(_ time.Duration, id spec.TaskID, _ policy.EndKind, _ time.Duration) {
	s := b.byTask[id]
	if s == nil {
		b.Dequeue(id)
		return
	}
	delete(b.byTask, id)
	for i, t := range s.running {
		if t.ID == id {
			s.used = s.used.Sub(t.Resources)
			s.running = append(s.running[:i:i], s.running[i+1:]...)
			return
		}
	}
}

// Observe implements policy.Decider.
func (b *baseline) Observe(_ time.Duration, r policy.Report) {
	s := b.byID[r.Worker]
	s.report = r
	b.reported = append(b.reported, s)
}

// Review implements policy.Decider.
func (b *baseline) Review(now time.Duration) []policy.Action {
	var out []policy.Action
	for _, s := range b.reported {
		late := s.report.ServiceP99 > b.target && s.report.MeasuredAt > s.actedAt
		if i := b.victim(b, s); b.reactive && late && i >= 0 {
			s.actedAt = now
			out = append(out, policy.Action{Kind: policy.ActionEvict, Task: s.running[i].ID, Worker: s.worker.ID})
		}
	}
	b.reported = b.reported[:0]
	return out
}

// Relieve implements policy.Decider.
func (b *baseline) Relieve(now time.Duration, id spec.WorkerID, need spec.Resources) []policy.Action {
	s := b.byID[id]
	i := b.victim(b, s)
	if i < 0 || now < s.actedAt+2*time.Second {
		return nil
	}
	s.actedAt = now
	return []policy.Action{{Kind: policy.ActionEvict, Task: s.running[i].ID, Worker: id}}
}

// newest returns the index of the most recently placed batch task, or -1.
func newest(_ *baseline, s *workerState) int {
	for i := len(s.running) - 1; i >= 0; i-- {
		if s.running[i].Class == spec.Deadline {
			return i
		}
	}
	return -1
}

// Explain implements policy.Decider.
func (b *baseline) Explain(spec.TaskID) []policy.Reason { return nil }

// Overdue implements policy.Decider.
func (b *baseline) Overdue(time.Duration) []spec.TaskID { return nil }
