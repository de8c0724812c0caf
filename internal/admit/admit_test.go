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

func envNumber(name string, otherwise uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

// bench runs a core in virtual time with a number of slots and notes the end
// of every request, which must be one.
type bench struct {
	core    *Core
	now     time.Duration
	random  *rand.Rand
	slots   int
	last    RequestID
	arrived map[RequestID]Request
	state   map[RequestID]EffectKind
	code    map[RequestID]code.Code
	running []finish
	started []RequestID
	good    int
}

type finish struct {
	id   RequestID
	from time.Duration
	at   time.Duration
}

func newBench(seed uint64, slots int, settings Settings) *bench {
	b := &bench{
		core: New(settings), random: rand.New(rand.NewPCG(seed, 3)), slots: slots,
		arrived: map[RequestID]Request{}, state: map[RequestID]EffectKind{}, code: map[RequestID]code.Code{},
	}
	b.core.SetGranted(slots)
	return b
}

func (b *bench) team(id string, quota int, weight float64) {
	b.core.SetTeam(spec.TeamID(id), Team{Quota: quota, Weight: weight, QueueBound: 50})
}

func (b *bench) arrive(team string, class spec.Class, within time.Duration) RequestID {
	b.last++
	r := Request{ID: b.last, Team: spec.TeamID(team), Class: class, Deadline: b.now + within}
	b.arrived[r.ID] = r
	b.take(b.core.Arrive(b.now, r))
	return r.ID
}

// take checks that each request is decided once (P5).
func (b *bench) take(effects []Effect) {
	for _, e := range effects {
		before := b.state[e.ID]
		invariant.Check(before == 0 || before == Wait, invariant.TrueRefusal, "request %d is decided twice", e.ID)
		b.state[e.ID] = e.Kind
		b.code[e.ID] = e.Code
		if e.Kind == Start {
			b.started = append(b.started, e.ID)
		}
	}
}

// pump starts requests on free slots; service draws the time of one.
func (b *bench) pump(service func() time.Duration) {
	b.take(b.core.Expire(b.now))
	for len(b.running) < b.slots && b.core.Waiting() > 0 {
		before := len(b.started)
		b.take(b.core.Next(b.now))
		if len(b.started) == before {
			break
		}
		id := b.started[len(b.started)-1]
		b.running = append(b.running, finish{id: id, from: b.now, at: b.now + service()})
	}
	sort.Slice(b.running, func(i, j int) bool { return b.running[i].at < b.running[j].at })
}

// advance ends the requests whose time has come.
func (b *bench) advance(to time.Duration, service func() time.Duration) {
	for len(b.running) > 0 && b.running[0].at <= to {
		done := b.running[0]
		b.running = b.running[1:]
		b.now = done.at
		b.core.Finished(done.id, done.at-done.from, true)
		if done.at <= b.arrived[done.id].Deadline {
			b.good++
		}
		b.pump(service)
	}
	b.now = to
	b.pump(service)
}

// Guards against a request that is decided twice or never, a queue without a
// bound, and a start after the deadline.
func TestRandomRuns(t *testing.T) {
	c := qt.New(t)
	settings := DefaultSettings()
	settings.TotalBound = 80
	b := newBench(*seedFlag, 4, settings)
	classes := []spec.Class{spec.Urgent, spec.Deadline, spec.LongRunning}
	draw := func() time.Duration { return time.Duration(b.random.Int64N(int64(8 * time.Millisecond))) }
	for range *stepsFlag {
		gap := time.Duration(b.random.Int64N(int64(2 * time.Millisecond)))
		if b.random.IntN(2000) == 0 {
			gap = 300 * time.Millisecond
		}
		b.advance(b.now+gap, draw)
		team := fmt.Sprintf("t%d", b.random.IntN(5))
		b.team(team, b.random.IntN(4), 1+float64(b.random.IntN(3)))
		id := b.arrive(team, classes[b.random.IntN(3)], time.Duration(b.random.Int64N(int64(200*time.Millisecond))))
		b.pump(draw)
		if b.random.IntN(50) == 0 {
			waited := b.core.Cancel(id)
			c.Assert(waited, qt.Equals, b.state[id] == Wait)
			delete(b.state, id)
		}
		invariant.Check(b.core.Waiting() <= settings.TotalBound, invariant.InternalConsistency, "%d wait", b.core.Waiting())
		invariant.Check(b.core.Running() <= b.slots, invariant.NeverOvercommitted, "%d run", b.core.Running())
	}
	b.advance(b.now+10*time.Second, draw)
	c.Assert(b.core.Waiting(), qt.Equals, 0)
	for id, state := range b.state {
		c.Assert(state == Start || state == Reject, qt.IsTrue, qt.Commentf("request %d", id))
	}
	c.Assert(len(b.started) > int(*stepsFlag/10), qt.IsTrue)
}

// goodput runs an open load of one team and returns the answers in time per
// second and the longest wait for a slot after the load has fallen.
func goodput(plain bool, perSecond int, seconds int) float64 {
	settings := DefaultSettings()
	settings.Plain = plain
	b := newBench(1, 10, settings)
	b.core.SetTeam("t", Team{Weight: 1, QueueBound: 100_000})
	draw := func() time.Duration { return time.Duration(b.random.ExpFloat64() * float64(10*time.Millisecond)) }
	gap := time.Second / time.Duration(perSecond)
	for b.now < time.Duration(seconds)*time.Second {
		b.arrive("t", spec.Urgent, 200*time.Millisecond)
		b.pump(draw)
		b.advance(b.now+gap, draw)
	}
	return float64(b.good) / float64(seconds)
}

// Guards against an overload in which the slots are spent on requests that are
// answered too late. The capacity is 1000 requests a second.
func TestGoodputUnderOverload(t *testing.T) {
	c := qt.New(t)
	peak := goodput(false, 950, 20)
	twice := goodput(false, 2000, 20)
	c.Logf("goodput: %.0f at 95%%, %.0f at twice the capacity, plain queue %.0f", peak, twice, goodput(true, 2000, 20))
	c.Assert(twice >= 0.9*peak, qt.IsTrue, qt.Commentf("%.0f of %.0f", twice, peak))
}

// Guards against a borrower that keeps slots which another team has a right
// to, and against a team that gets more than its weight.
func TestBorrowingIsGivenBack(t *testing.T) {
	c := qt.New(t)
	b := newBench(1, 4, DefaultSettings())
	b.team("big", 2, 1)
	b.team("small", 2, 1)
	draw := func() time.Duration { return 10 * time.Millisecond }
	for range 8 {
		b.arrive("big", spec.Urgent, time.Minute)
	}
	b.pump(draw)
	c.Assert(len(b.started), qt.Equals, 4, qt.Commentf("unused quota is lent"))
	first := b.arrive("small", spec.Urgent, time.Minute)
	second := b.arrive("small", spec.Urgent, time.Minute)
	refused := b.arrive("big", spec.Urgent, time.Minute)
	c.Assert(b.code[refused], qt.Equals, code.QuotaExceeded)
	b.advance(b.now+10*time.Millisecond, draw)
	c.Assert(b.state[first], qt.Equals, Start)
	c.Assert(b.state[second], qt.Equals, Start)
}

// Guards against weights that have no effect.
func TestWeightedShares(t *testing.T) {
	c := qt.New(t)
	b := newBench(1, 1, DefaultSettings())
	b.team("heavy", 0, 3)
	b.team("light", 0, 1)
	for range 40 {
		b.arrive("heavy", spec.Urgent, time.Hour)
		b.arrive("light", spec.Urgent, time.Hour)
	}
	for range 40 {
		b.take(b.core.Next(b.now))
	}
	heavy := 0
	for _, id := range b.started {
		if b.arrived[id].Team == "heavy" {
			heavy++
		}
	}
	c.Assert(heavy >= 28 && heavy <= 32, qt.IsTrue, qt.Commentf("%d of 40", heavy))
}

// Guards against a request that is queued although it cannot be answered in
// time, and against an urgent request that is refused in favour of others.
func TestRefusals(t *testing.T) {
	c := qt.New(t)
	settings := DefaultSettings()
	settings.TotalBound = 3
	b := newBench(1, 1, settings)
	b.team("t", 0, 1)
	b.core.service.learn(50 * time.Millisecond)
	c.Assert(b.code[b.arrive("t", spec.Urgent, 10*time.Millisecond)], qt.Equals, code.CannotMeetTime)
	late := b.arrive("t", spec.Deadline, time.Hour)
	b.arrive("t", spec.Urgent, time.Minute)
	b.arrive("t", spec.Urgent, time.Minute)
	urgent := b.arrive("t", spec.Urgent, 30*time.Second)
	c.Assert(b.code[late], qt.Equals, code.Overloaded)
	c.Assert(b.state[urgent], qt.Equals, Wait)
}

// Guards against retries or hedges that multiply the load.
func TestBudget(t *testing.T) {
	c := qt.New(t)
	budget := NewBudget(RetryShare)
	spent := 0
	for range 10_000 {
		budget.Earn()
		if budget.Spend() {
			spent++
		}
	}
	c.Assert(spent <= 1000+budgetBurst, qt.IsTrue, qt.Commentf("%d retries of 10000 requests", spent))
	c.Assert(spent >= 1000, qt.IsTrue)
}
