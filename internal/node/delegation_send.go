package node

import (
	"context"
	"slices"

	"connectrpc.com/connect"

	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/planner"
	"redwingvale/internal/ring"
)

// sendCalls sends the calls of a delegate in batches until the term ends.
func (d *delegation) sendCalls(g *delegate) {
	t := d.term
	for {
		var batch []queuedCall
		var states []planner.JobStateChanged
		select {
		case <-t.ctx.Done():
			return
		case first := <-g.calls.Receive():
			batch = append(batch, first)
		case first := <-g.states.Receive():
			states = append(states, first)
		}
		batch = drainInto(batch, g.calls, maxCallsPerBatch)
		states = drainInto(states, g.states, maxStatesPerBatch)
		d.sendBatch(g, batch, states)
		pause(t.ctx, callBatchInterval)
	}
}

// publish passes a job's state on to the delegates, which answer callers' looks at
// it. A delegate whose ring is full learns of it from the log.
func (d *delegation) publish(change planner.JobStateChanged) {
	for _, g := range d.active {
		g.states.Offer(change)
	}
}

// sendBatch passes calls and states to a delegate and handles its response.
func (d *delegation) sendBatch(g *delegate, batch []queuedCall, states []planner.JobStateChanged) {
	n, t := d.node, d.term
	request := &nodev1.CallWorkersRequest{Epoch: t.epoch, PeerAddress: n.config.advertisedPeerAddr()}
	oldestMS := n.now().MS - milliseconds(delegateQueueLimit)
	for _, q := range batch {
		if q.call.sentMS < oldestMS {
			// The leader was suspended, or the delegate is slow.
			d.post(func() { d.failBatch(g, batch, "calls too old") })
			return
		}
		request.Calls = append(request.Calls, encodeCall(q.id, q.call.command, q.knownReport))
	}
	for _, s := range states {
		request.States = append(request.States, &nodev1.JobState{Id: string(s.Job), State: string(s.State)})
	}
	ctx, cancel := context.WithTimeout(t.ctx, batchTimeout)
	defer cancel()
	response, err := g.client.CallWorkers(ctx, connect.NewRequest(request))
	switch {
	case err != nil:
		d.post(func() { d.failBatch(g, batch, err.Error()) })
	case response.Msg.GetEpoch() > t.epoch:
		d.post(func() { n.resign("a delegate reported a newer leader") })
	case !response.Msg.GetAccepted():
		d.post(func() { d.reroute(g, batch) })
	}
}

// post runs fn in the event loop unless the term is over.
func (d *delegation) post(fn func()) {
	d.node.post(d.term.ctx, dutyMembers, func() {
		if d.node.term == d.term {
			fn()
		}
	})
}

// failBatch fails a delegate that has not confirmed a batch.
func (d *delegation) failBatch(g *delegate, batch []queuedCall, reason string) {
	d.fail(g, reason)
	for _, q := range batch {
		d.giveUp(q.id)
	}
}

// reroute takes a delegate that has declined a batch out of use and passes its
// calls on. The outcomes of its earlier calls still arrive.
func (d *delegation) reroute(g *delegate, batch []queuedCall) {
	g.failedMS = d.node.now().MS
	d.setActive(slices.DeleteFunc(slices.Clone(d.active), func(other *delegate) bool { return other == g }))
	for _, q := range batch {
		call, ok := d.take(q.id)
		if ok && call.command != nil && call.givenUpMS == 0 {
			d.node.dispatch(d.term, workerCall{command: q.call.command, sentMS: d.node.now().MS})
		}
	}
}

// drainInto appends the queued items of a ring to a batch, up to a total of max
// items.
func drainInto[T any](batch []T, r *ring.Ring[T], max int) []T {
	for len(batch) < max {
		select {
		case item := <-r.Receive():
			batch = append(batch, item)
		default:
			return batch
		}
	}
	return batch
}
