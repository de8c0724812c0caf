package planner

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// fakeAdviser allows some workers and counts the requests.
type fakeAdviser struct {
	allowed  []WorkerID
	requests int
	busy     int
}

// respond responds to the advice requests among the effects and returns the
// starts.
func (a *fakeAdviser) respond(h *harness, effects []Effect) []Start {
	var starts []Start
	for _, e := range slices.Clone(effects) {
		switch e := e.(type) {
		case Start:
			starts = append(starts, e)
		case Advise:
			a.requests++
			done := AdviceDone{Step: e.Step, Outcome: Refused}
			if a.busy == 0 {
				done = AdviceDone{Step: e.Step, Outcome: Done, ValidityMS: 5000, Tickets: map[WorkerID]string{}}
				for _, id := range e.Workers {
					if slices.Contains(a.allowed, id) {
						done.Tickets[id] = "ticket-" + string(id)
					}
				}
			}
			a.busy = max(a.busy-1, 0)
			starts = append(starts, a.respond(h, h.step(done))...)
		case Write:
			for _, r := range e.Records {
				if _, err := h.core.stateMachine.Apply(r); err != nil {
					panic(err)
				}
			}
			starts = append(starts, a.respond(h, h.step(WriteDone{Seq: e.Seq}))...)
		}
	}
	return starts
}

// joinMany adds workers that have reported once.
func (h *harness) joinMany(n int) []WorkerInfo {
	var infos []WorkerInfo
	for i := range n {
		info := testWorker
		info.ID, info.Address = WorkerID(fmt.Sprintf("w%03d", i)), fmt.Sprint("a", i)
		infos = append(infos, info)
	}
	h.confirmWrites(h.step(WorkersChanged{Workers: infos}))
	for _, info := range infos {
		h.confirmWrites(h.report(info, Report{StartedMS: 7, ClockMS: 100}))
	}
	return infos
}

// TestAdviceIsRequestedForEveryWorker guards against a step that never starts
// although the adviser allows it on a worker: advice must also be requested for
// the workers that one request leaves out, even if the adviser was busy at
// first.
func TestAdviceIsRequestedForEveryWorker(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Advised: true}}}})
	infos := h.joinMany(100)
	a := &fakeAdviser{allowed: []WorkerID{"w097", "w098"}, busy: 1}
	starts := a.respond(h, h.submit(t, "j", jobs.Step{Count: 3, CPUMilli: 20_000, EstimateMS: 900}))
	startMS := h.now
	for len(starts) < 2 && h.now-startMS < 3000 {
		for _, info := range infos {
			starts = append(starts, a.respond(h, h.report(info, Report{StartedMS: 7, ClockMS: 100 + h.now - startMS}))...)
		}
		starts = append(starts, a.respond(h, h.advance(100))...)
	}
	c.Assert(starts, qt.HasLen, 2)
	for _, s := range starts {
		c.Check(s.Ticket, qt.Equals, "ticket-"+string(s.Worker))
	}
	// One request is refused, four name all workers.
	c.Assert(a.requests <= 6, qt.IsTrue, qt.Commentf("%d requests", a.requests))
}

// TestRejectedTicketIsRequestedAgain guards against a ticket that has become
// invalid on one worker: advice about that worker is requested again, and the
// tickets of the others remain in use.
func TestRejectedTicketIsRequestedAgain(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Advised: true}}}})
	infos := h.joinMany(1)
	a := &fakeAdviser{allowed: []WorkerID{"w000"}}
	starts := a.respond(h, append(slices.Clone(h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900})), h.advance(40)...))
	c.Assert(starts, qt.HasLen, 1)
	effects := slices.Clone(h.step(StartDone{Worker: "w000", Task: starts[0].Task, Run: starts[0].Run, Token: starts[0].Token, Outcome: NoTicket}))
	again := a.respond(h, effects)
	for range 10 {
		again = append(again, a.respond(h, h.report(infos[0], Report{StartedMS: 7, ClockMS: h.now}))...)
		again = append(again, a.respond(h, h.advance(100))...)
	}
	c.Assert(len(again) > 0, qt.IsTrue)
	c.Assert(a.requests, qt.Equals, 2)
}

// TestAdviceIsRequestedForWholeGang guards against a gang that never starts
// although the adviser allows enough workers: those that were allowed first
// have room for some members only.
func TestAdviceIsRequestedForWholeGang(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Advised: true}}}})
	infos := h.joinMany(40)
	a := &fakeAdviser{allowed: []WorkerID{"w001", "w035"}}
	starts := a.respond(h, h.submit(t, "j", jobs.Step{Count: 2, CPUMilli: 20_000, EstimateMS: 900, Gang: true}))
	startMS := h.now
	for len(starts) < 2 && h.now-startMS < 2000 {
		for _, info := range infos {
			starts = append(starts, a.respond(h, h.report(info, Report{StartedMS: 7, ClockMS: 100 + h.now - startMS}))...)
		}
		starts = append(starts, a.respond(h, h.advance(100))...)
	}
	c.Assert(starts, qt.HasLen, 2)
}

// TestAdviserThatDeniesEveryWorkerTwice guards against a panic of the leader
// when the adviser denies all workers, is asked again and denies them again.
// The job is in the log, so every later leader would end in the same way.
func TestAdviserThatDeniesEveryWorkerTwice(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Advised: true}}}})
	infos := h.joinMany(4)
	a := &fakeAdviser{}
	starts := a.respond(h, h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	play := func(ms int64) {
		for endMS := h.now + ms; h.now < endMS && len(starts) == 0; {
			for _, info := range infos {
				starts = append(starts, a.respond(h, h.report(info, Report{StartedMS: info.StartedMS, ClockMS: h.now}))...)
			}
			starts = append(starts, a.respond(h, h.advance(100))...)
		}
	}
	play(2 * adviceRecheckMS)
	c.Assert(starts, qt.HasLen, 0)
	c.Assert(a.requests >= 2, qt.IsTrue, qt.Commentf("%d requests", a.requests))
	c.Assert(a.requests <= 3, qt.IsTrue, qt.Commentf("%d requests although the adviser's answer does not change", a.requests))
	a.allowed = []WorkerID{"w002"}
	play(2 * adviceRecheckMS)
	c.Assert(starts, qt.HasLen, 1)
}

// TestRestartedWorkerIsAdvisedAgain guards against a step that never starts
// because the adviser denied the previous incarnation of a worker, which may
// have been of a different kind.
func TestRestartedWorkerIsAdvisedAgain(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.step(QueuesChanged{Queues: []Queue{{Name: "q", Policy: jobs.Policy{Service: "s", MaxAttempts: 2, Advised: true}}}})
	infos := h.joinMany(1)
	a := &fakeAdviser{}
	starts := a.respond(h, h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	for range 10 {
		starts = append(starts, a.respond(h, h.report(infos[0], Report{StartedMS: 7, ClockMS: h.now}))...)
		starts = append(starts, a.respond(h, h.advance(100))...)
	}
	c.Assert(starts, qt.HasLen, 0)
	a.allowed = []WorkerID{"w000"}
	infos[0].StartedMS = 8
	starts = append(starts, a.respond(h, h.step(WorkersChanged{Workers: infos}))...)
	for range 10 {
		starts = append(starts, a.respond(h, h.report(infos[0], Report{StartedMS: 8, ClockMS: 100}))...)
		starts = append(starts, a.respond(h, h.advance(100))...)
	}
	c.Assert(len(starts) > 0, qt.IsTrue)
}
