package node

import (
	"context"

	"redwingvale/internal/planner"
)

// workerCall is a call to a worker that the planner has requested.
type workerCall struct {
	// command is a planner.Hold, Start, Stop or Pace.
	command planner.Effect
	// sentMS is when the planner requested the call.
	sentMS int64
}

// worker returns the worker that the call is for.
func (c workerCall) worker() planner.WorkerID {
	switch e := c.command.(type) {
	case planner.Hold:
		return e.Worker
	case planner.Start:
		return e.Worker
	case planner.Stop:
		return e.Worker
	case planner.Pace:
		return e.Worker
	}
	return ""
}

// done returns the event that reports the call's outcome, which arrived at the
// given time, to the planner.
func (c workerCall) done(outcome planner.Outcome, report planner.Report, receivedMS int64) planner.Event {
	switch e := c.command.(type) {
	case planner.Hold:
		return planner.HoldDone{Worker: e.Worker, Address: e.Address, Token: e.Token, SentMS: c.sentMS, ReceivedMS: receivedMS, Outcome: outcome, Report: report}
	case planner.Start:
		return planner.StartDone{Worker: e.Worker, Address: e.Address, Task: e.Task, Run: e.Run, Token: e.Token, Outcome: outcome}
	case planner.Stop:
		return planner.StopDone{Worker: e.Worker, Address: e.Address, Task: e.Task, Run: e.Run, Outcome: outcome}
	case planner.Pace:
		return planner.PaceDone{Worker: e.Worker, Task: e.Task, Run: e.Run, Token: e.Token, Percent: e.Percent, Outcome: outcome}
	}
	return planner.Tick{}
}

// makeCall calls the worker and waits for the outcome.
func makeCall(ctx context.Context, workers Workers, command planner.Effect) (planner.Outcome, planner.Report) {
	switch e := command.(type) {
	case planner.Hold:
		report, outcome := workers.Hold(ctx, e)
		return outcome, report
	case planner.Start:
		return workers.Start(ctx, e), planner.Report{}
	case planner.Stop:
		return workers.Stop(ctx, e), planner.Report{}
	case planner.Pace:
		return workers.Pace(ctx, e), planner.Report{}
	}
	return planner.Invalid, planner.Report{}
}

// callWorker makes the call that the planner has requested. It runs in the event
// loop.
func (n *Node) callWorker(t *term, command planner.Effect) {
	call := workerCall{command: command, sentMS: n.stepTime.MS}
	switch command.(type) {
	case planner.Hold:
		n.stats.holds.Inc(1)
	case planner.Start:
		n.stats.starts.Inc(1)
	case planner.Stop:
		n.stats.stops.Inc(1)
	}
	n.dispatch(t, call)
}

// dispatch passes a call to a delegate, or makes it in a goroutine. A start in a
// data centre that is being evacuated is declined. It runs in the event loop.
func (n *Node) dispatch(t *term, call workerCall) {
	declined := n.declines(call.command)
	if !declined && t.delegation.offer(call) {
		return
	}
	go func() {
		outcome, report := planner.Evacuated, planner.Report{}
		if !declined {
			outcome, report = makeCall(t.ctx, n.deps.Workers, call.command)
		}
		n.countCall(call, outcome)
		done := call.done(outcome, report, n.now().MS)
		n.post(t.ctx, dutyOf(done), func() {
			if n.term == t {
				t.delegation.called(call)
				n.step(done)
			}
		})
	}()
}

// countCall records a finished call in the metrics.
func (n *Node) countCall(call workerCall, outcome planner.Outcome) {
	n.stats.countCall(outcome)
	if _, ok := call.command.(planner.Start); ok {
		n.stats.startTime.RecordDuration(millisecondsDuration(n.now().MS - call.sentMS))
	}
}
