package planner

import (
	"fmt"
	"math"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// slowAdviser handles one request at a time, as long as its queue's figures say, and
// leaves a request out once its caller has given up. It allows each step on one of
// four workers, or denies it on one of four, or allows one worker only.
type slowAdviser struct {
	lenient bool
	only    WorkerID
	h       *harness
	advice  map[jobs.ID]jobs.Advice
	waiting []slowRequest
	endMS   int64
	starts  []Start
	// asked are the jobs in the order of their requests, answers the responses.
	asked   []jobs.ID
	answers int
}

type slowRequest struct {
	Advise
	sentMS int64
}

func (a *slowAdviser) tookMS(r slowRequest) int64 {
	advice := a.advice[r.Step.Job]
	return advice.DecisionMS + int64(len(r.Workers))*advice.WorkerMS
}

// run plays some time; the workers end runs at once.
func (a *slowAdviser) run(ms int64, infos []WorkerInfo) {
	h := a.h
	for end := h.now + ms; h.now < end; {
		a.take(h.advance(20))
		if h.now%500 < 20 {
			for _, info := range infos {
				a.take(h.report(info, Report{StartedMS: 7, ClockMS: h.now, Running: a.running(info.ID)}))
			}
		}
		a.waiting = slices.DeleteFunc(a.waiting, func(r slowRequest) bool {
			gone := h.now-r.sentMS > r.TimeoutMS
			if gone {
				a.take(h.step(AdviceDone{Step: r.Step, Outcome: OutcomeUnknown}))
			}
			return gone
		})
		if len(a.waiting) == 0 {
			a.endMS = 0
			continue
		}
		r := a.waiting[0]
		if a.endMS == 0 {
			a.endMS = h.now + a.tookMS(r)
		}
		if h.now >= a.endMS {
			a.waiting, a.endMS = a.waiting[1:], 0
			a.answers++
			done := AdviceDone{Step: r.Step, Outcome: Done, Tickets: map[WorkerID]string{}}
			for _, id := range r.Workers {
				if a.only == id || a.only == "" && ((int(id[len(id)-1])+len(r.Step.Job))%4 == 0) != a.lenient {
					done.Tickets[id] = "ticket"
				}
			}
			a.take(h.step(done))
		}
	}
}

func (a *slowAdviser) running(id WorkerID) []RunningTask {
	var out []RunningTask
	for _, s := range a.starts {
		if s.Worker == id {
			out = append(out, RunningTask{Task: s.Task, Run: s.Run, Percent: 10})
		}
	}
	return out
}

func (a *slowAdviser) take(effects []Effect) {
	for _, e := range slices.Clone(effects) {
		switch e := e.(type) {
		case Start:
			a.starts = append(a.starts, e)
		case Advise:
			a.asked = append(a.asked, e.Step.Job)
			a.waiting = append(a.waiting, slowRequest{e, a.h.now})
		case Write:
			a.h.confirmWrites([]Effect{e})
		}
	}
}

// TestAdviceTakesAsLongAsConfigured guards against work that never starts because of
// limits of the leader's own beside those that the configuration states: it asks about
// as many workers as a response in reasonable time covers, one step after the other,
// and waits as long as the adviser takes.
func TestAdviceTakesAsLongAsConfigured(t *testing.T) {
	for _, test := range []struct {
		advice jobs.Advice
		// withinMS is when the first of five jobs, and all of them, have to run.
		firstMS, allMS int64
	}{
		{jobs.Advice{}, 200, 2500},
		{jobs.Advice{DecisionMS: 20, WorkerMS: 2}, 400, 3000},
		{jobs.Advice{DecisionMS: 600, WorkerMS: 90, ValidityMS: 10_000}, 1500, 9000},
		{jobs.Advice{DecisionMS: 5000, WorkerMS: 500}, 11_000, 56_000},
		{jobs.Advice{DecisionMS: 0, WorkerMS: 900}, 9000, 45_000},
		{jobs.Advice{DecisionMS: 45_000}, 46_000, 230_000},
		{jobs.Advice{DecisionMS: 600, WorkerMS: 90, ValidityMS: 60}, 1500, 9000},
	} {
		t.Run(fmt.Sprint(test.advice), func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(safeguards{})
			h.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Advised: true, Advice: test.advice}}}})
			infos := h.joinMany(48)
			a := &slowAdviser{h: h, advice: map[jobs.ID]jobs.Advice{}}
			startMS := h.now
			for i := range 5 {
				id := jobs.ID(fmt.Sprint("job", i))
				a.advice[id] = test.advice
				a.take(h.submit(t, id, jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
			}
			for len(a.starts) == 0 && h.now-startMS < 2*test.firstMS {
				a.run(20, infos)
			}
			c.Check(h.now-startMS <= test.firstMS, qt.IsTrue, qt.Commentf("first start after %d ms", h.now-startMS))
			for len(a.starts) < 5 && h.now-startMS < 2*test.allMS {
				a.run(20, infos)
			}
			c.Check(h.now-startMS <= test.allMS, qt.IsTrue, qt.Commentf("%d starts after %d ms", len(a.starts), h.now-startMS))
		})
	}
}

// TestSlowQueueDoesNotStarveOthers guards against queues that wait without end for
// another one's advice, whatever their priorities.
func TestSlowQueueDoesNotStarveOthers(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	slow := jobs.Advice{DecisionMS: 900, WorkerMS: 100, ValidityMS: 300}
	h.step(QueuesChanged{Queues: []Queue{
		{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Advised: true, Priority: 0, Advice: slow}},
		{Name: "low", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Advised: true, Priority: 3, Advice: jobs.Advice{DecisionMS: 10, WorkerMS: 1}}},
	}})
	infos := h.joinMany(16)
	a := &slowAdviser{h: h, advice: map[jobs.ID]jobs.Advice{}}
	for i := range 4 {
		id := jobs.ID(fmt.Sprint("urgent", i))
		a.advice[id] = slow
		// Four of them fill a worker.
		a.take(h.submit(t, id, jobs.Step{Count: 40, CPUMilli: 8000, EstimateMS: 900}))
	}
	encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "low", Steps: []jobs.Step{{Count: 1, CPUMilli: 10, EstimateMS: 900}}})
	c.Assert(err, qt.IsNil)
	a.advice["lower"] = jobs.Advice{DecisionMS: 10, WorkerMS: 1}
	a.take(h.step(SubmitRequested{ID: "lower", Encoded: encoded}))
	a.run(40_000, infos)
	asked := slices.Index(a.asked, "lower")
	c.Assert(asked >= 0 && asked < 10, qt.IsTrue, qt.Commentf("%v", a.asked))
	c.Assert(slices.ContainsFunc(a.starts, func(s Start) bool { return s.Task.Job == "lower" }), qt.IsTrue)
}

// TestConfigurationShortensAdvice guards against a request that keeps all others
// waiting because a former version of the configuration stated a long time for it.
func TestConfigurationShortensAdvice(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	queues := func(a jobs.Advice) QueuesChanged {
		return QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Advised: true, Advice: a}}}}
	}
	h.step(queues(jobs.Advice{DecisionMS: math.MaxInt64 / 1000, WorkerMS: math.MaxInt64 / 1000 / maxAdviceBatch}))
	infos := h.joinMany(4)
	a := &slowAdviser{h: h, advice: map[jobs.ID]jobs.Advice{"first": {DecisionMS: math.MaxInt32}}}
	a.take(h.submit(t, "first", jobs.Step{Count: 1, CPUMilli: 100}))
	a.run(100, infos)
	a.take(h.submit(t, "next", jobs.Step{Count: 1, CPUMilli: 100}))
	a.run(5000, infos)
	c.Assert(a.asked, qt.DeepEquals, []jobs.ID{"first"})
	c.Assert(a.waiting[0].TimeoutMS, qt.Equals, int64(maxAdviceTimeoutMS))
	// The adviser has dropped the former request.
	a.waiting, a.endMS = nil, 0
	h.step(queues(jobs.Advice{DecisionMS: 10}))
	a.run(3000, infos)
	c.Assert(a.asked, qt.DeepEquals, []jobs.ID{"first", "next"})
	c.Assert(a.starts, qt.HasLen, 1)
}

// TestAdviceUnderWithheldCommands guards against steps that never ask again after
// their turn came while the leader withheld its commands.
func TestAdviceUnderWithheldCommands(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Advised: true, Advice: jobs.Advice{DecisionMS: 100}}}}})
	infos := h.joinMany(4)
	a := &slowAdviser{h: h, advice: map[jobs.ID]jobs.Advice{"j0": {DecisionMS: 100}, "j1": {DecisionMS: 100}}}
	a.take(h.submit(t, "j0", jobs.Step{Count: 1, CPUMilli: 100}))
	a.take(h.submit(t, "j1", jobs.Step{Count: 1, CPUMilli: 100}))
	h.advance(20)
	a.take(h.step(Suspended{}))
	a.run(1000, infos)
	c.Assert(a.asked, qt.HasLen, 1)
	a.take(h.step(LeadershipConfirmed{}))
	a.run(2000, infos)
	c.Assert(a.starts, qt.HasLen, 2)
}

// TestManyStepsShareAdviser guards against steps that wait for each other: the adviser
// has to keep up with steps that come at the rate at which it can answer about the
// workers that they need.
func TestManyStepsShareAdviser(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	advice := jobs.Advice{DecisionMS: 20, WorkerMS: 2}
	h.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Advised: true, Advice: advice}}}})
	infos := h.joinMany(48)
	a := &slowAdviser{h: h, advice: map[jobs.ID]jobs.Advice{}}
	started := map[jobs.ID]bool{}
	for i := range 60 {
		// Their lengths differ, so that the adviser allows them on different workers.
		id := jobs.ID(fmt.Sprintf("j%d%s", 10+i, "xxxx"[:i%4]))
		a.advice[id] = advice
		a.take(h.submit(t, id, jobs.Step{Count: 16, CPUMilli: 100, EstimateMS: 900}))
		a.run(100, infos)
	}
	a.run(1000, infos)
	for _, s := range a.starts {
		started[s.Task.Job] = true
	}
	c.Assert(started, qt.HasLen, 60)
}

// Guards against gangs that never have enough tickets at one moment: a response about
// few workers takes as long as their tickets are valid, or less.
func TestGangGetsTicketsAtOnce(t *testing.T) {
	for _, test := range []struct {
		advice   jobs.Advice
		withinMS int64
	}{
		{jobs.Advice{DecisionMS: 200, WorkerMS: 100, ValidityMS: 3000}, 8000},
		{jobs.Advice{DecisionMS: 200, WorkerMS: 100, ValidityMS: 400}, 8000},
		{jobs.Advice{DecisionMS: 1000, WorkerMS: 0, ValidityMS: 60}, 4000},
		{jobs.Advice{DecisionMS: 0, WorkerMS: 900, ValidityMS: 5000}, 60_000},
	} {
		t.Run(fmt.Sprint(test.advice), func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(safeguards{})
			h.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Advised: true, Advice: test.advice}}}})
			infos := h.joinMany(64)
			a := &slowAdviser{h: h, lenient: true, advice: map[jobs.ID]jobs.Advice{"gang": test.advice}}
			a.take(h.submit(t, "gang", jobs.Step{Count: 22, CPUMilli: 20_000, EstimateMS: 900, Gang: true}))
			a.run(test.withinMS, infos)
			c.Assert(a.starts, qt.HasLen, 22, qt.Commentf("%d responses", a.answers))
		})
	}
}

// Guards against gangs that starve one another after a burst: at equal shares of the
// adviser's time the tickets of each expire before it has enough. The burst asks for
// two thirds of what the adviser can answer if it names only the workers that a gang
// needs, and of those that it denies as many as it has to.
func TestGangsShareAdviserAfterBurst(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	advice := jobs.Advice{DecisionMS: 100, WorkerMS: 20, ValidityMS: 3000}
	h.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Advised: true, Advice: advice}}}})
	infos := h.joinMany(64)
	a := &slowAdviser{h: h, lenient: true, advice: map[jobs.ID]jobs.Advice{}}
	const gangs, members = 44, 8
	for i := range gangs {
		// Their lengths differ, so that the adviser denies them different workers.
		id := jobs.ID(fmt.Sprintf("g%d%s", 10+i, "xxxx"[:i%4]))
		a.advice[id] = advice
		a.take(h.submit(t, id, jobs.Step{Count: members, CPUMilli: 100, EstimateMS: 900, Gang: true, MaxPerWorker: 1}))
		a.run(400, infos)
	}
	a.run(5000, infos)
	c.Assert(a.starts, qt.HasLen, gangs*members)
}

// Guards against steps that ask about the same few workers only: many of them wait
// for their turns for longer than a denial is kept.
func TestExpiredDenialsComeLast(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	advice := jobs.Advice{DecisionMS: 3, WorkerMS: 400}
	h.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Advised: true, Advice: advice}}}})
	infos := h.joinMany(8)
	a := &slowAdviser{h: h, only: infos[7].ID, advice: map[jobs.ID]jobs.Advice{}}
	const steps = 60
	started := map[jobs.ID]bool{}
	for i := range steps {
		id := jobs.ID(fmt.Sprint("j", i))
		a.advice[id] = advice
		a.take(h.submit(t, id, jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	}
	// Time for twice as many requests as there are pairs of a step and a worker.
	a.run(2*steps*8*(advice.DecisionMS+advice.WorkerMS), infos)
	for _, s := range a.starts {
		started[s.Task.Job] = true
	}
	c.Assert(started, qt.HasLen, steps)
}
