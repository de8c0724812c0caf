package planner

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// cancelUnknown cancels a job that the log does not hold and returns the reply.
func (h *harness) cancelUnknown(c *qt.C, id jobs.ID) Reply {
	effects := slices.Clone(h.step(CancelRequested{RequestID: 9, ID: id, RecordUnknown: true}))
	for range 5 {
		if r, ok := findEffect[Reply](effects); ok {
			return r
		}
		for _, e := range effects {
			if w, ok := e.(Write); ok {
				for _, r := range w.Records {
					_, err := h.core.stateMachine.Apply(r)
					c.Assert(err, qt.IsNil)
				}
				effects = append(effects, h.step(WriteDone{Seq: w.Seq})...)
			}
		}
		effects = append(effects, h.advance(40)...)
	}
	c.Fatal("no reply to the cancellation")
	return Reply{}
}

// TestCancelledBeforeItIsRecorded guards against tasks that start after the
// cancellation of their job was answered: its submission is recorded later, because
// the log carries out an append late or the caller's request arrives again, also
// under the next leader.
func TestCancelledBeforeItIsRecorded(t *testing.T) {
	for _, test := range []struct {
		name             string
		takeover, direct bool
	}{
		{"submitted again", false, false}, {"recorded by another instance", false, true},
		{"submitted again to the next leader", true, false}, {"recorded under the next leader", true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(safeguards{})
			h.join(testWorker)
			h.confirmWrites(h.advance(100))
			reply := h.cancelUnknown(c, "j")
			c.Assert(reply.Known, qt.IsFalse)
			_, known := h.core.State("j")
			c.Assert(known, qt.IsFalse)
			if test.takeover {
				h = h.nextLeader()
				h.step(QueuesChanged{Queues: []Queue{testQueue}})
				h.confirmWrites(h.report(testWorker, Report{StartedMS: 7, ClockMS: 5000}))
			}
			encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "q", Steps: []jobs.Step{{Count: 1, CPUMilli: 100, EstimateMS: 900}}})
			c.Assert(err, qt.IsNil)
			var effects []Effect
			if test.direct {
				_, err := h.core.stateMachine.Apply(jobs.SubmissionRecord("j", encoded))
				c.Assert(err, qt.IsNil)
				effects = slices.Clone(h.step(RecordsRead{Jobs: []jobs.ID{"j"}}))
			} else {
				effects = slices.Clone(h.step(SubmitRequested{RequestID: 1, ID: "j", Encoded: encoded}))
			}
			h.confirmWrites(effects)
			later := h.advance(200)
			h.confirmWrites(later)
			c.Assert(allStarts(append(effects, later...)), qt.HasLen, 0)
			state, known := h.core.State("j")
			c.Assert(known, qt.IsTrue)
			c.Assert(state, qt.Equals, jobs.Cancelled)
		})
	}
}

// TestCancelledOrphanIsStoppedAtOnce guards against a run that goes on after the
// cancellation of its job was answered: a predecessor has started it, and its
// submission was never recorded.
func TestCancelledOrphanIsStoppedAtOnce(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.confirmWrites(h.advance(100))
	report := Report{StartedMS: 7, ClockMS: 300, Running: []RunningTask{{Task: jobs.Task{Job: "j"}, Run: 4}}}
	_, stopped := findEffect[Stop](h.report(testWorker, report))
	c.Assert(stopped, qt.IsFalse)
	effects := slices.Clone(h.step(CancelRequested{RequestID: 9, ID: "j", RecordUnknown: true}))
	stop, stopped := findEffect[Stop](effects)
	c.Assert(stopped, qt.IsTrue)
	c.Assert(stop.Run, qt.Equals, 4)
	// Lost commands are sent again.
	_, stopped = findEffect[Stop](h.report(testWorker, report))
	c.Assert(stopped, qt.IsTrue)
}

// TestUnknownCancellationIsDropped guards against records that stay in the log for
// ever.
func TestUnknownCancellationIsDropped(t *testing.T) {
	c := qt.New(t)
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.confirmWrites(h.advance(100))
	h.cancelUnknown(c, "j")
	c.Assert(h.core.stateMachine.Jobs["j"], qt.IsNotNil)
	next := h.nextLeader()
	for _, leader := range []*harness{h, next} {
		leader.now += leader.core.config.StatusRetentionMS + purgeMarginMS + 1000
		leader.confirmWrites(leader.advance(200))
		c.Assert(leader.core.stateMachine.Jobs["j"], qt.IsNil)
		_, err := leader.core.stateMachine.Apply(jobs.CancellationRecord("j"))
		c.Assert(err, qt.IsNil)
	}
}
