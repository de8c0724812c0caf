package node

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/gen/redwingvale/node/v1/nodev1connect"
	"redwingvale/internal/planner"
	"redwingvale/internal/ring"
)

// Limits and intervals of delegation.
const (
	// maxDelegates bounds the instances that call workers for the leader: each
	// costs the leader a request and a response per callBatchInterval.
	maxDelegates = 8
	// minDelegateShare is the smallest share of the leader's processor capacity
	// that a delegate has.
	minDelegateShare = 0.5
	// delegateSilence is the time since the last response to a heartbeat after
	// which an instance gets no calls: two rounds of the members that are no
	// standbys.
	delegateSilence = 2 * nonStandbyRounds * heartbeatInterval
	// delegatePause is how long a failed delegate gets no calls.
	delegatePause = 3 * time.Second
	// callBatchInterval is the minimum time between two batches to a delegate,
	// or from it.
	callBatchInterval = 15 * time.Millisecond
	maxCallsPerBatch  = 512
	maxStatesPerBatch = 512
	// batchTimeout limits the request that passes a batch on; its receiver only
	// queues the batch.
	batchTimeout = 400 * time.Millisecond
	// delegateQueueLimit is the age from which a queued call is no longer sent:
	// the leader may have been suspended in between.
	delegateQueueLimit = 300 * time.Millisecond
	// outcomeTimeout is how long after a call's own wait its outcome must have
	// arrived: the timeout of the call itself and two batches.
	outcomeTimeout = 1500 * time.Millisecond
	// gatherTime is how long a new leader waits for delegates before it calls
	// workers itself. Its first calls go to all workers at once.
	gatherTime = 150 * time.Millisecond
	// delegateCheckInterval is the interval at which overdue outcomes are
	// noticed.
	delegateCheckInterval = 100 * time.Millisecond
)

// delegation distributes the leader's calls to workers over other instances, so
// that the leader only plans. Each worker has one delegate at a time. The
// planner does not depend on it: a call of a failed delegate has an unknown
// outcome, and the worker's fencing token decides whether it can still have an
// effect. The event loop owns it.
//
// A delegate that is silent does not make its workers silent: they may have
// reported to it. handledMS says up to when the leader has what they reported.
type delegation struct {
	node *Node
	term *term
	// delegates holds every instance that has been a delegate in this term, by
	// peer address; active are those that get calls.
	delegates map[string]*delegate
	active    []*delegate
	// respondedMS is when each instance last responded to a heartbeat.
	respondedMS map[string]int64
	byWorker    map[planner.WorkerID]*delegate
	// reports holds the newest report of each worker.
	reports map[planner.WorkerID]*heldReport
	pending map[uint64]delegatedCall
	// givenUp holds the ids of the hold calls that have been given up and count in
	// their delegates' holds.
	givenUp   map[planner.WorkerID][]uint64
	lastID    uint64
	checkedMS int64
	startedMS int64
	// waiting holds the calls of a new leader that has no delegates yet.
	waiting []workerCall
	// addresses are the peer addresses of the active delegates.
	addresses atomic.Pointer[[]string]
	// enabled is set while there are enough workers for delegation to pay.
	enabled bool
}

// delegate is an instance that calls workers for the leader.
type delegate struct {
	name   string
	client nodev1connect.NodeServiceClient
	calls  *ring.Ring[queuedCall]
	// states are the states of jobs that it has not been sent yet.
	states *ring.Ring[planner.JobStateChanged]
	// workers is the number of workers assigned to it.
	workers int
	// failedMS is when it last failed, or 0.
	failedMS int64
	// holds is the number of hold calls whose reports it may have.
	holds int
	// handledMS is the time up to which the leader has handled all outcomes that
	// had reached the delegate; it counts while holds is not 0.
	handledMS int64
	// probing is set while a probe is pending.
	probing bool
}

// queuedCall is a call that waits for the next batch. One without a command is a
// probe: the delegate calls no worker and queues an outcome behind those that it
// has.
type queuedCall struct {
	id   uint64
	call workerCall
	// knownReport is the id of the report that the leader holds of the worker.
	knownReport uint64
}

// delegatedCall is a call whose outcome has not arrived.
type delegatedCall struct {
	workerCall
	delegate   *delegate
	deadlineMS int64
	// givenUpMS is when the outcome was reported as unknown to the planner, or 0.
	// The outcome of a hold call may still arrive.
	givenUpMS int64
	// counted is set while the call counts in its delegate's holds.
	counted bool
}

func newDelegation(n *Node, t *term) *delegation {
	return &delegation{
		node: n, term: t, startedMS: n.now().MS,
		delegates: map[string]*delegate{}, respondedMS: map[string]int64{},
		byWorker: map[planner.WorkerID]*delegate{}, reports: map[planner.WorkerID]*heldReport{},
		pending: map[uint64]delegatedCall{}, givenUp: map[planner.WorkerID][]uint64{},
	}
}

// setWorkers enables delegation for a large number of workers and releases the
// assignments of workers that have left.
func (d *delegation) setWorkers(infos []planner.WorkerInfo) {
	d.enabled = len(infos) >= d.node.config.DelegationMinWorkers
	listed := make(map[planner.WorkerID]bool, len(infos))
	for i := range infos {
		listed[infos[i].ID] = true
	}
	for id := range d.byWorker {
		if !listed[id] {
			d.release(id)
		}
	}
	for id := range d.reports {
		if !listed[id] {
			delete(d.reports, id)
		}
	}
}

// responded notes that an instance has responded to a heartbeat.
func (d *delegation) responded(peer string) {
	d.respondedMS[peer] = d.node.now().MS
	if len(d.waiting) > 0 {
		d.update(d.node.candidates(d.node.config.Instance))
	}
}

// activeAddresses returns the peer addresses of the active delegates.
func (d *delegation) activeAddresses() []string {
	if addresses := d.addresses.Load(); addresses != nil {
		return *addresses
	}
	return nil
}

// gathering reports whether calls wait for the first delegates.
func (d *delegation) gathering() bool {
	return d.enabled && len(d.active) < maxDelegates && d.node.now().MS-d.startedMS < milliseconds(gatherTime)
}

// flushWaiting makes the calls that have waited for delegates.
func (d *delegation) flushWaiting() {
	if len(d.waiting) == 0 || d.gathering() {
		return
	}
	d.logActive()
	waiting := d.waiting
	d.waiting = nil
	for _, call := range waiting {
		d.node.dispatch(d.term, call)
	}
}

// update chooses the delegates: the strongest members that respond to
// heartbeats. members is sorted by strength.
func (d *delegation) update(members []candidate) {
	now := d.node.now().MS
	var active []*delegate
	for _, m := range members {
		if len(active) == maxDelegates || !d.enabled {
			break
		}
		responded, ok := d.respondedMS[m.Peer]
		if !ok || now-responded > milliseconds(delegateSilence) || float64(m.MilliCPU) < minDelegateShare*float64(d.node.config.milliCPU()) {
			continue
		}
		if g := d.delegateAt(m); g.failedMS == 0 || now-g.failedMS > milliseconds(delegatePause) {
			active = append(active, g)
		}
	}
	slices.SortFunc(active, func(a, b *delegate) int { return cmp.Compare(a.name, b.name) })
	d.setActive(active)
}

// setActive replaces the delegates that get calls. If they have changed, the
// workers are distributed again.
func (d *delegation) setActive(active []*delegate) {
	if slices.Equal(d.active, active) {
		return
	}
	d.active = active
	addresses := make([]string, 0, len(active))
	for address, g := range d.delegates {
		if slices.Contains(active, g) {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	d.addresses.Store(&addresses)
	for id := range d.byWorker {
		d.release(id)
	}
	if len(d.waiting) == 0 {
		d.logActive()
	}
}

func (d *delegation) logActive() {
	d.node.log("delegates_changed", zap.Uint64("epoch", d.term.epoch), zap.Int("delegates", len(d.active)))
}

func (d *delegation) delegateAt(m candidate) *delegate {
	g := d.delegates[m.Peer]
	if g == nil {
		g = &delegate{name: m.name, client: d.node.peerClient(m.Peer), calls: ring.New[queuedCall](ringSize), states: ring.New[planner.JobStateChanged](ringSize)}
		d.delegates[m.Peer] = g
		go d.sendCalls(g)
	}
	return g
}

func (d *delegation) release(id planner.WorkerID) {
	if g := d.byWorker[id]; g != nil {
		g.workers--
		delete(d.byWorker, id)
	}
}

// delegateOf returns the delegate of a worker. A worker without one gets the
// delegate with the fewest workers.
func (d *delegation) delegateOf(id planner.WorkerID) *delegate {
	if g := d.byWorker[id]; g != nil {
		return g
	}
	if len(d.active) == 0 {
		return nil
	}
	g := slices.MinFunc(d.active, func(a, b *delegate) int { return cmp.Compare(a.workers, b.workers) })
	g.workers++
	d.byWorker[id] = g
	return g
}

// offer passes a call to the worker's delegate. It returns false if the leader
// has to make the call itself.
func (d *delegation) offer(call workerCall) bool {
	if d.gathering() {
		d.waiting = append(d.waiting, call)
		return true
	}
	g := d.delegateOf(call.worker())
	if g == nil {
		return false
	}
	return d.queue(g, call)
}

// queue adds a call to a delegate's next batch. It returns false if there are too
// many.
func (d *delegation) queue(g *delegate, call workerCall) bool {
	known := uint64(0)
	if held := d.reports[call.worker()]; held != nil {
		known = held.id
	}
	d.lastID++
	if !g.calls.Offer(queuedCall{d.lastID, call, known}) {
		return false
	}
	pending := delegatedCall{workerCall: call, delegate: g, deadlineMS: call.sentMS + milliseconds(outcomeTimeout)}
	if hold, ok := call.command.(planner.Hold); ok {
		pending.deadlineMS += hold.WaitMS
		pending.counted = true
		if g.holds == 0 {
			// Before this call the delegate had none to report.
			g.handledMS = max(g.handledMS, call.sentMS)
		}
		g.holds++
	}
	d.pending[d.lastID] = pending
	return true
}

// outcomeArrived handles an outcome that a delegate has sent. A report that is a
// difference to one that the leader does not hold counts as none: a run that is
// missing from a report counts as no longer running.
func (d *delegation) outcomeArrived(m *nodev1.CallOutcome, receivedMS int64) {
	outcome, valid := decodeOutcome(m)
	call, ok := d.pending[m.GetId()]
	if !ok || !valid {
		return
	}
	hold, isHold := call.command.(planner.Hold)
	switch {
	case call.command == nil:
		d.take(m.GetId())
		d.node.load.probed(receivedMS - call.sentMS)
		call.delegate.handledMS = max(call.delegate.handledMS, call.sentMS-milliseconds(postMargin))
		return
	case !isHold, outcome != planner.Done:
		d.complete(m.GetId(), outcome, planner.Report{}, receivedMS)
		return
	case m.GetReport() == nil:
		d.complete(m.GetId(), planner.OutcomeUnknown, planner.Report{}, receivedMS)
		return
	}
	held := d.reports[hold.Worker]
	if held == nil {
		held = &heldReport{}
		d.reports[hold.Worker] = held
	}
	if call.givenUpMS > 0 && held.id > m.GetId() {
		// The report of a later call has replaced this one.
		d.take(m.GetId())
		return
	}
	report, ok := held.decode(m.GetId(), m.GetReport())
	if !ok {
		d.node.stats.reportsUnusable.Inc(1)
		delete(d.reports, hold.Worker)
		outcome, report = planner.OutcomeUnknown, planner.Report{}
	}
	d.complete(m.GetId(), outcome, report, receivedMS)
}

// complete reports the outcome of a call, which arrived at the given time, to the
// planner. If the call has been given up, only a report is of use.
func (d *delegation) complete(id uint64, outcome planner.Outcome, report planner.Report, receivedMS int64) {
	call, ok := d.take(id)
	if !ok {
		return
	}
	d.called(call.workerCall)
	if call.givenUpMS == 0 {
		d.node.countCall(call.workerCall, outcome)
		d.node.step(call.done(outcome, report, receivedMS))
	} else if outcome == planner.Done {
		late := call.done(outcome, report, receivedMS).(planner.HoldDone)
		late.Late = true
		d.node.step(late)
	}
}

// fail takes a delegate out of use. The outcomes of its calls are unknown.
func (d *delegation) fail(g *delegate, reason string) {
	if !slices.Contains(d.active, g) {
		return
	}
	g.failedMS = d.node.now().MS
	d.setActive(slices.DeleteFunc(slices.Clone(d.active), func(other *delegate) bool { return other == g }))
	var lost []uint64
	for id, call := range d.pending {
		if call.delegate == g && call.givenUpMS == 0 {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	d.node.stats.delegatesFailed.Inc(1)
	d.node.log("delegate_failed", zap.Uint64("epoch", d.term.epoch), zap.String("delegate", g.name), zap.String("reason", reason), zap.Int("calls", len(lost)))
	for _, id := range lost {
		d.giveUp(id)
	}
}

// tick makes the calls that no longer wait for delegates, and fails the
// delegates whose outcomes are overdue.
func (d *delegation) tick() {
	d.flushWaiting()
	now := d.node.now().MS
	if now-d.checkedMS < milliseconds(delegateCheckInterval) {
		return
	}
	d.checkedMS = now
	// An outcome may wait here.
	handled := cmp.Or(d.node.loopHandledMS(), now)
	for id, call := range d.pending {
		switch {
		case handled <= call.deadlineMS:
		case call.givenUpMS > 0:
			d.take(id)
		case slices.Contains(d.active, call.delegate):
			d.node.load.probed(now - call.sentMS)
			d.fail(call.delegate, "outcome overdue")
		default:
			d.giveUp(id)
		}
	}
	d.probe(now)
}
