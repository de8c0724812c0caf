package planner

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// TestUnconfirmedStartKeepsJobWaiting guards the count of waiting jobs, also under
// the next leader: a job of which no start was carried out has not started.
func TestUnconfirmedStartKeepsJobWaiting(t *testing.T) {
	for _, test := range []struct {
		name    string
		outcome Outcome
		waiting int
	}{
		{"carried out", Done, 0},
		{"refused", NoRoom, 1},
		{"no response", OutcomeUnknown, 1},
		{"another worker responds", WrongWorker, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(safeguards{})
			h.join(testWorker)
			h.confirmWrites(h.advance(100))
			effects := slices.Clone(h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
			s, ok := findEffect[Start](effects)
			c.Assert(ok, qt.IsTrue)
			h.confirmWrites(effects)
			h.confirmWrites(h.step(StartDone{Worker: "w", Address: "a", Task: s.Task, Run: s.Run, Token: s.Token, Outcome: test.outcome}))
			// No later start is carried out either.
			h.core.workers["w"].noRoomUntilMS = h.now + 10_000
			h.confirmWrites(h.advance(40))
			c.Assert(h.core.WaitingJobs("q"), qt.Equals, test.waiting)
			state, _ := h.core.State("j")
			c.Assert(state == jobs.Queued, qt.Equals, test.waiting == 1)
			next := h.nextLeader()
			c.Assert(next.core.WaitingJobs("q"), qt.Equals, test.waiting)
		})
	}
}

// TestRejectedSubmissionMayHaveStarted guards a refusal that says that nothing has
// run: a start that was sent may have been carried out.
func TestRejectedSubmissionMayHaveStarted(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.confirmWrites(h.advance(100))
	effects := slices.Clone(h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	_, ok := findEffect[Start](effects)
	c.Assert(ok, qt.IsTrue)
	write, ok := findEffect[Write](effects)
	c.Assert(ok, qt.IsTrue)
	reply, ok := findEffect[Reply](h.step(WriteRejected{Seq: write.Seq}))
	c.Assert(ok, qt.IsTrue)
	c.Assert(reply.Rejected && reply.Started, qt.IsTrue)
}

// TestLostPaceIsSentAgain guards against a best-effort run that stays slowed: a
// pace command without a response may have been carried out, so the pace that the
// leader knows may be wrong. A late call must not change it afterwards.
func TestLostPaceIsSentAgain(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	s, ok := findEffect[Start](h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 4000, EstimateMS: 9000, BestEffort: true, Image: "b"}))
	c.Assert(ok, qt.IsTrue)
	h.step(StartDone{Worker: "w", Task: s.Task, Run: s.Run, Token: s.Token, Outcome: Done})
	h.now += 1000
	h.step(PaceDone{Worker: "w", Task: s.Task, Run: s.Run, Token: s.Token, Percent: 10, Outcome: OutcomeUnknown})
	c.Assert(h.core.workers["w"].token > s.Token, qt.IsTrue)
	report := Report{StartedMS: 7, ClockMS: 1200, Running: []RunningTask{{Task: s.Task, Run: s.Run, Percent: 5}}}
	pace, ok := findEffect[Pace](h.report(testWorker, report))
	c.Assert(ok, qt.IsTrue)
	c.Assert(pace.Percent, qt.Equals, 100)
	h.step(PaceDone{Worker: "w", Task: s.Task, Run: s.Run, Token: pace.Token, Percent: 100, Outcome: Done})
	h.now += 1000
	_, ok = findEffect[Pace](h.report(testWorker, report))
	c.Assert(ok, qt.IsFalse)
}
