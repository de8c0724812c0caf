package planner

// incarnation is what the leader has learned from the calls to a worker's present
// incarnation. A restart replaces it as a whole. What outlives a restart, as the token
// and the runs until a report shows which of them are lost, stands in worker.
type incarnation struct {
	startedMS int64
	// knownMS is when the incarnation reported first.
	knownMS int64
	// confirmed is the highest token of a hold call that returned a report:
	// calls with a lower token can no longer be carried out.
	confirmed uint64
	// processedEnd is the number of the last end that was processed, ackableEnd
	// that of the last one that may be acknowledged.
	processedEnd, ackableEnd int64
	ackDelay                 ackDelay
	clockMS                  int64
	clockReadMS              int64
	// leaseEndMS is the latest lease end sent, on the worker's clock.
	leaseEndMS int64
	// inheritedLeaseEndMS is the latest possible end of a lease that a
	// predecessor, or a call from before a restart, has obtained, on the worker's
	// clock.
	inheritedLeaseEndMS int64
	orphans             []orphan
	// noRoomUntilMS is the end of the pause after the worker rejected a task
	// for lack of room.
	noRoomUntilMS int64
	health        health
	interference  interferenceState
}

func newIncarnation() incarnation {
	return incarnation{health: health{relativeSpeed: 1}}
}

// entry is what the directory says of a worker, with the times that follow from it. An
// entry of another incarnation replaces it as a whole.
type entry struct {
	info WorkerInfo
	// coldUntilMS is until when the worker is cold.
	coldUntilMS int64
	drain       drainState
}

// update takes over the directory's present entry and reports whether it is the first
// one that says that the incarnation drains.
func (e *entry) update(info WorkerInfo, nowMS int64) (beginsDrain bool) {
	if info.StartedMS != e.info.StartedMS {
		*e = entry{}
	}
	if info.Draining && !e.info.Draining {
		e.drain, beginsDrain = drainState{sinceMS: nowMS}, true
	}
	if info.Draining && info.RemainingMS != e.info.RemainingMS {
		e.drain.departureMS = nowMS + info.RemainingMS
	}
	if info.ColdRemainingMS != e.info.ColdRemainingMS {
		e.coldUntilMS = nowMS + info.ColdRemainingMS
	}
	e.info = info
	return beginsDrain
}

// entryCurrent reports whether the directory's entry is that of the incarnation that has
// reported. Reports and entries are read apart, and either may be ahead. Labels, service
// and capacity are known from the entry only, and an incarnation may differ from the
// former one in each of them, so that nothing is known of it without its entry.
func (w *worker) entryCurrent() bool { return w.startedMS == w.info.StartedMS }
