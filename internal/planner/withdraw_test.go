package planner

import (
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// request submits a job whose caller waits for some time, or without limit if it is 0.
func (h *harness) request(t *testing.T, requestID uint64, id jobs.ID, waitMS int64) []Effect {
	encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "q", Steps: []jobs.Step{{Count: 1, CPUMilli: 100, EstimateMS: 900}}})
	qt.New(t).Assert(err, qt.IsNil)
	return slices.Clone(h.step(SubmitRequested{RequestID: requestID, ID: id, Encoded: encoded, WaitMS: waitMS}))
}

func replies(effects []Effect) (out []Reply) {
	for _, e := range effects {
		if r, ok := e.(Reply); ok {
			out = append(out, r)
		}
	}
	return out
}

// withOutstandingWrite returns a leader with one worker, and the write of the job
// "first", which the log has not confirmed for some time.
func withOutstandingWrite(t *testing.T, ms int64) (*harness, Write) {
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.confirmWrites(h.advance(100))
	write, ok := findEffect[Write](h.request(t, 1, "first", 100))
	qt.New(t).Assert(ok, qt.IsTrue)
	h.advance(ms)
	return h, write
}

// Guards against callers that learn nothing before their time is over although nothing
// has been done for them, against a refused submission that runs, and against tasks
// that do not start once the log has taken their submission.
func TestWaitingSubmissionIsWithdrawn(t *testing.T) {
	c := qt.New(t)
	h, write := withOutstandingWrite(t, pauseStartsMS)
	h.request(t, 2, "second", 500)
	h.request(t, 3, "second", 900)
	h.request(t, 4, "third", 2000)
	c.Assert(h.core.UnsentRequests(), qt.DeepEquals, []uint64{2, 3, 4})
	effects := h.advance(600)
	c.Assert(replies(effects), qt.DeepEquals, []Reply{{RequestID: 2, Withdrawn: true}, {RequestID: 3, Withdrawn: true}})
	c.Assert(decisions(effects, "submission_withdrawn"), qt.HasLen, 1)
	_, started := findEffect[Start](effects)
	c.Assert(started, qt.IsFalse)
	c.Assert(h.core.unrecordedBytes, qt.Equals, h.core.jobs["first"].unrecordedBytes+h.core.jobs["third"].unrecordedBytes)
	for _, r := range write.Records {
		_, err := h.core.stateMachine.Apply(r)
		c.Assert(err, qt.IsNil)
	}
	effects = slices.Clone(h.step(WriteDone{Seq: write.Seq}))
	h.confirmWrites(effects)
	effects = append(effects, h.advance(100)...)
	started2 := map[jobs.ID]bool{}
	for _, e := range effects {
		if s, ok := e.(Start); ok {
			started2[s.Task.Job] = true
		}
	}
	c.Assert(started2["second"], qt.IsFalse)
	c.Assert(started2["third"], qt.IsTrue)
	c.Assert(h.core.stateMachine.SubmittedEntry("second"), qt.IsNil)
	// A repeated submission is a new one.
	effects = h.request(t, 5, "second", 500)
	h.confirmWrites(append(effects, h.advance(40)...))
	c.Assert(h.core.stateMachine.SubmittedEntry("second"), qt.IsNotNil)
}

// Guards against a refusal that is not true: of what may have been sent or started, or
// is known to another instance or a worker, nothing is withdrawn.
func TestNothingDoneIsWithdrawn(t *testing.T) {
	for _, test := range []struct {
		name   string
		done   func(t *testing.T, h *harness)
		waitMS int64
		want   []Reply
	}{
		{"from an instance of the previous release", func(*testing.T, *harness) {}, 0, nil},
		{"cancelled", func(_ *testing.T, h *harness) { h.step(CancelRequested{RequestID: 9, ID: "j"}) }, 100, nil},
		{"a run is listed", func(_ *testing.T, h *harness) {
			h.report(testWorker, Report{StartedMS: 7, ClockMS: 200, Running: []RunningTask{{Task: jobs.Task{Job: "j"}, Run: 1}}})
		}, 100, nil},
		{"another request waits without limit", func(t *testing.T, h *harness) { h.request(t, 9, "j", 0) }, 100, nil},
		{"recorded by another instance", func(t *testing.T, h *harness) {
			encoded, err := jobs.EncodeJob(h.core.jobs["j"].spec)
			qt.Check(t, err, qt.IsNil)
			_, err = h.core.stateMachine.Apply(jobs.SubmissionRecord("j", encoded))
			qt.Check(t, err, qt.IsNil)
			h.step(RecordsRead{Jobs: []jobs.ID{"j"}})
		}, 100, []Reply{{RequestID: 2, Accepted: true, Known: true}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h, _ := withOutstandingWrite(t, pauseStartsMS)
			h.request(t, 2, "j", test.waitMS)
			test.done(t, h)
			c.Assert(replies(h.advance(1000)), qt.DeepEquals, test.want)
		})
	}
	t.Run("sent or started", func(t *testing.T) {
		c := qt.New(t)
		h, _ := withOutstandingWrite(t, 40)
		_, started := findEffect[Start](append(h.request(t, 2, "j", 100), h.advance(40)...))
		c.Assert(started, qt.IsTrue)
		c.Assert(h.core.UnsentRequests(), qt.HasLen, 0)
		c.Assert(replies(h.advance(1000)), qt.HasLen, 0)
	})
}

// limitWaits lets callers wait for a limited time: some submissions are withdrawn.
func (sim *simulation) limitWaits() { sim.waitRNG = rand.New(rand.NewPCG(sim.seed, 9)) }

// waitMS returns how long the caller of a submission waits.
func (sim *simulation) waitMS() int64 {
	if sim.waitRNG == nil || sim.waitRNG.IntN(5) == 0 {
		return 0
	}
	return 20 + sim.waitRNG.Int64N(2800)
}

// slowLog lets callers wait for a limited time while writes take up to 3 s.
func (sim *simulation) slowLog() {
	sim.limitWaits()
	for range 8 {
		sim.at(sim.waitRNG.Int64N(faultsSeconds*1000), func() {
			sim.slowLogUntil, sim.slowLogMS = sim.now+sim.waitRNG.Int64N(6000), 100+sim.waitRNG.Int64N(3000)
		})
	}
}

// mustNotRun reports whether every submission of a job has been withdrawn.
func (s *submittedJob) mustNotRun() bool {
	return s.withdrawn > 0 && s.withdrawn == s.sent && !s.recordedDirectly && !s.accepted
}

// withdrawn notes that a submission was withdrawn and checks that nothing of it has
// run or is recorded.
func (sim *simulation) noteWithdrawn(id jobs.ID) {
	s := sim.jobs[id]
	s.withdrawn++
	sim.withdrawals++
	if !s.mustNotRun() {
		return
	}
	if s.recorded {
		sim.violate("REFUSED", "%s is withdrawn, but in the log", id)
	}
	for run := range sim.carriedOut {
		if run.task.Job == id {
			sim.violate("REFUSED", "%s is withdrawn, but run %d of %s was started", id, run.run, run.task)
		}
	}
}

// TestRandomRunsWithWaits guards against withdrawn submissions that run or are
// recorded, with a log that is slow amid all other faults.
func TestRandomRunsWithWaits(t *testing.T) {
	c := qt.New(t)
	withdrawals := 0
	for i := range *seedCount {
		sim := runSeed(*firstSeed+uint64(i), func(sim *simulation) {
			sim.slowLog()
			if i%3 == 0 {
				sim.injectTakeoverFaults()
			}
		})
		withdrawals += sim.withdrawals
		c.Assert(sim.violations, qt.HasLen, 0)
	}
	t.Logf("%d withdrawals", withdrawals)
	c.Assert(withdrawals > *seedCount/4, qt.IsTrue, qt.Commentf("%d withdrawals", withdrawals))
}

// TestDisabledWithdrawalCheck checks that the runs notice a withdrawal of what has been
// started.
func TestDisabledWithdrawalCheck(t *testing.T) {
	requireViolation(t, 1, 60, "REFUSED", func(sim *simulation) {
		sim.disable(safeguards{withdrawUntouched: true})
		sim.slowLog()
	})
}
