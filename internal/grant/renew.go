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
	if acc.leaving || len(l.entries) == 0 {
		return amount{}
	}
	u := acc.use(h)
	others := l.heldByEntries(now, acc).sub(u.bound(now))
	available := amountOf(acc.capacity.Sub(acc.reserved)).sub(others)
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
