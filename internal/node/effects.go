package node

import (
	"go.uber.org/zap"

	"redwingvale/internal/planner"
	"redwingvale/internal/telemetry"
)

// execute carries out an effect that the planner returned; results come back to
// the planner as events. It runs in the event loop and does not block.
func (n *Node) execute(t *term, effect planner.Effect) {
	switch e := effect.(type) {
	case planner.Hold, planner.Start, planner.Stop, planner.Pace:
		n.callWorker(t, effect)
	case planner.Advise:
		go func() {
			done := n.deps.Adviser.Advise(t.ctx, e)
			done.ReceivedMS = n.now().MS
			n.postEvent(t, done)
		}()
	case planner.Write:
		// At most one write is outstanding, so the ring has room.
		t.writes.Offer(e)
	case planner.JobStateChanged:
		t.delegation.publish(e)
	case planner.Reply:
		n.deliverReply(e)
	case planner.Deposed:
		n.log("fenced_by_worker", zap.String("worker", string(e.Worker)), zap.Uint64("epoch", t.epoch))
		go n.confirmLeadership(t)
	case planner.NotRecorded:
		n.stats.notRecorded.Inc(1)
		n.tele.Log.Error("record_not_recorded", zap.Uint64("epoch", t.epoch), zap.String("key", e.Key), zap.Int("bytes", e.Bytes), zap.String("reason", e.Reason))
	case planner.Decision:
		n.logDecision(t, e)
	}
}

// confirmLeadership reads the log until a read succeeds. If it holds a newer
// claim, this instance resigns; otherwise the planner resumes its commands.
func (n *Node) confirmLeadership(t *term) {
	t.unconfirmedSinceMS.CompareAndSwap(0, n.now().MS)
	for t.ctx.Err() == nil {
		_, err := n.catchUp(t.ctx)
		if err == nil {
			t.unconfirmedSinceMS.Store(0)
			n.postEvent(t, planner.LeadershipConfirmed{})
			return
		}
		n.tele.Log.Warn("recheck_failed", telemetry.ErrorFields(err)...)
		pause(t.ctx, retryPause)
	}
}

func (n *Node) logDecision(t *term, d planner.Decision) {
	switch d.Event {
	case "run_ended":
		n.stats.endWait.RecordDuration(millisecondsDuration(d.WaitedMS))
	case "run_twice":
		n.stats.runsTwice.Inc(1)
	case "stop_sent":
		if d.Reason == planner.EvacuationReason {
			n.stats.evacuationMoves.Inc(1)
		}
	}
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
	if d.WaitedMS != 0 {
		fields = append(fields, zap.Int64("waited_ms", d.WaitedMS))
	}
	for _, detail := range d.Details {
		if detail.Text != "" {
			fields = append(fields, zap.String(detail.Name, detail.Text))
		} else {
			fields = append(fields, zap.Int64(detail.Name, detail.Number))
		}
	}
	if d.Warn {
		n.tele.Log.Warn(d.Event, fields...)
		return
	}
	n.tele.Log.Info(d.Event, fields...)
}
