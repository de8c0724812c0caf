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

func envUint(name string, otherwise uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

// tick is the simulated time of one step, and runTicks the length of one run.
const (
	tick     = 10 * time.Millisecond
	runTicks = 20_000
)

// bench drives a ledger with entries that use their grants to the full over
// links that lose, delay and reorder messages. Owners follow one another.
type bench struct {
	rng    *rand.Rand
	opts   Options
	now    time.Duration
	ledger *Ledger
	right  Right
	// oldEnd is the latest end of any earlier owner's right.
	oldEnd  time.Duration
	ids     []spec.WorkerID
	workers map[spec.WorkerID]*truth
	entries []*entry
	mail    []message
	steps   int
	failure string
	tasks   map[spec.TaskID]placed
	next    uint32
	given   int
}

type truth struct {
	worker spec.Worker
	tasks  int64
	inUse  int64
}

type placed struct {
	worker spec.WorkerID
	need   spec.Resources
	until  time.Duration
}

type message struct {
	at      time.Duration
	deliver func()
}

// entry keeps its grants as the ledger's contract states it.
type entry struct {
	name        spec.InstanceID
	incarnation spec.Incarnation
	bornAt      time.Duration
	sequence    uint64
	rate        float64
	want        uint32
	cutOff      time.Duration
	books       map[spec.WorkerID]*book
}

type book struct {
	granted int64
	epoch   uint64
	until   time.Duration
	inUse   int64
}

func newBench(seed uint64, opts Options) *bench {
	b := &bench{
		rng: rand.New(rand.NewPCG(seed, 5)), opts: opts,
		workers: make(map[spec.WorkerID]*truth), tasks: make(map[spec.TaskID]placed),
	}
	for i := range 3 {
		id := spec.WorkerID(fmt.Sprintf("w%d", i))
		b.ids = append(b.ids, id)
		b.workers[id] = &truth{worker: spec.Worker{ID: id, Capacity: spec.Resources{MilliCPU: 32000, Slots: 8, Connections: 60}}}
	}
	for i := range 5 {
		e := &entry{name: spec.InstanceID(fmt.Sprintf("e%d", i)), incarnation: 1, rate: 0.9995 + 0.001*b.rng.Float64()}
		e.books = newBooks()
		b.entries = append(b.entries, e)
	}
	b.newOwner()
	return b
}

func newBooks() map[spec.WorkerID]*book { return map[spec.WorkerID]*book{"w0": {}, "w1": {}, "w2": {}} }

func (b *bench) chance(p float64) bool { return b.rng.Float64() < p }

// newOwner replaces the ledger. Half of the time the old owner gives up early,
// so that its grants outlive its right.
func (b *bench) newOwner() {
	b.oldEnd = max(b.oldEnd, b.right.Until)
	b.ledger = NewLedger(b.opts)
	var names []spec.InstanceID
	for _, e := range b.entries {
		names = append(names, e.name)
	}
	b.ledger.SetEntries(names)
	for _, id := range b.ids {
		b.ledger.SetWorker(b.workers[id].worker, false)
	}
	for id, p := range b.tasks {
		b.ledger.Restore(id, p.worker, p.need)
	}
	if b.right.Epoch > 0 {
		b.ledger.TakeOver(max(b.oldEnd, b.now), nil)
	}
	b.right = Right{Epoch: b.right.Epoch + 1}
}

func (b *bench) run() {
	defer func() {
		if v, ok := recover().(*invariant.Violation); ok {
			b.failure = v.Error()
		}
	}()
	for range runTicks {
		b.now += tick
		b.steps++
		b.step()
		b.check()
		if b.failure != "" {
			return
		}
	}
}

func (b *bench) step() {
	kept := b.mail[:0:0]
	due := b.mail
	b.mail = nil
	for _, m := range due {
		if m.at > b.now {
			kept = append(kept, m)
			continue
		}
		m.deliver()
	}
	b.mail = append(kept, b.mail...)
	if b.chance(0.2) && !b.chance(0.02) {
		b.right.Until = b.now + 1200*time.Millisecond
	}
	if b.chance(0.0008) {
		b.newOwner()
	}
	b.stepTasks()
	for _, e := range b.entries {
		b.stepEntry(e)
	}
}

// stepTasks starts and ends batch tasks.
func (b *bench) stepTasks() {
	for id, p := range b.tasks {
		if b.now >= p.until {
			delete(b.tasks, id)
			b.workers[p.worker].tasks -= p.need.Slots
			b.ledger.Free(id, p.worker)
		}
	}
	if !b.chance(0.02) {
		return
	}
	b.next++
	id := spec.TaskID{Index: b.next}
	need := spec.Resources{MilliCPU: 1000, Slots: 1 + b.rng.Int64N(4), Connections: 1}
	worker := b.ids[b.rng.IntN(len(b.ids))]
	if b.ledger.Reserve(b.now, id, worker, need) {
		b.tasks[id] = placed{worker: worker, need: need, until: b.now + time.Duration(b.rng.Int64N(int64(10*time.Second)))}
		b.workers[worker].tasks += need.Slots
	}
}

func (b *bench) stepEntry(e *entry) {
	if b.chance(0.003) {
		e.want = uint32(b.rng.IntN(6))
	}
	if b.chance(0.0005) {
		e.cutOff = b.now + time.Duration(b.rng.Int64N(int64(20*time.Second)))
	}
	if b.chance(0.0003) {
		b.restart(e)
	}
	if b.chance(1.0 / 30) {
		b.renew(e)
	}
	for _, id := range b.ids {
		k := e.books[id]
		for b.now < k.until && k.inUse < k.granted && b.chance(0.5) {
			b.use(e, id, k)
		}
	}
}

// use starts a request that lasts up to the urgent limit on the entry's clock.
func (b *bench) use(e *entry, id spec.WorkerID, k *book) {
	k.inUse++
	b.workers[id].inUse++
	limit := time.Duration(float64(b.opts.UrgentLimit) / e.rate)
	length := limit
	if b.chance(0.8) {
		length = time.Duration(b.rng.Int64N(int64(limit)))
	}
	b.mail = append(b.mail, message{at: b.now + length - tick, deliver: func() {
		k.inUse--
		b.workers[id].inUse--
	}})
}

// restart forgets what the entry knew; its requests go on at the targets.
func (b *bench) restart(e *entry) {
	e.incarnation++
	e.sequence = 0
	e.bornAt = b.now
	e.books = newBooks()
}

func (b *bench) renew(e *entry) {
	e.sequence++
	req := &schedv1.RenewGrantsRequest{Entry: string(e.name), EntryIncarnation: uint64(e.incarnation), Sequence: e.sequence}
	req.RunningMs = uint64(float64((b.now - e.bornAt).Milliseconds()) * e.rate)
	for _, id := range b.ids {
		k := e.books[id]
		h := &schedv1.Holding{Worker: string(id), InUse: uint32(k.inUse), Want: e.want, Epoch: k.epoch}
		if b.now < k.until {
			h.HeldSlots = uint32(k.granted)
		}
		req.Holdings = append(req.Holdings, h)
	}
	sentAt, sequence, run := b.now, e.sequence, e.incarnation
	b.send(e, func() {
		grants := b.ledger.Renew(b.now, b.right, req)
		b.send(e, func() {
			if e.sequence == sequence && e.incarnation == run {
				b.take(e, grants, sentAt)
			}
		})
	})
}

func (b *bench) take(e *entry, grants []*schedv1.Grant, sentAt time.Duration) {
	for _, g := range grants {
		k := e.books[spec.WorkerID(g.GetWorker())]
		k.epoch = max(k.epoch, g.GetEpoch())
		if g.GetSlots() == 0 {
			continue
		}
		k.granted = int64(g.GetSlots())
		valid := float64(g.GetValidMs()) * 0.999 / e.rate
		k.until = sentAt + time.Duration(valid*float64(time.Millisecond))
		b.given++
	}
}

// send loses, delays and reorders messages.
func (b *bench) send(e *entry, deliver func()) {
	if b.now < e.cutOff || b.chance(0.05) {
		return
	}
	d := time.Duration(b.rng.Int64N(int64(40 * time.Millisecond)))
	if b.chance(0.05) {
		d = time.Duration(b.rng.Int64N(int64(4 * time.Second)))
	}
	b.mail = append(b.mail, message{at: b.now + d, deliver: deliver})
}

func (b *bench) check() {
	for _, id := range b.ids {
		w := b.workers[id]
		if w.tasks+w.inUse > w.worker.Capacity.Slots {
			b.failure = fmt.Sprintf("P1: at %s worker %s runs %d tasks' slots and %d requests", b.now, id, w.tasks, w.inUse)
		}
	}
}

func runBench(seed uint64, opts Options) *bench {
	b := newBench(seed, opts)
	b.run()
	return b
}

// Guards against a worker on which entries and tasks together use more slots
// than it has, whatever is lost, late or reordered and whoever owns it.
func TestRandomRuns(t *testing.T) {
	c := qt.New(t)
	steps, given := 0, 0
	seed, limit := *seedFlag, *stepsFlag
	if testing.Short() {
		limit /= 10
	}
	for ; uint64(steps) < limit; seed++ {
		b := runBench(seed, DefaultOptions())
		c.Assert(b.failure, qt.Equals, "", qt.Commentf("seed %d", seed))
		steps += b.steps
		given += b.given
	}
	t.Logf("seeds %d to %d: %d steps, %d grants", *seedFlag, seed-1, steps, given)
}

// Guards against random runs that would not notice grants beyond the bound,
// late reports that free slots, or a new owner that keeps nothing for entries
// that it has not heard.
func TestBroken(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"GrantBound":      func(o *Options) { o.noBound = true },
		"ReportOrder":     func(o *Options) { o.trustOldReports = true },
		"TakeOverReserve": func(o *Options) { o.noReserve = true },
	} {
		t.Run(name, func(t *testing.T) {
			opts := DefaultOptions()
			change(&opts)
			for seed := uint64(1); seed <= 20; seed++ {
				if b := runBench(seed, opts); b.failure != "" {
					t.Logf("seed %d, %d steps: %s", seed, b.steps, b.failure)
					return
				}
			}
			qt.New(t).Fatalf("no violation")
		})
	}
}
