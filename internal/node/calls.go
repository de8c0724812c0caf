package node

import (
	"time"

	"go.uber.org/zap"

	"redwingvale/internal/planner"
	"redwingvale/internal/telemetry"
)

// carryOut does what the planner wants; answers come back as events. It runs
// in the loop and does not block.
func (n *Node) carryOut(t *term, effect planner.Effect) {
	switch e := effect.(type) {
	case planner.Hold:
		go n.callHold(t, e)
	case planner.Start:
		go n.callStart(t, e)
	case planner.Stop:
		go n.callStop(t, e)
	case planner.Pace:
		go n.callPace(t, e)
	case planner.Advise:
		go func() { n.event(t, n.deps.Adviser.Advise(t.ctx, e)) }()
	case planner.Write:
		// One write is outstanding at a time, so the ring has room.
		t.writes.Offer(e)
	case planner.Reply:
		n.reply(e)
	case planner.Deposed:
		n.log("fenced_by_worker", zap.String("worker", string(e.Worker)), zap.Uint64("epoch", t.epoch))
		go n.recheck(t)
	case planner.NotRecorded:
		n.stats.notRecorded.Inc(1)
		n.tele.Log.Error("record_not_recorded", zap.Uint64("epoch", t.epoch), zap.String("key", e.Key), zap.Int("bytes", e.Bytes), zap.String("reason", e.Reason))
	case planner.Decision:
		n.logDecision(t, e)
	}
}

func (n *Node) callHold(t *term, e planner.Hold) {
	n.stats.looks.Inc(1)
	sent := n.now().MS
	report, outcome := n.deps.Workers.Hold(t.ctx, e)
	n.stats.call(outcome)
	n.event(t, planner.HoldDone{Worker: e.Worker, Address: e.Address, Token: e.Token, SentMS: sent, Outcome: outcome, Report: report})
}

func (n *Node) callStart(t *term, e planner.Start) {
	n.stats.starts.Inc(1)
	begun := time.Now()
	outcome := n.deps.Workers.Start(t.ctx, e)
	n.stats.call(outcome)
	n.stats.start.RecordDuration(time.Since(begun))
	n.event(t, planner.StartDone{Worker: e.Worker, Address: e.Address, Task: e.Task, Run: e.Run, Token: e.Token, Outcome: outcome})
}

func (n *Node) callStop(t *term, e planner.Stop) {
	n.stats.stops.Inc(1)
	outcome := n.deps.Workers.Stop(t.ctx, e)
	n.stats.call(outcome)
	n.event(t, planner.StopDone{Worker: e.Worker, Address: e.Address, Task: e.Task, Run: e.Run, Outcome: outcome})
}

func (n *Node) callPace(t *term, e planner.Pace) {
	outcome := n.deps.Workers.Pace(t.ctx, e)
	n.stats.call(outcome)
	n.event(t, planner.PaceDone{Worker: e.Worker, Task: e.Task, Run: e.Run, Percent: e.Percent, Outcome: outcome})
}

// recheck reads the log until it is known whether another instance has
// claimed; then this one steps down, or goes on with its orders.
func (n *Node) recheck(t *term) {
	t.doubtMS.CompareAndSwap(0, n.now().MS)
	for t.ctx.Err() == nil {
		_, err := n.catchUp(t.ctx)
		if err == nil {
			t.doubtMS.Store(0)
			n.event(t, planner.LeadershipConfirmed{})
			return
		}
		n.tele.Log.Warn("recheck_failed", telemetry.ErrorFields(err)...)
		pause(t.ctx, retryPause)
	}
}

func (n *Node) logDecision(t *term, d planner.Decision) {
	fields := make([]zap.Field, 0, 8)
	fields = append(fields, zap.Uint64("epoch", t.epoch))
	if d.Job != "" {
		fields = append(fields, zap.String("job", string(d.Job)))
	}
	if d.Task != "" {
		fields = append(fields, zap.String("task", d.Task), zap.Int("run", d.Run))
	}
	if d.Worker != "" {
		fields = append(fields, zap.String("worker", string(d.Worker)))
	}
	if d.Reason != "" {
		fields = append(fields, zap.String("reason", d.Reason))
	}
	if d.AgeMS != 0 {
		fields = append(fields, zap.Int64("age_ms", d.AgeMS))
	}
	n.tele.Log.Info(d.Event, fields...)
}
