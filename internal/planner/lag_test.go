package planner

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// ticks passes a number of ticks with a lag and returns the events of decisions.
func (h *harness) ticks(n int, lagMS int64) (events []string) {
	for range n {
		h.now += 20
		for _, w := range h.core.sortedWorkers {
			w.reportedMS = h.now
		}
		for _, e := range h.step(Tick{LagMS: lagMS}) {
			if d, ok := e.(Decision); ok {
				events = append(events, d.Event)
			}
		}
	}
	return events
}

// Guards against a leader that falls behind without a word, and against one that
// keeps telling.
func TestLagIsLoggedOnce(t *testing.T) {
	c := qt.New(t)
	h, _ := newIdleSite(2)
	c.Assert(h.ticks(50, 20), qt.HasLen, 0)
	c.Assert(h.ticks(1, 400), qt.HasLen, 0, qt.Commentf("a single late event"))
	c.Assert(h.ticks(50, 20), qt.HasLen, 0)
	c.Assert(h.ticks(100, 300), qt.DeepEquals, []string{"behind"})
	c.Assert(h.ticks(100, 60), qt.HasLen, 0, qt.Commentf("nearly caught up"))
	c.Assert(h.ticks(100, 5), qt.DeepEquals, []string{"caught_up"})
}

// Guards against a leader that spends the little processor time it has on passes:
// behind, it must make fewer of them and still start everything that fits, the
// most urgent first.
func TestBehindPlacesInFewerPasses(t *testing.T) {
	c := qt.New(t)
	starts := func(lagMS int64) (passes int64, first jobs.ID) {
		h, _ := newIdleSite(4)
		h.step(QueuesChanged{Queues: []Queue{
			{Name: "q", Policy: jobs.Policy{Service: "s", Priority: 2, Stretch: 2}},
			{Name: "urgent", Policy: jobs.Policy{Service: "s", Stretch: 2}},
		}})
		h.ticks(100, lagMS)
		before := h.core.Work().Passes
		total := 0
		for i := range 50 {
			h.now += minPassIntervalMS
			for _, w := range h.core.sortedWorkers {
				w.reportedMS = h.now
			}
			queue := "q"
			if i%2 == 1 {
				queue = "urgent"
			}
			encoded, err := jobs.EncodeJob(&jobs.Job{Queue: queue, Steps: []jobs.Step{{Count: 1, CPUMilli: 100, EstimateMS: 900}}})
			c.Assert(err, qt.IsNil)
			for _, e := range h.step(SubmitRequested{RequestID: 1, ID: jobs.ID(fmt.Sprintf("%s%02d", queue, i)), Encoded: encoded}) {
				if s, ok := e.(Start); ok {
					total++
					if first == "" && i > 1 {
						first = s.Task.Job
					}
				}
			}
		}
		h.now += 200
		for _, w := range h.core.sortedWorkers {
			w.reportedMS = h.now
		}
		for _, e := range h.step(Tick{LagMS: lagMS}) {
			if _, ok := e.(Start); ok {
				total++
			}
		}
		c.Check(total, qt.Equals, 50, qt.Commentf("lag %d", lagMS))
		return h.core.Work().Passes - before, first
	}
	onTime, _ := starts(0)
	behind, first := starts(400)
	c.Check(behind*4 < onTime, qt.IsTrue, qt.Commentf("%d passes on time, %d behind", onTime, behind))
	c.Check(first[:6], qt.Equals, jobs.ID("urgent"))
}

// Guards against a task that is started again although its run has ended as done:
// a leader that handles its events seconds late counted the lease as over while
// the report with the end was waiting to be handled.
func TestLeaseIsNotOverWhileReportsWait(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	other := testWorker
	other.ID, other.Address = "w2", "a2"
	h.step(WorkersChanged{Workers: []WorkerInfo{testWorker, other}})
	h.report(other, Report{StartedMS: 7, ClockMS: 100})
	h.core.workers["w2"].noRoomUntilMS = h.now + 1000
	s, ok := findEffect[Start](h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	c.Assert(ok, qt.IsTrue)
	c.Assert(s.Worker, qt.Equals, WorkerID("w"))
	h.step(StartDone{Worker: "w", Task: s.Task, Run: s.Run, Token: s.Token, Outcome: Done})
	received := h.now + 2300
	// The event loop is busy; ticks and the other worker's reports are handled.
	for range 400 {
		h.now += 20
		effects := h.report(other, Report{StartedMS: 7, ClockMS: h.now - 1_000_000 + 100})
		effects = append(effects, h.step(Tick{LagMS: 3000, HandledMS: received - 100})...)
		_, again := findEffect[Start](effects)
		c.Assert(again, qt.IsFalse, qt.Commentf("started again after %d ms", h.now-received+2300))
	}
	w := h.core.workers["w"]
	h.step(HoldDone{
		Worker: "w", Token: w.token, SentMS: received - 1000, ReceivedMS: received, Outcome: Done,
		Report: Report{StartedMS: 7, ClockMS: 2400, Ended: []EndedTask{ended(1, 0, s.Run, EndDone)}},
	})
	c.Assert(h.core.jobs["j"].state, qt.Equals, jobs.Completed)

	// Once everything has been handled, a lost worker's run is lost.
	lost := newHarness(safeguards{})
	lost.join(testWorker)
	s, _ = findEffect[Start](lost.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	lost.step(StartDone{Worker: "w", Task: s.Task, Run: s.Run, Token: s.Token, Outcome: Done})
	lost.advance(8000)
	c.Assert(lost.core.workers["w"].runs, qt.HasLen, 0)
}

// Guards against leases that are short by the time that a report has waited: runs
// lapsed on thousands of healthy workers.
func TestLeaseCountsFromTheArrivalOfAReport(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.now += 2000
	w := h.core.workers["w"]
	effects := h.step(HoldDone{Worker: "w", Token: w.token, SentMS: h.now - 1600, ReceivedMS: h.now - 1500, Outcome: Done, Report: Report{StartedMS: 7, ClockMS: 600}})
	hold, ok := findEffect[Hold](effects)
	c.Assert(ok, qt.IsTrue)
	c.Assert(hold.LeaseEndMS, qt.Equals, int64(600+1500+4000))
}

// Guards against a report that arrives after its call was given up and replaces a
// newer one: a run that has ended would count as running again.
func TestLateReportDoesNotReplaceANewerOne(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.step(QueuesChanged{Queues: []Queue{testQueue}})
	h.join(testWorker)
	s, ok := findEffect[Start](h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	c.Assert(ok, qt.IsTrue)
	h.step(StartDone{Worker: "w", Task: s.Task, Run: s.Run, Token: s.Token, Outcome: Done})
	late := func(clockMS, startedMS int64) []Effect {
		return h.step(HoldDone{Worker: "w", Token: s.Token, SentMS: h.now - 3000, Late: true, Outcome: Done, Report: Report{
			StartedMS: startedMS, ClockMS: clockMS, Running: []RunningTask{{Task: s.Task, Run: s.Run}},
		}})
	}
	h.now += 3000
	w := h.core.workers["w"]
	inFlight := w.holdsInFlight
	c.Assert(w.runs[0].listedReport, qt.Equals, int64(0))
	late(1000, 7)
	c.Assert(w.runs[0].listedReport, qt.Equals, h.core.reports)
	c.Assert(w.reportedMS < h.now-unresponsiveMS, qt.IsTrue, qt.Commentf("a late report counts as contact"))
	c.Assert(w.holdsInFlight, qt.Equals, inFlight)

	h.report(testWorker, Report{StartedMS: 7, ClockMS: 3100, Ended: []EndedTask{ended(1, 0, s.Run, EndFailed)}})
	reports := h.core.reports
	for _, e := range append(slices.Clone(late(2000, 7)), late(9000, 6)...) {
		_, stopped := e.(Stop)
		c.Check(stopped, qt.IsFalse)
	}
	c.Check(h.core.reports, qt.Equals, reports)
	c.Check(h.core.jobs["j"].open[0].steps[0].tasks[0].runs, qt.HasLen, len(w.runs))
}
