// Package overload models the backlog of a site and decides which submissions are
// refused. It is pure: it has no clock and no network, does not depend on the
// planner, and the same calls give the same results. The planner reports what
// waits, starts and ends, and asks about each submission.
//
// Processors are in thousandths of a core, work is in core-milliseconds by the
// callers' estimates, and rates are in core-milliseconds per second.
package overload

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

// Kind says how a task uses processors.
type Kind uint8

// Kinds of tasks.
const (
	// Reserved: the task reserves its processors until it ends.
	Reserved Kind = iota
	// BestEffort: the task uses processors that others leave unused.
	BestEffort
	// LongRunning: the task reserves its processors until its job is cancelled.
	LongRunning
	kinds
)

// Size is the size class of a job among the recent jobs of its queue.
type Size uint8

// Size classes.
const (
	Small Size = iota
	Medium
	Large
	sizes
)

// Percentiles of the recent jobs' work that separate the size classes.
const (
	mediumFrom = 0.7
	largeFrom  = 0.9
)

const (
	// sampleMS is the interval of the samples of rates and demand.
	sampleMS = 20_000 / windowSize
	// rateSpanMS is the time over which the rate of finished work is averaged,
	// releaseSpanMS that for capacity which long-running jobs give back.
	rateSpanMS    = 5000
	releaseSpanMS = 10_000
	// ratioWeight is the weight of one end in the ratio of actual to estimated work.
	ratioWeight = 0.02
	// minRatioEnds is the number of ends from which on the ratio counts.
	minRatioEnds = 5
	// maxQueues and maxServices bound the model's memory. Jobs of further queues are
	// not counted, and none of them is refused.
	maxQueues   = 256
	maxServices = 256
)

// lateness is the state of a waiting step. The value of a late job for its
// remaining work is above that of a new job once no more than a quarter of its work
// remains.
type lateness uint8

const (
	inTime lateness = iota
	lateAhead
	lateBehind
	worthless
	latenesses
)

// lateShare is the value of a late job as a share of that of a job in time.
const lateShare = 0.25

// amount is what waits.
type amount struct{ tasks, work, cpu int64 }

// Policy is what the model needs to know of a queue's policy.
type Policy struct {
	Service  string
	Priority int
	// Objective is set if the queue's jobs have an objective.
	Objective bool
}

// queue is the model of one queue. Its jobs and steps point to it, so that it may
// be dropped only when it has none.
type queue struct {
	name       string
	policy     Policy
	service    *service
	configured bool
	jobs       int

	waiting [sizes][kinds][latenesses]amount
	// running are the processors of the running tasks.
	running [kinds]int64
	runs    int64
	// finished is the work that has ended since the last sample, rate the smoothed
	// work finished per second.
	finished [kinds]int64
	rate     [kinds]average
	ratio    average
	ends     int

	// works, widestTasks, widestSteps and holds describe the recent jobs: their
	// estimated work, the processors that one task and all tasks of a step reserve
	// at most, and what a long-running job holds.
	works, widestTasks, widestSteps, holds window
	// demand holds the processors that the queue's tasks reserved and waited for at
	// the last samples, need what follows from it.
	demand window
	need   int64

	gates [2]gate
	// offered and admitted count the recent submissions by size class.
	offered, admitted [sizes]int
}

// service is the capacity of the workers of one service.
type service struct {
	name    string
	workers int64
	// capacity are the workers' processors, room is what is left of them beside
	// the long-running tasks, in whole tasks of the widest ones, emptyRoom the same
	// without long-running tasks. held is what the long-running tasks held.
	capacity, room, emptyRoom, held int64
	// maxFree is the largest unreserved piece of one worker.
	maxFree int64
	// committed is what the accepted long-running jobs hold or will hold, released
	// what ended ones have given back since the last sample.
	committed, released int64
	releaseRate         average
	next                sample
}

// sample collects the rooms of a service's workers.
type sample struct{ workers, capacity, room, emptyRoom, held, maxFree, width int64 }

// Model is the model of the backlog in one term. The zero value is not usable.
type Model struct {
	startMS int64
	// firstEndMS is when the first end of a run was seen, if endSeen is set.
	firstEndMS int64
	endSeen    bool
	nowMS      int64
	sampledMS  int64
	queues     map[string]*queue
	// sorted holds the queues by name.
	sorted   []*queue
	services map[string]*service
	// moving holds the waiting steps whose lateness will change.
	moving  stepHeap
	refused refusals
}

// New returns an empty model for a term that begins now.
func New(nowMS int64) *Model {
	return &Model{startMS: nowMS, nowMS: nowMS, sampledMS: nowMS, queues: map[string]*queue{}, services: map[string]*service{}}
}

// SetQueue sets the policy of a configured queue.
func (m *Model) SetQueue(name string, p Policy) {
	if q := m.queue(name, p); q != nil {
		q.configured = true
		m.setPolicy(q, p)
	}
}

// BeginConfiguration marks all queues as no longer configured; SetQueue for those of
// the new configuration follows.
func (m *Model) BeginConfiguration() {
	for _, q := range m.sorted {
		q.configured = false
	}
}

func (m *Model) setPolicy(q *queue, p Policy) {
	q.policy = p
	if q.service == nil || q.service.name != p.Service {
		q.service = m.service(p.Service)
	}
}

// queue returns a queue, or nil if there are too many.
func (m *Model) queue(name string, p Policy) *queue {
	if q := m.queues[name]; q != nil {
		return q
	}
	if len(m.queues) >= maxQueues {
		return nil
	}
	q := &queue{name: name}
	m.setPolicy(q, p)
	m.queues[name] = q
	at, _ := slices.BinarySearchFunc(m.sorted, name, func(q *queue, name string) int { return cmp.Compare(q.name, name) })
	m.sorted = slices.Insert(m.sorted, at, q)
	return q
}

// service returns a service, or nil if there are too many.
func (m *Model) service(name string) *service {
	s := m.services[name]
	if s == nil && len(m.services) < maxServices {
		s = &service{name: name}
		m.services[name] = s
	}
	return s
}

// sizeOf returns the size class of some work among the queue's recent jobs.
func (q *queue) sizeOf(work int64) Size {
	switch {
	case work > q.works.quantile(largeFrom):
		return Large
	case work >= q.works.quantile(mediumFrom):
		return Medium
	}
	return Small
}

// ratios returns the mean and the standard deviation of the ratio of actual to
// estimated work.
func (q *queue) ratios() (mean, deviation float64) {
	if q.ends < minRatioEnds {
		return 1, 0
	}
	return max(q.ratio.mean, 0.05), math.Sqrt(q.ratio.variance)
}

// Advance updates the lateness of what waits.
func (m *Model) Advance(nowMS int64) {
	m.nowMS = max(m.nowMS, nowMS)
	for len(m.moving) > 0 && m.moving[0].changesMS() < m.nowMS {
		s := m.moving[0]
		s.count(-1)
		s.classify(m.nowMS)
		s.count(1)
		m.place(s)
	}
}

// SampleDue reports whether the next sample is due. The planner then passes all
// usable workers to AddWorker and calls EndSample.
func (m *Model) SampleDue(nowMS int64) bool { return nowMS-m.sampledMS >= sampleMS }

// AddWorker adds the processors of a usable worker to the sample: all, those held
// by long-running tasks and all that are reserved.
func (m *Model) AddWorker(name string, capacity, longRunning, used int64) {
	s := m.service(name)
	if s == nil {
		return
	}
	if s.next.workers == 0 {
		s.next.width = m.widestTask(s)
	}
	n := &s.next
	n.workers++
	n.capacity += capacity
	n.held += longRunning
	n.room += wholeTasks(capacity-longRunning, n.width)
	n.emptyRoom += wholeTasks(capacity, n.width)
	n.maxFree = max(n.maxFree, capacity-used)
}

// widestTask returns the width of all but the widest tenth of the tasks that
// recent jobs with an objective reserve processors for.
func (m *Model) widestTask(s *service) int64 {
	width := int64(0)
	for _, q := range m.sorted {
		if q.service == s && q.policy.Objective {
			width = max(width, q.widestTasks.quantile(largeFrom))
		}
	}
	return width
}

// wholeTasks returns the part of a worker's room that whole tasks of a width can use.
func wholeTasks(room, width int64) int64 {
	room = max(room, 0)
	if width <= 0 {
		return room
	}
	return room - room%width
}

// EndSample ends a sample: rates and demand are learned from what has happened
// since the last one, and what is no longer needed is dropped.
func (m *Model) EndSample(nowMS int64) {
	elapsed := float64(nowMS - m.sampledMS)
	m.sampledMS = nowMS
	m.Advance(nowMS)
	for _, s := range m.services {
		n := s.next
		s.workers, s.capacity, s.room, s.emptyRoom, s.held, s.maxFree = n.workers, n.capacity, n.room, n.emptyRoom, n.held, n.maxFree
		s.next = sample{}
		s.releaseRate.add(float64(s.released)*1000/elapsed, elapsed/(releaseSpanMS+elapsed))
		s.released = 0
	}
	for _, q := range m.sorted {
		q.sample(elapsed)
		q.expireGates(nowMS)
	}
	m.dropUnused()
}

func (q *queue) sample(elapsed float64) {
	useful := int64(0)
	for k := range kinds {
		// Without work the rate says nothing about the capacity.
		busy := q.finished[k] > 0 || q.running[k] > 0
		for size := range sizes {
			for l := inTime; l < worthless; l++ {
				busy = busy || q.waiting[size][k][l].tasks > 0
				if k == Reserved {
					useful += q.waiting[size][k][l].cpu
				}
			}
		}
		if busy {
			q.rate[k].add(float64(q.finished[k])*1000/elapsed, elapsed/(rateSpanMS+elapsed))
		}
		q.finished[k] = 0
	}
	q.demand.add(q.running[Reserved] + useful)
	q.need = 0
	if q.policy.Objective && q.widestSteps.max() > 0 {
		q.need = max(q.demand.quantile(demandQuantile), q.widestSteps.max())
	}
}

// dropUnused drops queues that the configuration no longer has and that have no
// jobs, and services without workers and queues.
func (m *Model) dropUnused() {
	kept := m.sorted[:0]
	for _, q := range m.sorted {
		if !q.configured && q.jobs == 0 && q.runs == 0 {
			delete(m.queues, q.name)
			continue
		}
		kept = append(kept, q)
	}
	clear(m.sorted[len(kept):])
	m.sorted = kept
	for name, s := range m.services {
		if s.workers == 0 && s.committed == 0 && !slices.ContainsFunc(m.sorted, func(q *queue) bool { return q.service == s }) {
			delete(m.services, name)
		}
	}
}

// Status is the backlog of a queue.
type Status struct {
	Queue string
	// Jobs is the number of jobs that have been accepted and have not ended.
	Jobs int
	// Tasks and Work wait, also late ones and those whose result has lost its value.
	Tasks, Work int64
	// WaitMS is the expected wait of a job that is submitted now.
	WaitMS int64
	// RefusingMS is how long submissions of the queue have been refused; 0 if they
	// are not.
	RefusingMS int64
}

// Statuses appends the backlog of each configured queue, in the order of their names.
func (m *Model) Statuses(out []Status) []Status {
	for _, q := range m.sorted {
		if !q.configured {
			continue
		}
		s := Status{Queue: q.name, Jobs: q.jobs}
		kind := BestEffort
		for size := range sizes {
			for k := range kinds {
				for _, a := range q.waiting[size][k] {
					s.Tasks += a.tasks
					s.Work += a.work
				}
			}
		}
		if q.widestSteps.max() > 0 {
			kind = Reserved
		}
		s.WaitMS = m.ahead(q, kind).expectedMS()
		for i := range q.gates {
			if g := &q.gates[i]; g.refusing {
				s.RefusingMS = max(s.RefusingMS, m.nowMS-g.sinceMS, 1)
			}
		}
		out = append(out, s)
	}
	return out
}

// stepHeap holds steps by the time at which their lateness changes.
type stepHeap []*Step

func (h stepHeap) Len() int           { return len(h) }
func (h stepHeap) Less(i, k int) bool { return h[i].changesMS() < h[k].changesMS() }
func (h stepHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].position, h[k].position = i, k
}
func (h *stepHeap) Push(x any) {
	s := x.(*Step)
	s.position = len(*h)
	*h = append(*h, s)
}
func (h *stepHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	s.position = -1
	return s
}

// place puts a step at its position in moving, or takes it out.
func (m *Model) place(s *Step) {
	moves := s.waiting > 0 && s.changesMS() < math.MaxInt64
	switch {
	case moves && s.position < 0:
		heap.Push(&m.moving, s)
	case moves:
		heap.Fix(&m.moving, s.position)
	case s.position >= 0:
		heap.Remove(&m.moving, s.position)
	}
}
