package node

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/gen/redwingvale/node/v1/nodev1connect"
	"redwingvale/internal/planner"
	"redwingvale/internal/ring"
	"redwingvale/internal/telemetry"
)

const (
	// resumeQuarantine is how long after a suspension an instance declines calls:
	// they may have waited in its connections meanwhile.
	resumeQuarantine = time.Second
	// outcomeLimit is how long the outcome of a call is sent again: by then the
	// leader has given the call up, and any lease that it renewed is over.
	outcomeLimit = 10 * time.Second
	// outcomeRingSize bounds the outcomes that wait to be sent.
	outcomeRingSize = 4096
)

// delegatedTerm is the part of a leader's term in which this instance calls
// workers for it.
type delegatedTerm struct {
	epoch    uint64
	leader   string
	ctx      context.Context
	stop     context.CancelFunc
	outcomes *ring.Ring[queuedOutcome]
	// reports are the last reports of the workers.
	reports *reportBases
	// mirror holds the states of jobs that the leader has passed on. The event
	// loop owns it.
	mirror *stateMirror
}

// queuedOutcome is an outcome that the leader has not confirmed.
type queuedOutcome struct {
	outcome  *nodev1.CallOutcome
	queuedMS int64
}

// CallWorkers makes calls to workers for the leader.
func (s *peerServer) CallWorkers(ctx context.Context, r *connect.Request[nodev1.CallWorkersRequest]) (*connect.Response[nodev1.CallWorkersResponse], error) {
	type result struct {
		term  *delegatedTerm
		epoch uint64
	}
	n, m := s.n, r.Msg
	got, err := runInLoop(ctx, n, dutyReports, func() result {
		t, epoch := n.delegatedTermOf(m.GetEpoch(), m.GetPeerAddress())
		if t != nil {
			t.mirror.update(n.now().MS, m.GetStates())
		}
		return result{t, epoch}
	})
	if err != nil {
		return nil, err
	}
	response := &nodev1.CallWorkersResponse{Epoch: got.epoch, Accepted: got.term != nil}
	if got.term != nil {
		for _, call := range m.GetCalls() {
			go n.makeDelegatedCall(got.term, call)
		}
	}
	return connect.NewResponse(response), nil
}

// delegatedTermOf returns the delegated term of an epoch, or nil if this
// instance does not make calls for it, and the highest epoch that it knows. The
// calls of an earlier epoch are abandoned. It runs in the event loop.
func (n *Node) delegatedTermOf(epoch uint64, leader string) (*delegatedTerm, uint64) {
	highest := max(epoch, n.claim.Epoch, n.lastHeartbeat.epoch)
	if n.delegated != nil {
		highest = max(highest, n.delegated.epoch)
	}
	if epoch < highest || n.term != nil || n.stopping.Load() || n.runCtx == nil ||
		n.resumedMS > 0 && n.now().MS-n.resumedMS < milliseconds(resumeQuarantine) {
		return nil, highest
	}
	if n.delegated == nil || n.delegated.epoch < epoch {
		if n.delegated != nil {
			n.delegated.stop()
		}
		ctx, stop := context.WithCancel(n.runCtx)
		n.delegated = &delegatedTerm{epoch: epoch, leader: leader, ctx: ctx, stop: stop, outcomes: ring.New[queuedOutcome](outcomeRingSize), reports: newReportBases(), mirror: newStateMirror(n.now().MS)}
		n.log("delegation_begins", zap.Uint64("epoch", epoch), zap.String("leader", leader))
		go n.reportOutcomes(n.delegated)
	}
	return n.delegated, highest
}

// makeDelegatedCall makes one call for the leader and queues its outcome.
func (n *Node) makeDelegatedCall(t *delegatedTerm, call *nodev1.WorkerCall) {
	outcome, report := planner.Invalid, planner.Report{}
	command, ok := decodeCall(call)
	switch {
	case !ok:
	case n.declines(command):
		outcome = planner.Evacuated
	default:
		outcome, report = makeCall(t.ctx, n.deps.Workers, command)
	}
	n.stats.delegatedCalls.Inc(1)
	if hold := call.GetHold(); hold != nil && outcome == planner.Done {
		base := t.reports.of(planner.WorkerID(call.GetWorker()), n.now().MS)
		base.mu.Lock()
		defer base.mu.Unlock()
		encoded := encodeOutcome(call.GetId(), outcome)
		encoded.Report = base.encode(call.GetId(), hold.GetKnownReport(), report)
		n.queueOutcome(t, encoded)
		return
	}
	n.queueOutcome(t, encodeOutcome(call.GetId(), outcome))
}

// queueOutcome queues an outcome for the leader. It waits while the ring is full,
// and drops the outcome once the term is over.
func (n *Node) queueOutcome(t *delegatedTerm, o *nodev1.CallOutcome) {
	_ = t.outcomes.Put(t.ctx, queuedOutcome{o, n.now().MS})
}

// reportOutcomes sends the outcomes of calls to the leader in batches until the
// delegated term ends. It keeps their order: the leader takes each as a sign that
// it has those that were queued before.
func (n *Node) reportOutcomes(t *delegatedTerm) {
	client := n.peerClient(t.leader)
	for {
		var batch []queuedOutcome
		select {
		case <-t.ctx.Done():
			return
		case first := <-t.outcomes.Receive():
			batch = drainInto([]queuedOutcome{first}, t.outcomes, maxCallsPerBatch)
		}
		for len(batch) > 0 && !n.sendOutcomes(t, client, batch) {
			pause(t.ctx, retryPause)
			if t.ctx.Err() != nil {
				return
			}
			oldestMS := n.now().MS - milliseconds(outcomeLimit)
			batch = slices.DeleteFunc(batch, func(o queuedOutcome) bool { return o.queuedMS < oldestMS })
		}
		pause(t.ctx, callBatchInterval)
	}
}

// sendOutcomes sends a batch of outcomes and reports whether the leader has
// confirmed it.
func (n *Node) sendOutcomes(t *delegatedTerm, client nodev1connect.NodeServiceClient, batch []queuedOutcome) bool {
	request := &nodev1.ReportCallsRequest{Epoch: t.epoch}
	for _, o := range batch {
		request.Outcomes = append(request.Outcomes, o.outcome)
	}
	ctx, cancel := context.WithTimeout(t.ctx, batchTimeout)
	defer cancel()
	_, err := client.ReportCalls(ctx, connect.NewRequest(request))
	if err != nil && t.ctx.Err() == nil {
		n.tele.Log.Warn("outcomes_not_reported", append(telemetry.ErrorFields(err), zap.Uint64("epoch", t.epoch), zap.Int("calls", len(batch)))...)
	}
	if err == nil {
		n.load.reported(n.now().MS - batch[0].queuedMS)
	}
	return err == nil
}

// ReportCalls passes the outcomes of delegated calls to the planner.
func (s *peerServer) ReportCalls(ctx context.Context, r *connect.Request[nodev1.ReportCallsRequest]) (*connect.Response[nodev1.ReportCallsResponse], error) {
	n, m := s.n, r.Msg
	receivedMS := n.now().MS
	n.post(ctx, dutyReports, func() {
		for _, o := range m.GetOutcomes() {
			if n.term == nil || n.term.epoch != m.GetEpoch() {
				return
			}
			n.term.delegation.outcomeArrived(o, receivedMS)
		}
	})
	return connect.NewResponse(&nodev1.ReportCallsResponse{}), nil
}
