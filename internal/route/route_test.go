package route

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
)

var (
	seedFlag  = flag.Uint64("seed", envNumber("REDWINGVALE_SEED", 1), "seed of the random runs")
	stepsFlag = flag.Uint64("steps", envNumber("REDWINGVALE_STEPS", 300_000), "steps of the random runs")
)

func envNumber(name string, otherwise uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

// bench drives a book against an owner that keeps the truth on its own clock,
// which runs faster than the book's by the largest rate that A6 allows.
type bench struct {
	random  *rand.Rand
	book    *Book
	now     time.Duration
	workers []Worker
	picks   []Pick
	// slots and ends are the owner's grants; marked is the first sign by worker.
	slots  map[spec.WorkerID]int
	ends   map[spec.WorkerID]time.Duration
	inUse  map[spec.WorkerID]int
	marked map[spec.WorkerID]time.Duration
	stamp  uint64
	chosen int
}

const benchWorkers = 12

func newBench(seed uint64) *bench {
	b := &bench{
		random: rand.New(rand.NewPCG(seed, 7)),
		book:   NewBook(Settings{DataCentre: "dc0", Instance: "a", Seed: seed, ClockRatePPM: 1000, IdleSlots: 4, MaxSlots: 8}),
		slots:  map[spec.WorkerID]int{}, ends: map[spec.WorkerID]time.Duration{},
		inUse: map[spec.WorkerID]int{}, marked: map[spec.WorkerID]time.Duration{}, stamp: 1,
	}
	for i := range benchWorkers {
		b.workers = append(b.workers, Worker{
			ID: spec.WorkerID(fmt.Sprintf("w%02d", i)), Service: "s", Owner: "o", Stamp: 1,
			DataCentre: spec.DataCentre(fmt.Sprintf("dc%d", i%2)), Addr: "x",
		})
	}
	b.book.SetWorkers(0, b.workers)
	return b
}

// ownerClock is the time on the owner's clock.
func (b *bench) ownerClock() time.Duration { return b.now + b.now/1000 }

func (b *bench) step() {
	b.now += time.Duration(b.random.Int64N(int64(5 * time.Millisecond)))
	switch n := b.random.IntN(100); {
	case n < 45:
		b.choose()
	case n < 85:
		b.finish()
	case n < 95:
		b.grant()
	case n < 97:
		w := b.workers[b.random.IntN(benchWorkers)].ID
		b.mark(w)
		b.book.Sign(b.now, w, DialsFail)
	case n < 98:
		w := b.workers[b.random.IntN(benchWorkers)].ID
		b.book.Sign(b.now, w, DialsWork)
	default:
		b.list()
	}
	b.book.Holdings(b.now, "o")
}

// list changes a worker's state in the list, or repeats an older state.
func (b *bench) list() {
	i := b.random.IntN(benchWorkers)
	w := &b.workers[i]
	switch b.random.IntN(3) {
	case 0:
		b.stamp++
		w.Stamp, w.Leaving = b.stamp, true
		b.mark(w.ID)
	case 1:
		b.stamp++
		w.Stamp, w.Leaving = b.stamp, false
	default:
		w.Stamp, w.Leaving = w.Stamp/2, false
	}
	b.book.SetWorkers(b.now, b.workers)
}

func (b *bench) mark(w spec.WorkerID) {
	if _, ok := b.marked[w]; !ok {
		b.marked[w] = b.now
	}
}

// grant sends a request, which the owner receives later than it was sent.
func (b *bench) grant() {
	sent := b.now
	b.now += time.Duration(b.random.Int64N(int64(20 * time.Millisecond)))
	w := b.workers[b.random.IntN(benchWorkers)].ID
	slots := b.random.IntN(4)
	valid := time.Duration(b.random.Int64N(int64(300 * time.Millisecond)))
	b.slots[w], b.ends[w] = slots, b.ownerClock()+valid
	b.book.Granted(b.now, sent, "o", []Grant{{Worker: w, Epoch: 1, Slots: slots, Connections: slots, Valid: valid}})
}

func (b *bench) choose() {
	pick, ok := b.book.Choose(b.now, "s", nil)
	if !ok {
		return
	}
	b.chosen++
	b.inUse[pick.Worker]++
	invariant.Check(b.inUse[pick.Worker] <= b.slots[pick.Worker], invariant.NeverOvercommitted, "beyond the grant of %s", pick.Worker)
	invariant.Check(b.ownerClock() < b.ends[pick.Worker], invariant.NeverOvercommitted, "after the owner's end of %s", pick.Worker)
	b.picks = append(b.picks, pick)
}

func (b *bench) finish() {
	if len(b.picks) == 0 {
		return
	}
	i := b.random.IntN(len(b.picks))
	pick := b.picks[i]
	b.picks = append(b.picks[:i], b.picks[i+1:]...)
	b.inUse[pick.Worker]--
	b.book.Finished(b.now, pick, Result(b.random.IntN(int(Unmeasured)+1)))
}

// Guards against a request beyond a grant or to a leaving target (P1, P7), and
// against a run that a seed does not repeat.
func TestRandomRuns(t *testing.T) {
	c := qt.New(t)
	first, second := newBench(*seedFlag), newBench(*seedFlag)
	for range *stepsFlag {
		first.step()
	}
	for range *stepsFlag / 10 {
		second.step()
	}
	third := newBench(*seedFlag)
	for range *stepsFlag / 10 {
		third.step()
	}
	c.Assert(third.chosen, qt.Equals, second.chosen)
	c.Assert(first.chosen > int(*stepsFlag/100), qt.IsTrue, qt.Commentf("%d choices", first.chosen))
}

// violationOf runs until a guarantee is broken and returns it.
func violationOf(run func()) (found invariant.Promise) {
	defer func() {
		if v, ok := recover().(*invariant.Violation); ok {
			found = v.Promise
		}
	}()
	run()
	return ""
}

// Guards against a random run that would not notice a missing mechanism.
func TestBrokenMechanismsAreNoticed(t *testing.T) {
	cases := map[string]struct {
		faults  faults
		promise invariant.Promise
	}{
		"grant end":    {faults{ignoreGrantEnd: true}, invariant.NeverOvercommitted},
		"leaving mark": {faults{ignoreLeaving: true}, invariant.LeavingGetsNothing},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(*seedFlag)
			b.book.faults = tc.faults
			got := violationOf(func() {
				for range 200_000 {
					b.step()
				}
			})
			qt.New(t).Assert(got, qt.Equals, tc.promise)
		})
	}
}

// fullBook returns a book with a grant of 2 slots on each of n workers.
func fullBook(n int) *Book {
	b := NewBook(Settings{DataCentre: "dc0", Instance: "a", Seed: 1, IdleSlots: 16, MaxSlots: 8})
	var workers []Worker
	var grants []Grant
	for i := range n {
		id := spec.WorkerID(fmt.Sprintf("w%04d", i))
		workers = append(workers, Worker{ID: id, Service: "s", DataCentre: "dc0", Addr: "x", Owner: "o"})
		grants = append(grants, Grant{Worker: id, Slots: 2, Connections: 8, Valid: time.Hour})
	}
	b.SetWorkers(0, workers)
	b.Granted(0, 0, "o", grants)
	return b
}

// Guards against a slow or failing target that keeps its share of the load,
// and against ejection that leaves too few targets.
func TestOutliersAreEjected(t *testing.T) {
	c := qt.New(t)
	b := fullBook(10)
	now := time.Duration(0)
	count := map[spec.WorkerID]int{}
	for range 2000 {
		now += time.Millisecond
		pick, ok := b.Choose(now, "s", nil)
		c.Assert(ok, qt.IsTrue)
		count[pick.Worker]++
		latency := 5 * time.Millisecond
		if pick.Worker == "w0003" {
			latency = 200 * time.Millisecond
		}
		b.Finished(now+latency, pick, Answered)
	}
	c.Assert(count["w0003"] <= 4, qt.IsTrue, qt.Commentf("%d requests", count["w0003"]))
	for range 2000 {
		now += time.Millisecond
		if pick, ok := b.Choose(now, "s", nil); ok {
			b.Finished(now, pick, Failed)
		}
	}
	_, granted := b.Slots(now, "s")
	c.Assert(granted >= 10, qt.IsTrue, qt.Commentf("%d of 20 slots are left", granted))
}

// Guards against a baseline that goes beyond its grants, and against requests
// that leave the own data centre while it has room.
func TestOwnDataCentreFirst(t *testing.T) {
	c := qt.New(t)
	b := NewBook(Settings{DataCentre: "dc1", Instance: "a", Seed: 3, IdleSlots: 2, MaxSlots: 8})
	b.SetWorkers(0, []Worker{
		{ID: "far", Service: "s", DataCentre: "dc2", Addr: "x", Owner: "o"},
		{ID: "near", Service: "s", DataCentre: "dc1", Addr: "x", Owner: "o"},
	})
	b.Granted(0, 0, "o", []Grant{{Worker: "far", Slots: 1, Valid: time.Second}, {Worker: "near", Slots: 1, Valid: time.Second}})
	first, _ := b.Choose(1, "s", nil)
	second, _ := b.Choose(1, "s", nil)
	_, third := b.Choose(1, "s", nil)
	c.Assert([]spec.WorkerID{first.Worker, second.Worker}, qt.DeepEquals, []spec.WorkerID{"near", "far"})
	c.Assert(third, qt.IsFalse)
	b.Queued(1, "s", 9)
	wants := b.Holdings(1, "o")
	c.Assert(wants[0].Want+wants[1].Want > 2, qt.IsTrue, qt.Commentf("%v", wants))
}

func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{240, 2400} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			book := fullBook(n)
			now := time.Duration(0)
			for b.Loop() {
				now += time.Microsecond
				pick, _ := book.Choose(now, "s", nil)
				book.Finished(now+time.Millisecond, pick, Answered)
			}
		})
	}
}
