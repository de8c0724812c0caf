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

func envNumber(name string, fallback uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

// simulation drives a router against an owner that measures grants on its own
// clock, which runs faster than the router's by the largest rate that A6 allows.
type simulation struct {
	random  *rand.Rand
	router  *TwoChoiceRouter
	now     time.Duration
	workers []Worker
	picks   []Pick
	// grantedSlots and grantEnds are the owner's grants; firstMarked is when each
	// worker was first marked as leaving.
	grantedSlots map[spec.WorkerID]int
	grantEnds    map[spec.WorkerID]time.Duration
	slotsInUse   map[spec.WorkerID]int
	firstMarked  map[spec.WorkerID]time.Duration
	stamp        uint64
	chosen       int
}

const simulatedWorkers = 12

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random:       rand.New(rand.NewPCG(seed, 7)),
		router:       NewTwoChoiceRouter(Settings{DataCentre: "dc0", Instance: "a", Seed: seed, ClockRatePPM: 1000, IdleSlots: 4, MaxSlots: 8}),
		grantedSlots: map[spec.WorkerID]int{}, grantEnds: map[spec.WorkerID]time.Duration{},
		slotsInUse: map[spec.WorkerID]int{}, firstMarked: map[spec.WorkerID]time.Duration{}, stamp: 1,
	}
	for i := range simulatedWorkers {
		s.workers = append(s.workers, Worker{
			ID: spec.WorkerID(fmt.Sprintf("w%02d", i)), Service: "s", Owner: "o", Stamp: 1,
			DataCentre: spec.DataCentre(fmt.Sprintf("dc%d", i%2)), Addr: "x",
		})
	}
	s.router.SetWorkers(0, s.workers)
	return s
}

// ownerClock is the time on the owner's clock.
func (s *simulation) ownerClock() time.Duration { return s.now + s.now/1000 }

func (s *simulation) step() {
	s.now += time.Duration(s.random.Int64N(int64(5 * time.Millisecond)))
	switch n := s.random.IntN(100); {
	case n < 45:
		s.choose()
	case n < 85:
		s.finish()
	case n < 95:
		s.grant()
	case n < 97:
		w := s.workers[s.random.IntN(simulatedWorkers)].ID
		s.noteMarked(w)
		s.router.ApplySignal(s.now, w, DialsFailing)
	case n < 98:
		w := s.workers[s.random.IntN(simulatedWorkers)].ID
		s.router.ApplySignal(s.now, w, DialsRecovered)
	default:
		s.changeInstanceList()
	}
	s.router.Holdings(s.now, "o")
}

// changeInstanceList changes a worker's state in the instance list, or repeats
// an older state.
func (s *simulation) changeInstanceList() {
	i := s.random.IntN(simulatedWorkers)
	w := &s.workers[i]
	switch s.random.IntN(3) {
	case 0:
		s.stamp++
		w.Stamp, w.Leaving = s.stamp, true
		s.noteMarked(w.ID)
	case 1:
		s.stamp++
		w.Stamp, w.Leaving = s.stamp, false
	default:
		w.Stamp, w.Leaving = w.Stamp/2, false
	}
	s.router.SetWorkers(s.now, s.workers)
}

func (s *simulation) noteMarked(w spec.WorkerID) {
	if _, ok := s.firstMarked[w]; !ok {
		s.firstMarked[w] = s.now
	}
}

// grant requests a grant; the owner receives the request after a delay.
func (s *simulation) grant() {
	sent := s.now
	s.now += time.Duration(s.random.Int64N(int64(20 * time.Millisecond)))
	w := s.workers[s.random.IntN(simulatedWorkers)].ID
	slots := s.random.IntN(4)
	valid := time.Duration(s.random.Int64N(int64(300 * time.Millisecond)))
	s.grantedSlots[w], s.grantEnds[w] = slots, s.ownerClock()+valid
	s.router.ApplyGrants(s.now, sent, "o", []Grant{{Worker: w, Epoch: 1, Slots: slots, Connections: slots, Valid: valid}})
}

func (s *simulation) choose() {
	pick, ok := s.router.Choose(s.now, "s", nil)
	if !ok {
		return
	}
	s.chosen++
	s.slotsInUse[pick.Worker]++
	invariant.Check(s.slotsInUse[pick.Worker] <= s.grantedSlots[pick.Worker], invariant.NeverOvercommitted, "request beyond the grant of %s", pick.Worker)
	invariant.Check(s.ownerClock() < s.grantEnds[pick.Worker], invariant.NeverOvercommitted, "request after the grant of %s ended on the owner's clock", pick.Worker)
	s.picks = append(s.picks, pick)
}

func (s *simulation) finish() {
	if len(s.picks) == 0 {
		return
	}
	i := s.random.IntN(len(s.picks))
	pick := s.picks[i]
	s.picks = append(s.picks[:i], s.picks[i+1:]...)
	s.slotsInUse[pick.Worker]--
	s.router.Finished(s.now, pick, Result(s.random.IntN(int(Unmeasured)+1)))
}

// Guards against a request beyond a grant or to a leaving target (P1, P7), and
// against choices that a seed does not reproduce.
func TestRandomRuns(t *testing.T) {
	c := qt.New(t)
	first, second := newSimulation(*seedFlag), newSimulation(*seedFlag)
	for range *stepsFlag {
		first.step()
	}
	for range *stepsFlag / 10 {
		second.step()
	}
	third := newSimulation(*seedFlag)
	for range *stepsFlag / 10 {
		third.step()
	}
	c.Assert(third.chosen, qt.Equals, second.chosen)
	c.Assert(first.chosen > int(*stepsFlag/100), qt.IsTrue, qt.Commentf("%d choices", first.chosen))
}

// violationOf calls run and returns the guarantee that it violated, or "".
func violationOf(run func()) (found invariant.Guarantee) {
	defer func() {
		if v, ok := recover().(*invariant.Violation); ok {
			found = v.Guarantee
		}
	}()
	run()
	return ""
}

// Guards against a random run that does not detect a missing mechanism.
func TestMutationsAreDetected(t *testing.T) {
	cases := map[string]struct {
		mutations mutations
		guarantee invariant.Guarantee
	}{
		"grant end":    {mutations{ignoreGrantEnd: true}, invariant.NeverOvercommitted},
		"leaving mark": {mutations{ignoreLeaving: true}, invariant.NoWorkWhileLeaving},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(*seedFlag)
			sim.router.mutations = tc.mutations
			got := violationOf(func() {
				for range 200_000 {
					sim.step()
				}
			})
			qt.New(t).Assert(got, qt.Equals, tc.guarantee)
		})
	}
}

// newFullyGrantedRouter returns a router with a grant of 2 slots on each of n
// workers.
func newFullyGrantedRouter(n int) *TwoChoiceRouter {
	r := NewTwoChoiceRouter(Settings{DataCentre: "dc0", Instance: "a", Seed: 1, IdleSlots: 16, MaxSlots: 8})
	var workers []Worker
	var grants []Grant
	for i := range n {
		id := spec.WorkerID(fmt.Sprintf("w%04d", i))
		workers = append(workers, Worker{ID: id, Service: "s", DataCentre: "dc0", Addr: "x", Owner: "o"})
		grants = append(grants, Grant{Worker: id, Slots: 2, Connections: 8, Valid: time.Hour})
	}
	r.SetWorkers(0, workers)
	r.ApplyGrants(0, 0, "o", grants)
	return r
}

// Guards against a slow or failing target that keeps its share of the load,
// and against ejection that leaves too few targets.
func TestOutliersAreEjected(t *testing.T) {
	c := qt.New(t)
	r := newFullyGrantedRouter(10)
	now := time.Duration(0)
	count := map[spec.WorkerID]int{}
	for range 2000 {
		now += time.Millisecond
		pick, ok := r.Choose(now, "s", nil)
		c.Assert(ok, qt.IsTrue)
		count[pick.Worker]++
		latency := 5 * time.Millisecond
		if pick.Worker == "w0003" {
			latency = 200 * time.Millisecond
		}
		r.Finished(now+latency, pick, Answered)
	}
	c.Assert(count["w0003"] <= 4, qt.IsTrue, qt.Commentf("%d requests", count["w0003"]))
	for range 2000 {
		now += time.Millisecond
		if pick, ok := r.Choose(now, "s", nil); ok {
			r.Finished(now, pick, Failed)
		}
	}
	_, granted := r.Slots(now, "s")
	c.Assert(granted >= 10, qt.IsTrue, qt.Commentf("%d of 20 slots are left", granted))
}

// Guards against choices beyond the grants, and against requests to another data
// centre while the own one has a free slot.
func TestOwnDataCentreFirst(t *testing.T) {
	c := qt.New(t)
	r := NewTwoChoiceRouter(Settings{DataCentre: "dc1", Instance: "a", Seed: 3, IdleSlots: 2, MaxSlots: 8})
	r.SetWorkers(0, []Worker{
		{ID: "far", Service: "s", DataCentre: "dc2", Addr: "x", Owner: "o"},
		{ID: "near", Service: "s", DataCentre: "dc1", Addr: "x", Owner: "o"},
	})
	r.ApplyGrants(0, 0, "o", []Grant{{Worker: "far", Slots: 1, Valid: time.Second}, {Worker: "near", Slots: 1, Valid: time.Second}})
	first, _ := r.Choose(1, "s", nil)
	second, _ := r.Choose(1, "s", nil)
	_, third := r.Choose(1, "s", nil)
	c.Assert([]spec.WorkerID{first.Worker, second.Worker}, qt.DeepEquals, []spec.WorkerID{"near", "far"})
	c.Assert(third, qt.IsFalse)
	r.SetQueued(1, "s", 9)
	wants := r.Holdings(1, "o")
	c.Assert(wants[0].Want+wants[1].Want > 2, qt.IsTrue, qt.Commentf("%v", wants))
}

func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{240, 2400} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			r := newFullyGrantedRouter(n)
			now := time.Duration(0)
			for b.Loop() {
				now += time.Microsecond
				pick, _ := r.Choose(now, "s", nil)
				r.Finished(now+time.Millisecond, pick, Answered)
			}
		})
	}
}
