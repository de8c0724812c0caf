package grant

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/invariant"
	"redwingvale/internal/spec"

	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

var (
	seedFlag  = flag.Uint64("seed", envUint("REDWINGVALE_SEED", 1), "first seed of the random runs")
	stepsFlag = flag.Uint64("steps", envUint("REDWINGVALE_STEPS", 2_000_000), "steps of all random runs together")
)

func envUint(name string, fallback uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

// tick is the simulated time of one step, and runTicks the number of steps
// in one run.
const (
	tick     = 10 * time.Millisecond
	runTicks = 20_000
)

// simulation drives a ledger with entries that use their grants to the full
// over links that lose, delay and reorder messages. It replaces the owner
// repeatedly.
type simulation struct {
	rng    *rand.Rand
	opts   Options
	now    time.Duration
	ledger *Ledger
	lease  OwnershipLease
	// lastLeaseEnd is the latest end of any earlier owner's lease.
	lastLeaseEnd time.Duration
	ids          []spec.WorkerID
	workers      map[spec.WorkerID]*workerState
	entries      []*simEntry
	messages     []message
	steps        int
	failure      string
	tasks        map[spec.TaskID]runningTask
	lastTask     uint32
	grantCount   int
}

type workerState struct {
	worker spec.Worker
	tasks  int64
	inUse  int64
}

type runningTask struct {
	worker spec.WorkerID
	need   spec.Resources
	until  time.Duration
}

type message struct {
	at      time.Duration
	deliver func()
}

// simEntry uses its grants according to the contract of Ledger.Renew.
type simEntry struct {
	name              spec.InstanceID
	incarnation       spec.Incarnation
	startedAt         time.Duration
	sequence          uint64
	clockRate         float64
	want              uint32
	disconnectedUntil time.Duration
	grants            map[spec.WorkerID]*held
}

// held is the grant of an entry on one worker and the requests that use it.
type held struct {
	granted int64
	epoch   uint64
	until   time.Duration
	inUse   int64
}

func newSimulation(seed uint64, opts Options) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 5)), opts: opts,
		workers: make(map[spec.WorkerID]*workerState), tasks: make(map[spec.TaskID]runningTask),
	}
	for i := range 3 {
		id := spec.WorkerID(fmt.Sprintf("w%d", i))
		s.ids = append(s.ids, id)
		s.workers[id] = &workerState{worker: spec.Worker{ID: id, Capacity: spec.Resources{MilliCPU: 32000, Slots: 8, Connections: 60}}}
	}
	for i := range 5 {
		e := &simEntry{name: spec.InstanceID(fmt.Sprintf("e%d", i)), incarnation: 1, clockRate: 0.9995 + 0.001*s.rng.Float64()}
		e.grants = noGrants()
		s.entries = append(s.entries, e)
	}
	s.replaceOwner()
	return s
}

func noGrants() map[spec.WorkerID]*held { return map[spec.WorkerID]*held{"w0": {}, "w1": {}, "w2": {}} }

func (s *simulation) chance(p float64) bool { return s.rng.Float64() < p }

// replaceOwner replaces the ledger. Half of the time the old owner stops
// early, so that its grants are valid beyond its lease.
func (s *simulation) replaceOwner() {
	s.lastLeaseEnd = max(s.lastLeaseEnd, s.lease.Until)
	s.ledger = NewLedger(s.opts)
	var names []spec.InstanceID
	for _, e := range s.entries {
		names = append(names, e.name)
	}
	s.ledger.SetEntries(names)
	for _, id := range s.ids {
		s.ledger.SetWorker(s.workers[id].worker, false)
	}
	for id, task := range s.tasks {
		s.ledger.Restore(id, task.worker, task.need)
	}
	if s.lease.Epoch > 0 {
		s.ledger.TakeOver(max(s.lastLeaseEnd, s.now), nil)
	}
	s.lease = OwnershipLease{Epoch: s.lease.Epoch + 1}
}

func (s *simulation) run() {
	defer func() {
		if v, ok := recover().(*invariant.Violation); ok {
			s.failure = v.Error()
		}
	}()
	for range runTicks {
		s.now += tick
		s.steps++
		s.step()
		s.check()
		if s.failure != "" {
			return
		}
	}
}

func (s *simulation) step() {
	kept := s.messages[:0:0]
	due := s.messages
	s.messages = nil
	for _, m := range due {
		if m.at > s.now {
			kept = append(kept, m)
			continue
		}
		m.deliver()
	}
	s.messages = append(kept, s.messages...)
	if s.chance(0.2) && !s.chance(0.02) {
		s.lease.Until = s.now + 1200*time.Millisecond
	}
	if s.chance(0.0008) {
		s.replaceOwner()
	}
	s.stepTasks()
	for _, e := range s.entries {
		s.stepEntry(e)
	}
}

// stepTasks starts and ends batch tasks.
func (s *simulation) stepTasks() {
	for id, task := range s.tasks {
		if s.now >= task.until {
			delete(s.tasks, id)
			s.workers[task.worker].tasks -= task.need.Slots
			s.ledger.Release(id, task.worker)
		}
	}
	if !s.chance(0.02) {
		return
	}
	s.lastTask++
	id := spec.TaskID{Index: s.lastTask}
	need := spec.Resources{MilliCPU: 1000, Slots: 1 + s.rng.Int64N(4), Connections: 1}
	worker := s.ids[s.rng.IntN(len(s.ids))]
	if s.ledger.Reserve(s.now, id, worker, need) {
		s.tasks[id] = runningTask{worker: worker, need: need, until: s.now + time.Duration(s.rng.Int64N(int64(10*time.Second)))}
		s.workers[worker].tasks += need.Slots
	}
}

func (s *simulation) stepEntry(e *simEntry) {
	if s.chance(0.003) {
		e.want = uint32(s.rng.IntN(6))
	}
	if s.chance(0.0005) {
		e.disconnectedUntil = s.now + time.Duration(s.rng.Int64N(int64(20*time.Second)))
	}
	if s.chance(0.0003) {
		s.restart(e)
	}
	if s.chance(1.0 / 30) {
		s.renew(e)
	}
	for _, id := range s.ids {
		own := e.grants[id]
		for s.now < own.until && own.inUse < own.granted && s.chance(0.5) {
			s.startRequest(e, id, own)
		}
	}
}

// startRequest starts a request that lasts at most the urgent limit on the
// entry's clock.
func (s *simulation) startRequest(e *simEntry, id spec.WorkerID, own *held) {
	own.inUse++
	s.workers[id].inUse++
	limit := time.Duration(float64(s.opts.UrgentLimit) / e.clockRate)
	length := limit
	if s.chance(0.8) {
		length = time.Duration(s.rng.Int64N(int64(limit)))
	}
	s.messages = append(s.messages, message{at: s.now + length - tick, deliver: func() {
		own.inUse--
		s.workers[id].inUse--
	}})
}

// restart discards the state of the entry; its requests continue on the
// targets.
func (s *simulation) restart(e *simEntry) {
	e.incarnation++
	e.sequence = 0
	e.startedAt = s.now
	e.grants = noGrants()
}

func (s *simulation) renew(e *simEntry) {
	e.sequence++
	req := &schedv1.RenewGrantsRequest{Entry: string(e.name), EntryIncarnation: uint64(e.incarnation), Sequence: e.sequence}
	req.RunningMs = uint64(float64((s.now - e.startedAt).Milliseconds()) * e.clockRate)
	for _, id := range s.ids {
		own := e.grants[id]
		h := &schedv1.Holding{Worker: string(id), InUse: uint32(own.inUse), Want: e.want, Epoch: own.epoch}
		if s.now < own.until {
			h.HeldSlots = uint32(own.granted)
		}
		req.Holdings = append(req.Holdings, h)
	}
	sentAt, sequence, incarnation := s.now, e.sequence, e.incarnation
	s.send(e, func() {
		grants := s.ledger.Renew(s.now, s.lease, req)
		s.send(e, func() {
			if e.sequence == sequence && e.incarnation == incarnation {
				s.applyGrants(e, grants, sentAt)
			}
		})
	})
}

func (s *simulation) applyGrants(e *simEntry, grants []*schedv1.Grant, sentAt time.Duration) {
	for _, g := range grants {
		own := e.grants[spec.WorkerID(g.GetWorker())]
		own.epoch = max(own.epoch, g.GetEpoch())
		if g.GetSlots() == 0 {
			continue
		}
		own.granted = int64(g.GetSlots())
		valid := float64(g.GetValidMs()) * 0.999 / e.clockRate
		own.until = sentAt + time.Duration(valid*float64(time.Millisecond))
		s.grantCount++
	}
}

// send delivers a message after a random delay or loses it; the delays
// reorder messages.
func (s *simulation) send(e *simEntry, deliver func()) {
	if s.now < e.disconnectedUntil || s.chance(0.05) {
		return
	}
	d := time.Duration(s.rng.Int64N(int64(40 * time.Millisecond)))
	if s.chance(0.05) {
		d = time.Duration(s.rng.Int64N(int64(4 * time.Second)))
	}
	s.messages = append(s.messages, message{at: s.now + d, deliver: deliver})
}

func (s *simulation) check() {
	for _, id := range s.ids {
		w := s.workers[id]
		if w.tasks+w.inUse > w.worker.Capacity.Slots {
			s.failure = fmt.Sprintf("P1: at %s worker %s uses %d slots for tasks and %d for requests", s.now, id, w.tasks, w.inUse)
		}
	}
}

func runSimulation(seed uint64, opts Options) *simulation {
	s := newSimulation(seed, opts)
	s.run()
	return s
}

// Guards against a worker on which entries and tasks together use more slots
// than it has, when messages are lost, late or reordered and the owner
// changes.
func TestRandomRuns(t *testing.T) {
	c := qt.New(t)
	steps, grants := 0, 0
	seed, limit := *seedFlag, *stepsFlag
	if testing.Short() {
		limit /= 10
	}
	for ; uint64(steps) < limit; seed++ {
		sim := runSimulation(seed, DefaultOptions())
		c.Assert(sim.failure, qt.Equals, "", qt.Commentf("seed %d", seed))
		steps += sim.steps
		grants += sim.grantCount
	}
	t.Logf("seeds %d to %d: %d steps, %d grants", *seedFlag, seed-1, steps, grants)
}

// Guards against a simulation that does not detect grants beyond the bound,
// late reports that free slots, or a new owner that reserves nothing for
// unreported entries.
func TestMutations(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"GrantBound":      func(o *Options) { o.unboundedGrants = true },
		"ReportOrder":     func(o *Options) { o.acceptStaleReports = true },
		"TakeOverReserve": func(o *Options) { o.noTakeoverReserve = true },
	} {
		t.Run(name, func(t *testing.T) {
			opts := DefaultOptions()
			change(&opts)
			for seed := uint64(1); seed <= 20; seed++ {
				if sim := runSimulation(seed, opts); sim.failure != "" {
					t.Logf("seed %d, %d steps: %s", seed, sim.steps, sim.failure)
					return
				}
			}
			qt.New(t).Fatalf("no violation")
		})
	}
}
