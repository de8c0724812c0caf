package node

import (
	"slices"

	"redwingvale/internal/planner"
)

// take removes a call from those that are pending; ok is false if it is not.
func (d *delegation) take(id uint64) (call delegatedCall, ok bool) {
	call, ok = d.pending[id]
	if !ok {
		return call, false
	}
	delete(d.pending, id)
	if call.command == nil {
		call.delegate.probing = false
	}
	if call.counted {
		call.delegate.holds--
	}
	if call.counted && call.givenUpMS > 0 {
		worker := call.worker()
		d.givenUp[worker] = slices.DeleteFunc(d.givenUp[worker], func(other uint64) bool { return other == id })
		if len(d.givenUp[worker]) == 0 {
			delete(d.givenUp, worker)
		}
	}
	return call, true
}

// handledMS returns the time up to which the leader has handled what workers have
// reported to delegates, or 0 if no report can wait there.
func (d *delegation) handledMS() int64 {
	oldest := int64(0)
	for _, g := range d.delegates {
		if g.holds > 0 && (oldest == 0 || g.handledMS < oldest) {
			oldest = g.handledMS
		}
	}
	return oldest
}

// probe asks each delegate that may have reports for a sign that it has passed on
// those that it had.
func (d *delegation) probe(nowMS int64) {
	for _, g := range d.active {
		if g.holds > 0 && !g.probing {
			g.probing = d.queue(g, workerCall{sentMS: nowMS})
		}
	}
}

// called notes that the outcome of a call is known, wherever it was made. Nothing
// waits any longer for earlier hold calls of the worker that had been given up when
// it was made: what the worker could report, this call would have returned.
func (d *delegation) called(call workerCall) {
	if _, ok := call.command.(planner.Hold); !ok || len(d.givenUp[call.worker()]) == 0 {
		return
	}
	left := slices.DeleteFunc(d.givenUp[call.worker()], func(id uint64) bool {
		earlier := d.pending[id]
		if earlier.givenUpMS > call.sentMS {
			return false
		}
		earlier.counted = false
		earlier.delegate.holds--
		d.pending[id] = earlier
		return true
	})
	if d.givenUp[call.worker()] = left; len(left) == 0 {
		delete(d.givenUp, call.worker())
	}
}

// giveUp reports the outcome of a call as unknown. The report of a hold call is
// still of use when it arrives within the time of a lease. Until then it counts as
// one that waits at the delegate, unless a later call of the worker has ended.
func (d *delegation) giveUp(id uint64) {
	call, ok := d.pending[id]
	if !ok || call.givenUpMS > 0 {
		return
	}
	switch call.command.(type) {
	case nil:
		d.take(id)
		return
	case planner.Hold:
		call.givenUpMS = d.node.now().MS
		call.deadlineMS = call.givenUpMS + d.node.config.LeaseMS
		d.pending[id] = call
		d.givenUp[call.worker()] = append(d.givenUp[call.worker()], id)
	default:
		d.take(id)
	}
	d.node.countCall(call.workerCall, planner.OutcomeUnknown)
	d.node.step(call.done(planner.OutcomeUnknown, planner.Report{}, 0))
}
