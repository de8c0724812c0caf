package admit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
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

// simulation runs a controller in virtual time with a fixed number of slots and
// records the decision about each request.
type simulation struct {
	controller *Controller
	now        time.Duration
	random     *rand.Rand
	slots      int
	lastID     RequestID
	arrived    map[RequestID]Request
	decision   map[RequestID]DecisionKind
	code       map[RequestID]code.Code
	running    []runningRequest
	started    []RequestID
	inTime     int
}

type runningRequest struct {
	id      RequestID
	started time.Duration
	ends    time.Duration
}

func newSimulation(seed uint64, slots int, settings Settings) *simulation {
	s := &simulation{
		controller: New(settings), random: rand.New(rand.NewPCG(seed, 3)), slots: slots,
		arrived: map[RequestID]Request{}, decision: map[RequestID]DecisionKind{}, code: map[RequestID]code.Code{},
	}
	s.controller.SetGranted(slots)
	return s
}

func (s *simulation) setTeam(id string, quota int, weight float64) {
	s.controller.SetTeam(spec.TeamID(id), Team{Quota: quota, Weight: weight, QueueBound: 50})
}

func (s *simulation) arrive(team string, class spec.Class, within time.Duration) RequestID {
	s.lastID++
	r := Request{ID: s.lastID, Team: spec.TeamID(team), Class: class, Deadline: s.now + within}
	s.arrived[r.ID] = r
	s.apply(s.controller.Arrive(s.now, r))
	return r.ID
}

// apply records decisions and checks that each request is started or rejected
// at most once (P5).
func (s *simulation) apply(decisions []Decision) {
	for _, d := range decisions {
		before := s.decision[d.ID]
		invariant.Check(before == 0 || before == Wait, invariant.NotRunIsTrue, "request %d is decided twice", d.ID)
		s.decision[d.ID] = d.Kind
		s.code[d.ID] = d.Code
		if d.Kind == Start {
			s.started = append(s.started, d.ID)
		}
	}
}

// startWaiting starts waiting requests on free slots; service returns the
// service time of each.
func (s *simulation) startWaiting(service func() time.Duration) {
	s.apply(s.controller.Expire(s.now))
	for len(s.running) < s.slots && s.controller.Waiting() > 0 {
		before := len(s.started)
		s.apply(s.controller.Next(s.now))
		if len(s.started) == before {
			break
		}
		id := s.started[len(s.started)-1]
		s.running = append(s.running, runningRequest{id: id, started: s.now, ends: s.now + service()})
	}
	sort.Slice(s.running, func(i, j int) bool { return s.running[i].ends < s.running[j].ends })
}

// advance moves the clock forward and finishes the requests that end until then.
func (s *simulation) advance(until time.Duration, service func() time.Duration) {
	for len(s.running) > 0 && s.running[0].ends <= until {
		done := s.running[0]
		s.running = s.running[1:]
		s.now = done.ends
		s.controller.Finished(done.id, done.ends-done.started, true)
		if done.ends <= s.arrived[done.id].Deadline {
			s.inTime++
		}
		s.startWaiting(service)
	}
	s.now = until
	s.startWaiting(service)
}

// Guards against a request with two final decisions or none, an unbounded queue
// and a start after the deadline.
func TestRandomRuns(t *testing.T) {
	c := qt.New(t)
	settings := DefaultSettings()
	settings.TotalBound = 80
	sim := newSimulation(*seedFlag, 4, settings)
	classes := []spec.Class{spec.Urgent, spec.Deadline, spec.LongRunning}
	draw := func() time.Duration { return time.Duration(sim.random.Int64N(int64(8 * time.Millisecond))) }
	for range *stepsFlag {
		gap := time.Duration(sim.random.Int64N(int64(2 * time.Millisecond)))
		if sim.random.IntN(2000) == 0 {
			gap = 300 * time.Millisecond
		}
		sim.advance(sim.now+gap, draw)
		team := fmt.Sprintf("t%d", sim.random.IntN(5))
		sim.setTeam(team, sim.random.IntN(4), 1+float64(sim.random.IntN(3)))
		id := sim.arrive(team, classes[sim.random.IntN(3)], time.Duration(sim.random.Int64N(int64(200*time.Millisecond))))
		sim.startWaiting(draw)
		if sim.random.IntN(50) == 0 {
			waited := sim.controller.Cancel(id)
			c.Assert(waited, qt.Equals, sim.decision[id] == Wait)
			delete(sim.decision, id)
		}
		invariant.Check(sim.controller.Waiting() <= settings.TotalBound, invariant.InternalConsistency, "%d requests wait", sim.controller.Waiting())
		invariant.Check(sim.controller.Running() <= sim.slots, invariant.NeverOvercommitted, "%d requests run", sim.controller.Running())
	}
	sim.advance(sim.now+10*time.Second, draw)
	c.Assert(sim.controller.Waiting(), qt.Equals, 0)
	for id, decision := range sim.decision {
		c.Assert(decision == Start || decision == Reject, qt.IsTrue, qt.Commentf("request %d", id))
	}
	c.Assert(len(sim.started) > int(*stepsFlag/10), qt.IsTrue)
}

// goodput runs an open-loop load of one team and returns the number of responses
// in time per second.
func goodput(fifoOnly bool, perSecond int, seconds int) float64 {
	settings := DefaultSettings()
	settings.FIFOOnly = fifoOnly
	sim := newSimulation(1, 10, settings)
	sim.controller.SetTeam("t", Team{Weight: 1, QueueBound: 100_000})
	draw := func() time.Duration { return time.Duration(sim.random.ExpFloat64() * float64(10*time.Millisecond)) }
	gap := time.Second / time.Duration(perSecond)
	for sim.now < time.Duration(seconds)*time.Second {
		sim.arrive("t", spec.Urgent, 200*time.Millisecond)
		sim.startWaiting(draw)
		sim.advance(sim.now+gap, draw)
	}
	return float64(sim.inTime) / float64(seconds)
}

// Guards against goodput that collapses under overload because the slots serve
// requests whose responses come too late. The capacity is 1000 requests a
// second.
func TestGoodputUnderOverload(t *testing.T) {
	c := qt.New(t)
	peak := goodput(false, 950, 20)
	twice := goodput(false, 2000, 20)
	c.Logf("goodput: %.0f at 95%%, %.0f at twice the capacity, first-in, first-out %.0f", peak, twice, goodput(true, 2000, 20))
	c.Assert(twice >= 0.9*peak, qt.IsTrue, qt.Commentf("%.0f of %.0f", twice, peak))
}

// Guards against a team that keeps borrowed slots while another team waits
// within its quota, and against a team that gets more than its weight.
func TestBorrowedSlotsAreReturned(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, 4, DefaultSettings())
	sim.setTeam("big", 2, 1)
	sim.setTeam("small", 2, 1)
	draw := func() time.Duration { return 10 * time.Millisecond }
	for range 8 {
		sim.arrive("big", spec.Urgent, time.Minute)
	}
	sim.startWaiting(draw)
	c.Assert(len(sim.started), qt.Equals, 4, qt.Commentf("unused quota is lent"))
	first := sim.arrive("small", spec.Urgent, time.Minute)
	second := sim.arrive("small", spec.Urgent, time.Minute)
	rejected := sim.arrive("big", spec.Urgent, time.Minute)
	c.Assert(sim.code[rejected], qt.Equals, code.QuotaExceeded)
	sim.advance(sim.now+10*time.Millisecond, draw)
	c.Assert(sim.decision[first], qt.Equals, Start)
	c.Assert(sim.decision[second], qt.Equals, Start)
}

// Guards against weights that have no effect.
func TestWeightedShares(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, 1, DefaultSettings())
	sim.setTeam("heavy", 0, 3)
	sim.setTeam("light", 0, 1)
	for range 40 {
		sim.arrive("heavy", spec.Urgent, time.Hour)
		sim.arrive("light", spec.Urgent, time.Hour)
	}
	for range 40 {
		sim.apply(sim.controller.Next(sim.now))
	}
	heavy := 0
	for _, id := range sim.started {
		if sim.arrived[id].Team == "heavy" {
			heavy++
		}
	}
	c.Assert(heavy >= 28 && heavy <= 32, qt.IsTrue, qt.Commentf("%d of 40", heavy))
}

// Guards against a request that is queued although its response cannot arrive in
// time, and against an urgent request that is rejected in favour of others.
func TestRejections(t *testing.T) {
	c := qt.New(t)
	settings := DefaultSettings()
	settings.TotalBound = 3
	sim := newSimulation(1, 1, settings)
	sim.setTeam("t", 0, 1)
	sim.controller.serviceTime.addSample(50 * time.Millisecond)
	c.Assert(sim.code[sim.arrive("t", spec.Urgent, 10*time.Millisecond)], qt.Equals, code.CannotMeetTime)
	late := sim.arrive("t", spec.Deadline, time.Hour)
	sim.arrive("t", spec.Urgent, time.Minute)
	sim.arrive("t", spec.Urgent, time.Minute)
	urgent := sim.arrive("t", spec.Urgent, 30*time.Second)
	c.Assert(sim.code[late], qt.Equals, code.Overloaded)
	c.Assert(sim.decision[urgent], qt.Equals, Wait)
}

// Guards against retries or hedges that multiply the load.
func TestBudget(t *testing.T) {
	c := qt.New(t)
	budget := NewBudget(RetryShare)
	spent := 0
	for range 10_000 {
		budget.Deposit()
		if budget.Withdraw() {
			spent++
		}
	}
	c.Assert(spent <= 1000+budgetBurst, qt.IsTrue, qt.Commentf("%d retries of 10000 requests", spent))
	c.Assert(spent >= 1000, qt.IsTrue)
}
