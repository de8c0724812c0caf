package planner

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// decisions returns the decisions with a name among the effects.
func decisions(effects []Effect, event string) (found []Decision) {
	for _, e := range effects {
		if d, ok := e.(Decision); ok && d.Event == event {
			found = append(found, d)
		}
	}
	return found
}

// detail returns a detail of a decision as text, or "" if it has none.
func detail(d Decision, name string) string {
	i := slices.IndexFunc(d.Details, func(detail Detail) bool { return detail.Name == name })
	if i < 0 {
		return ""
	}
	return cmp.Or(d.Details[i].Text, fmt.Sprint(d.Details[i].Number))
}

// checkDetails compares the details, given as name=value, of the only decision.
func checkDetails(t *testing.T, found []Decision, want string) {
	t.Helper()
	qt.Assert(t, found, qt.HasLen, 1)
	for _, field := range strings.Fields(want) {
		name, value, _ := strings.Cut(field, "=")
		qt.Check(t, detail(found[0], name), qt.Equals, value, qt.Commentf(name))
	}
}

// successor returns the leader of the next term, which reads the given list of
// workers one second later, and the effects of the list.
func (h *harness) successor(infos ...WorkerInfo) (*harness, []Effect) {
	config := h.core.config
	config.FirstTerm, config.PriorLeaseMS = false, config.LeaseMS
	next := &harness{now: h.now + 1000}
	next.core = New(config, h.core.stateMachine, h.core.epoch+1, next.time())
	next.step(QueuesChanged{Queues: []Queue{testQueue}})
	return next, slices.Clone(next.step(WorkersChanged{Workers: infos, ReadMS: next.now - 30}))
}

func workerNamed(id WorkerID) WorkerInfo {
	info := testWorker
	info.ID, info.Address = id, string(id)
	return info
}

// TestTakeoverStatesItsWorkers guards against a takeover whose log lines do not show
// that tasks of a worker may be started again: the worker was missing from the list,
// was removed, belongs to another incarnation, or was waited for in vain.
func TestTakeoverStatesItsWorkers(t *testing.T) {
	c := qt.New(t)
	first := newHarness(safeguards{})
	first.confirmWrites(first.step(WorkersChanged{Workers: []WorkerInfo{workerNamed("silent"), workerNamed("dead"), workerNamed("again"), testWorker}}))
	first.confirmWrites(first.advance(100))

	again := workerNamed("again")
	again.StartedMS++
	h, effects := first.successor(testWorker, again, workerNamed("new"))
	checkDetails(t, decisions(effects, "workers_listed"), "listed=3 recorded=4 recorded_only=2 unrecorded=1 restarted=1 list_age_ms=30")
	c.Assert(decisions(h.step(WorkersChanged{Workers: []WorkerInfo{testWorker, again, workerNamed("new")}}), "workers_listed"), qt.HasLen, 0)

	for _, info := range []WorkerInfo{testWorker, again, workerNamed("new")} {
		h.report(info, Report{StartedMS: info.StartedMS, ClockMS: 100})
	}
	h.step(HoldDone{Worker: "dead", Address: "dead", Outcome: WrongWorker})
	h.now += 10_000
	effects = h.advance(100)
	settled := decisions(effects, "workers_settled")
	checkDetails(t, settled, "reported=3 unreported=1 dead=1 unlisted=0 departed=0 unhandled_ms=0")
	c.Check(settled[0].Reason, qt.Equals, "time")
	reasons := map[WorkerID]string{}
	for _, d := range decisions(effects, "worker_not_awaited") {
		reasons[d.Worker] = d.Reason + " " + detail(d, "known_from")
	}
	c.Assert(reasons, qt.DeepEquals, map[WorkerID]string{"silent": "no report log", "dead": "dead: other_worker log"})
}

// TestTakeoverByReports guards against a takeover by time that is logged as one by
// reports, or the reverse; and against a removed worker that no line names.
func TestTakeoverByReports(t *testing.T) {
	c := qt.New(t)
	first := newHarness(safeguards{})
	first.join(testWorker)
	first.confirmWrites(first.advance(100))
	h, effects := first.successor(testWorker, workerNamed("brief"))
	effects = append(effects, h.step(WorkersChanged{Workers: []WorkerInfo{testWorker}})...)
	effects = append(effects, h.advance(2000)...)
	removed := decisions(effects, "worker_not_awaited")
	checkDetails(t, removed, "known_from=directory listed=0")
	c.Check(string(removed[0].Worker)+" "+removed[0].Reason, qt.Equals, "brief departed")
	settled := decisions(h.report(testWorker, Report{StartedMS: 7, ClockMS: 100}), "workers_settled")
	checkDetails(t, settled, "departed=1")
	c.Check(settled[0].Reason, qt.Equals, "reports")
}

// TestNotAwaitedLinesAreBounded guards the volume of the log when a large site is
// taken over and no worker reports.
func TestNotAwaitedLinesAreBounded(t *testing.T) {
	var infos []WorkerInfo
	for i := range 60 {
		infos = append(infos, workerNamed(WorkerID(fmt.Sprintf("w%02d", i))))
	}
	h, _ := newHarness(safeguards{}).successor(infos...)
	h.now += 10_000
	effects := h.advance(100)
	qt.Assert(t, decisions(effects, "worker_not_awaited"), qt.HasLen, maxNotAwaitedLines)
	checkDetails(t, decisions(effects, "workers_settled"), "unreported=60")
}

// TestStartStatesWhyItWasAllowed guards against second starts whose cause the log
// does not show: how the takeover that allowed them ended, how many workers had
// not reported, and how the leader learned of the job. Other starts stay short.
func TestStartStatesWhyItWasAllowed(t *testing.T) {
	step := jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}
	encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "q", Steps: []jobs.Step{step}})
	qt.Assert(t, err, qt.IsNil)
	submit := func(h *harness) []Effect { return h.submit(t, "j", step) }
	record := func(h *harness) []Effect {
		_, err := h.core.stateMachine.Apply(jobs.SubmissionRecord("j", encoded))
		qt.Check(t, err, qt.IsNil)
		return h.step(RecordsRead{Jobs: []jobs.ID{"j"}})
	}
	earlyEnd := func(h *harness) []Effect {
		return h.report(testWorker, Report{StartedMS: 7, ClockMS: 90, Ended: []EndedTask{{Number: 1, Task: jobs.Task{Job: "j"}, Run: 1, Kind: EndFailed}}})
	}
	nothing := func(*harness) []Effect { return nil }
	for _, test := range []struct {
		name                 string
		first, before, after func(h *harness) []Effect
		details              string
	}{
		{"in the log", submit, nothing, nothing, "job_from=log"},
		{"submitted during the takeover", nothing, submit, nothing, "job_from=submission"},
		{"recorded by another instance", nothing, nothing, record, "job_from=record"},
		{"after an early end", nothing, earlyEnd, submit, "job_from=submission early_ends=1"},
		{"submitted after the takeover", nothing, nothing, submit, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			first := newHarness(safeguards{})
			first.join(testWorker)
			first.confirmWrites(test.first(first))
			first.confirmWrites(first.advance(100))
			h, _ := first.successor(testWorker, workerNamed("silent"))
			h.report(testWorker, Report{StartedMS: 7, ClockMS: 80})
			h.confirmWrites(test.before(h))
			h.now += 10_000
			effects := h.advance(20)
			effects = append(effects, h.report(testWorker, Report{StartedMS: 7, ClockMS: 100})...)
			effects = append(effects, test.after(h)...)
			sent := decisions(append(effects, h.advance(200)...), "start_sent")
			if test.details != "" {
				test.details += " settled_by=time unreported=1"
			}
			checkDetails(t, sent, test.details)
			qt.Assert(t, len(sent[0].Details) > 0, qt.Equals, test.details != "")
		})
	}
}

// TestEndStatesHowLongItWaited guards against ends that a busy leader handles seconds
// late although the log shows nothing unusual.
func TestEndStatesHowLongItWaited(t *testing.T) {
	h := newHarness(safeguards{})
	h.join(testWorker)
	h.confirmWrites(h.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	h.confirmWrites(h.advance(2000))
	report := Report{StartedMS: 7, ClockMS: 300, Ended: []EndedTask{{Number: 1, Task: jobs.Task{Job: "j"}, Run: 1, Kind: EndDone}}}
	ended := decisions(h.step(HoldDone{Worker: "w", ReceivedMS: h.now - 1500, Outcome: Done, Report: report}), "run_ended")
	checkDetails(t, ended, "")
	qt.Assert(t, ended[0].WaitedMS, qt.Equals, int64(1500))
}
