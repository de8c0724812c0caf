package grant

import (
	"time"

	"redwingvale/internal/spec"

	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// Renew takes an entry's report in and returns its grants, in the order of
// the workers' ids. A grant lasts Options.Valid from now, at most until the
// owner's right ends. A worker that the request does not name counts as
// unused and unwanted.
//
// After a takeover, a report that may be older than the owner's right is
// answered with grants of 0 slots, which tell the epoch; the next request
// states that epoch and is believed. An entry process that started less than
// Valid plus UrgentLimit ago gets nothing until the kept slots are free.
//
// The caller must keep two rules. The sequence grows with each request of one
// incarnation, and the grants of an answer are used only while no later
// request that covers the same worker was sent. A request that is older than
// one already seen gets nothing. A request without a sequence frees nothing
// before the ends of earlier grants plus the urgent limit.
func (l *Ledger) Renew(now time.Duration, right Right, req *schedv1.RenewGrantsRequest) []*schedv1.Grant {
	h := holder{
		entry:       spec.InstanceID(req.GetEntry()),
		incarnation: spec.Incarnation(req.GetEntryIncarnation()),
	}
	if now >= right.Until || !l.acceptOrder(h, req.GetSequence()) {
		return nil
	}
	if l.unproven(now, h, right, req) {
		return l.askAgain(now, right, h, req)
	}
	l.takeReport(now, h, req)
	valid := min(l.opts.Valid, right.Until-now)
	validMS := valid.Milliseconds()
	if validMS <= 0 {
		return nil
	}
	var out []*schedv1.Grant
	for _, id := range l.order {
		given := l.give(now, valid, l.workers[id], h)
		if given.slots == 0 {
			continue
		}
		out = append(out, &schedv1.Grant{
			Worker:      string(id),
			Epoch:       uint64(right.Epoch),
			Slots:       uint32(given.slots),
			Connections: uint32(given.connections),
			ValidMs:     uint32(validMS),
		})
	}
	return out
}

// acceptOrder reports whether a request is newer than all that were seen from
// the entry.
func (l *Ledger) acceptOrder(h holder, sequence uint64) bool {
	last := l.seen[h.entry]
	if h.incarnation < last.incarnation {
		return false
	}
	sameRun := h.incarnation == last.incarnation
	if sameRun && sequence <= last.sequence && sequence != 0 && !l.opts.trustOldReports {
		return false
	}
	if sameRun {
		sequence = max(sequence, last.sequence)
	}
	l.seen[h.entry] = lastRequest{incarnation: h.incarnation, sequence: sequence}
	return true
}

// takeReport books what the entry states for every worker of the group.
func (l *Ledger) takeReport(now time.Duration, h holder, req *schedv1.RenewGrantsRequest) {
	stated := make(map[spec.WorkerID]*schedv1.Holding, len(req.GetHoldings()))
	for _, holding := range req.GetHoldings() {
		stated[spec.WorkerID(holding.GetWorker())] = holding
	}
	for _, id := range l.order {
		l.takeHolding(now, l.workers[id], h, stated[id], req)
	}
	delete(l.unheard.entries, h.entry)
}

// unproven reports whether the request says too little about what the entry
// holds from the old owner: it may have been sent before the old owner's last
// grant, or requests of the entry's predecessor may still run on targets.
func (l *Ledger) unproven(now time.Duration, h holder, right Right, req *schedv1.RenewGrantsRequest) bool {
	if !l.unheard.entries[h.entry] || now >= l.unheard.until || l.opts.trustOldReports {
		return false
	}
	running := time.Duration(req.GetRunningMs()) * time.Millisecond
	if running <= l.guarded(l.opts.Valid+l.opts.UrgentLimit) {
		return true
	}
	for _, holding := range req.GetHoldings() {
		known := l.workers[spec.WorkerID(holding.GetWorker())] != nil
		if known && holding.GetEpoch() == uint64(right.Epoch) {
			return false
		}
	}
	return true
}

// askAgain books what the entry wants and tells it the epoch.
func (l *Ledger) askAgain(now time.Duration, right Right, h holder, req *schedv1.RenewGrantsRequest) []*schedv1.Grant {
	for _, holding := range req.GetHoldings() {
		acc := l.workers[spec.WorkerID(holding.GetWorker())]
		if acc == nil {
			continue
		}
		u := acc.use(h)
		u.want = int64(holding.GetWant())
		u.wantUntil = now + 2*l.opts.Valid
	}
	out := make([]*schedv1.Grant, 0, len(l.order))
	for _, id := range l.order {
		out = append(out, &schedv1.Grant{Worker: string(id), Epoch: uint64(right.Epoch)})
	}
	return out
}

func (l *Ledger) takeHolding(now time.Duration, acc *account, h holder, stated *schedv1.Holding, req *schedv1.RenewGrantsRequest) {
	u := acc.use(h)
	inUse := amount{slots: int64(stated.GetInUse()), connections: int64(stated.GetConnections())}
	held := amount{slots: int64(stated.GetHeldSlots()), connections: int64(stated.GetHeldConnections())}
	most := inUse.max(held)
	until := now + l.guarded(l.opts.Valid+l.opts.UrgentLimit)
	if l.unheard.entries[h.entry] {
		acc.heardFromOld = acc.heardFromOld.add(most)
	}
	if req.GetSequence() != 0 || l.opts.trustOldReports {
		u.lots = u.lots[:0]
		u.reported = most
		u.reportedUntil = until
	} else {
		u.addLot(now, lot{amount: most, until: until})
	}
	u.want = max(int64(stated.GetWant()), inUse.slots)
	if req.GetDraining() {
		u.want = 0
	}
	u.wantUntil = now + 2*l.opts.Valid
	acc.dropIdle(now)
}

// give grants the holder its share of a worker and books the grant.
func (l *Ledger) give(now, valid time.Duration, acc *account, h holder) amount {
	if acc.leaving || now < acc.closedUntil || len(l.entries) == 0 {
		return amount{}
	}
	u := acc.use(h)
	others := l.heldByEntries(now, acc).sub(u.bound(now))
	available := amountOf(acc.capacity.Sub(acc.reserved)).sub(others)
	available = available.min(l.leftByPredecessors(now, acc, h))
	given := l.share(now, acc, u).min(available).max(amount{})
	if l.opts.noBound {
		given = l.share(now, acc, u)
	}
	given.slots = min(given.slots, given.connections)
	if given.slots == 0 {
		return amount{}
	}
	end := now + valid
	u.addLot(now, lot{amount: given, until: end + l.guarded(l.opts.UrgentLimit)})
	if !l.opts.noBound {
		l.checkGiven(now, acc, u, given)
	}
	return given
}

// leftByPredecessors is the most that one entry gets of a worker, less what
// earlier runs of the entry may still be using: one entry never holds more
// than a new owner would keep for it.
func (l *Ledger) leftByPredecessors(now time.Duration, acc *account, h holder) amount {
	left := perEntry(acc.capacity, int64(len(l.entries)))
	for _, u := range acc.uses {
		if u.holder.entry == h.entry && u.holder != h {
			left = left.sub(u.bound(now))
		}
	}
	return left
}
