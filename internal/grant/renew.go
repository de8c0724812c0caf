package grant

import (
	"time"

	"redwingvale/internal/spec"

	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// Renew applies an entry's report and returns its grants, sorted by worker
// id. A grant is valid for Options.GrantDuration from now, but not beyond
// the end of the ownership lease. A worker that the request does not list
// counts as unused and not wanted.
//
// After a takeover, a report that may be older than the ownership lease gets
// grants of 0 slots, which state the epoch; the next request repeats that
// epoch and is accepted. An entry process that started less than
// GrantDuration plus UrgentLimit ago gets no slots until the reservation for
// unreported entries ends.
//
// The caller must follow two rules. The sequence increases with each request
// of one incarnation, and the grants of a response are used only while no
// later request that covers the same worker was sent. A request that is
// older than one already received gets nothing. A request without a sequence
// frees nothing before earlier grants have ended and the urgent limit has
// passed.
func (l *Ledger) Renew(now time.Duration, lease OwnershipLease, req *schedv1.RenewGrantsRequest) []*schedv1.Grant {
	h := holder{
		entry:       spec.InstanceID(req.GetEntry()),
		incarnation: spec.Incarnation(req.GetEntryIncarnation()),
	}
	if now >= lease.Until || !l.acceptSequence(h, req.GetSequence()) {
		return nil
	}
	if l.needsNewReport(now, h, lease, req) {
		return l.requestNewReport(now, lease, h, req)
	}
	l.applyReport(now, h, req)
	valid := min(l.opts.GrantDuration, lease.Until-now)
	validMS := valid.Milliseconds()
	if validMS <= 0 {
		return nil
	}
	var out []*schedv1.Grant
	for _, id := range l.workerIDs {
		granted := l.grantShare(now, valid, l.workers[id], h)
		if granted.slots == 0 {
			continue
		}
		out = append(out, &schedv1.Grant{
			Worker:      string(id),
			Epoch:       uint64(lease.Epoch),
			Slots:       uint32(granted.slots),
			Connections: uint32(granted.connections),
			ValidMs:     uint32(validMS),
		})
	}
	return out
}

// acceptSequence reports whether a request is newer than all earlier ones of
// the entry, and records it if so.
func (l *Ledger) acceptSequence(h holder, sequence uint64) bool {
	last := l.lastRequests[h.entry]
	if h.incarnation < last.incarnation {
		return false
	}
	sameIncarnation := h.incarnation == last.incarnation
	if sameIncarnation && sequence <= last.sequence && sequence != 0 && !l.opts.acceptStaleReports {
		return false
	}
	if sameIncarnation {
		sequence = max(sequence, last.sequence)
	}
	l.lastRequests[h.entry] = lastRequest{incarnation: h.incarnation, sequence: sequence}
	return true
}

// applyReport records what the entry reports for every worker of the group.
func (l *Ledger) applyReport(now time.Duration, h holder, req *schedv1.RenewGrantsRequest) {
	holdings := make(map[spec.WorkerID]*schedv1.Holding, len(req.GetHoldings()))
	for _, holding := range req.GetHoldings() {
		holdings[spec.WorkerID(holding.GetWorker())] = holding
	}
	for _, id := range l.workerIDs {
		l.applyHolding(now, l.workers[id], h, holdings[id], req)
	}
	delete(l.unreported.entries, h.entry)
}

// needsNewReport reports whether the request does not establish what the
// entry holds from the old owner: it may have been sent before the old
// owner's last grant, or requests of the entry's previous incarnation may
// still run on targets.
func (l *Ledger) needsNewReport(now time.Duration, h holder, lease OwnershipLease, req *schedv1.RenewGrantsRequest) bool {
	if !l.unreported.entries[h.entry] || now >= l.unreported.until || l.opts.acceptStaleReports {
		return false
	}
	running := time.Duration(req.GetRunningMs()) * time.Millisecond
	if running <= l.withClockDrift(l.opts.GrantDuration+l.opts.UrgentLimit) {
		return true
	}
	for _, holding := range req.GetHoldings() {
		known := l.workers[spec.WorkerID(holding.GetWorker())] != nil
		if known && holding.GetEpoch() == uint64(lease.Epoch) {
			return false
		}
	}
	return true
}

// requestNewReport records what the entry wants and returns grants of 0
// slots, which state the epoch.
func (l *Ledger) requestNewReport(now time.Duration, lease OwnershipLease, h holder, req *schedv1.RenewGrantsRequest) []*schedv1.Grant {
	for _, holding := range req.GetHoldings() {
		acc := l.workers[spec.WorkerID(holding.GetWorker())]
		if acc == nil {
			continue
		}
		u := acc.usageOf(h)
		u.want = int64(holding.GetWant())
		u.wantUntil = now + 2*l.opts.GrantDuration
	}
	out := make([]*schedv1.Grant, 0, len(l.workerIDs))
	for _, id := range l.workerIDs {
		out = append(out, &schedv1.Grant{Worker: string(id), Epoch: uint64(lease.Epoch)})
	}
	return out
}

func (l *Ledger) applyHolding(now time.Duration, acc *account, h holder, holding *schedv1.Holding, req *schedv1.RenewGrantsRequest) {
	u := acc.usageOf(h)
	inUse := amount{slots: int64(holding.GetInUse()), connections: int64(holding.GetConnections())}
	held := amount{slots: int64(holding.GetHeldSlots()), connections: int64(holding.GetHeldConnections())}
	bound := inUse.max(held)
	until := now + l.withClockDrift(l.opts.GrantDuration+l.opts.UrgentLimit)
	if l.unreported.entries[h.entry] {
		acc.reportedFromOldOwner = acc.reportedFromOldOwner.add(bound)
	}
	if req.GetSequence() != 0 || l.opts.acceptStaleReports {
		u.grants = u.grants[:0]
		u.reported = bound
		u.reportedUntil = until
	} else {
		u.addGrant(now, outstandingGrant{amount: bound, until: until})
	}
	u.want = max(int64(holding.GetWant()), inUse.slots)
	if req.GetDraining() {
		u.want = 0
	}
	u.wantUntil = now + 2*l.opts.GrantDuration
	acc.dropIdle(now)
}

// grantShare grants the holder its share of a worker and records the grant.
func (l *Ledger) grantShare(now, valid time.Duration, acc *account, h holder) amount {
	if acc.leaving || now < acc.availableFrom || len(l.entries) == 0 {
		return amount{}
	}
	u := acc.usageOf(h)
	others := l.heldByEntries(now, acc).sub(u.maxInUse(now))
	available := amountOf(acc.capacity.Sub(acc.reserved)).sub(others)
	available = available.min(l.capWithoutPredecessors(now, acc, h))
	granted := l.fairShare(now, acc, u).min(available).max(amount{})
	if l.opts.unboundedGrants {
		granted = l.fairShare(now, acc, u)
	}
	granted.slots = min(granted.slots, granted.connections)
	if granted.slots == 0 {
		return amount{}
	}
	end := now + valid
	u.addGrant(now, outstandingGrant{amount: granted, until: end + l.withClockDrift(l.opts.UrgentLimit)})
	if !l.opts.unboundedGrants {
		l.checkGrant(now, acc, u, granted)
	}
	return granted
}

// capWithoutPredecessors returns entryCap less what earlier incarnations of
// the entry may still be using: one entry never holds more than a new owner
// would reserve for it.
func (l *Ledger) capWithoutPredecessors(now time.Duration, acc *account, h holder) amount {
	remaining := entryCap(acc.capacity, int64(len(l.entries)))
	for _, u := range acc.usages {
		if u.holder.entry == h.entry && u.holder != h {
			remaining = remaining.sub(u.maxInUse(now))
		}
	}
	return remaining
}
