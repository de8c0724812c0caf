package node

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"redwingvale/internal/planner"
)

// Guards against an event loop that is behind without a trace: neither the duty
// that kept it busy nor the delay of the events behind that one could be told.
func TestLoadNamesTheBusyDuty(t *testing.T) {
	c := qt.New(t)
	n := startLoop(t, nil)
	core, logs := observer.New(zap.InfoLevel)
	n.tele.Log = zap.New(core)
	ctx := context.Background()
	const busy = 300 * time.Millisecond
	n.post(ctx, dutyReports, func() { time.Sleep(busy) })
	_, err := runInLoop(ctx, n, dutyRequests, func() bool { return true })
	c.Assert(err, qt.IsNil)
	_, err = runInLoop(ctx, n, dutyMembers, func() bool { n.reportLoad(n.now().MS); return true })
	c.Assert(err, qt.IsNil)
	lines := logs.FilterMessage("load").All()
	c.Assert(lines, qt.HasLen, 1)
	fields := fieldsOf(lines[0])
	c.Check(fields["lag_max_ms"] >= busy.Milliseconds()-1, qt.IsTrue, qt.Commentf("%v", fields))
	c.Check(fields["reports_ms"] >= busy.Milliseconds()-1, qt.IsTrue, qt.Commentf("%v", fields))
	c.Check(fields["requests_ms"] < busy.Milliseconds()/2, qt.IsTrue, qt.Commentf("%v", fields))

	// Without a delay, an instance that does not lead logs nothing.
	_, err = runInLoop(ctx, n, dutyMembers, func() bool { n.load.maxLagMS = 0; n.reportLoad(n.now().MS); return true })
	c.Assert(err, qt.IsNil)
	c.Check(logs.FilterMessage("load").Len(), qt.Equals, 1)
}

// Guards against planner events whose time is counted for the wrong duty: the
// load line would blame requests for the reports of workers.
func TestDutyOfPlannerEvents(t *testing.T) {
	for _, test := range []struct {
		event planner.Event
		want  duty
	}{
		{planner.Tick{}, dutyTick},
		{planner.HoldDone{}, dutyReports},
		{planner.StartDone{}, dutyOutcomes},
		{planner.StopDone{}, dutyOutcomes},
		{planner.PaceDone{}, dutyOutcomes},
		{planner.AdviceDone{}, dutyOutcomes},
		{planner.SubmitRequested{}, dutyRequests},
		{planner.CancelRequested{}, dutyRequests},
		{planner.WriteDone{}, dutyLog},
		{planner.RecordsRead{}, dutyLog},
		{planner.LeadershipAsOf{}, dutyMembers},
	} {
		qt.Check(t, dutyOf(test.event), qt.Equals, test.want, qt.Commentf("%T", test.event))
	}
	for _, name := range dutyNames {
		qt.Check(t, strings.TrimSpace(name), qt.Not(qt.Equals), "")
	}
}

// fieldsOf returns the numbers of a log line.
func fieldsOf(line observer.LoggedEntry) map[string]int64 {
	numbers := map[string]int64{}
	for _, f := range line.Context {
		if f.Type == zapcore.Int64Type || f.Type == zapcore.Uint64Type {
			numbers[f.Key] = f.Integer
		}
	}
	return numbers
}
