package grant

import (
	"slices"
	"time"

	"redwingvale/internal/invariant"
	"redwingvale/internal/spec"
)

// Ledger is the slot ledger of one group's owner. It is not safe for
// concurrent use.
type Ledger struct {
	opts    Options
	workers map[spec.WorkerID]*account
	// workerIDs holds the workers sorted by id.
	workerIDs []spec.WorkerID
	entries   []spec.InstanceID
	// lastRequests holds the last request of each entry.
	lastRequests map[spec.InstanceID]lastRequest
	unreported   unreportedEntries
}

type lastRequest struct {
	incarnation spec.Incarnation
	sequence    uint64
}

// unreportedEntries are the entries for which a new owner reserves slots,
// because they may hold grants of the old owner and have not reported yet.
type unreportedEntries struct {
	until   time.Duration
	entries map[spec.InstanceID]bool
	divisor int64
}

// NewLedger returns a ledger without workers.
func NewLedger(opts Options) *Ledger {
	return &Ledger{
		opts:         opts,
		workers:      make(map[spec.WorkerID]*account),
		lastRequests: make(map[spec.InstanceID]lastRequest),
	}
}

// SetWorker adds or updates a worker. A leaving worker gets no grants. A
// worker that is added while slots are reserved for unreported entries stays
// unused until the reservation ends, because earlier reports did not cover
// it.
func (l *Ledger) SetWorker(worker spec.Worker, leaving bool) {
	acc, ok := l.workers[worker.ID]
	if !ok {
		acc = newAccount(worker.ID)
		acc.availableFrom = l.unreported.until
		l.workers[worker.ID] = acc
		at, _ := slices.BinarySearch(l.workerIDs, worker.ID)
		l.workerIDs = slices.Insert(l.workerIDs, at, worker.ID)
	}
	acc.capacity = worker.Capacity
	acc.leaving = leaving
}

// Idle reports whether nothing is allocated on a worker.
func (l *Ledger) Idle(now time.Duration, id spec.WorkerID) bool {
	acc, ok := l.workers[id]
	return !ok || len(acc.tasks) == 0 && l.heldByEntries(now, acc) == (amount{})
}

// RemoveWorker removes a worker and everything that is allocated on it.
func (l *Ledger) RemoveWorker(id spec.WorkerID) {
	if _, ok := l.workers[id]; !ok {
		return
	}
	delete(l.workers, id)
	at, _ := slices.BinarySearch(l.workerIDs, id)
	l.workerIDs = slices.Delete(l.workerIDs, at, at+1)
}

// SetEntries replaces the active entry instances.
func (l *Ledger) SetEntries(entries []spec.InstanceID) {
	l.entries = append(l.entries[:0:0], entries...)
	slices.Sort(l.entries)
}

// TakeOver reserves up to entryCap of each worker for each entry until the
// entry reports, at most until oldLeaseEnd plus the urgent limit. It must be
// called after SetEntries and after the running tasks were restored with
// Restore. departed lists entries that are no longer active but may still
// use old grants.
func (l *Ledger) TakeOver(oldLeaseEnd time.Duration, departed []spec.InstanceID) {
	entries := make(map[spec.InstanceID]bool, len(l.entries))
	for _, entry := range l.entries {
		entries[entry] = true
	}
	for _, entry := range departed {
		entries[entry] = true
	}
	if l.opts.noTakeoverReserve {
		entries = nil
	}
	l.unreported = unreportedEntries{
		until:   oldLeaseEnd + l.withClockDrift(l.opts.UrgentLimit),
		entries: entries,
		divisor: max(int64(len(l.entries))-1, 1),
	}
	for _, id := range l.workerIDs {
		acc := l.workers[id]
		acc.freeAtTakeover = acc.capacity.Sub(acc.reserved)
	}
}

// Reserve reserves a task's resources on a worker. It reports whether they
// were free and reserves nothing otherwise.
func (l *Ledger) Reserve(now time.Duration, task spec.TaskID, id spec.WorkerID, need spec.Resources) bool {
	acc, ok := l.workers[id]
	if !ok || acc.leaving {
		return false
	}
	if _, reserved := acc.tasks[task]; reserved {
		return false
	}
	if !need.NonNegative() || !need.Fits(l.free(now, acc)) {
		return false
	}
	acc.addReservation(task, need)
	l.checkReservation(now, acc, "reserve")
	return true
}

// Restore reserves the resources of a task that is already running according
// to the log.
func (l *Ledger) Restore(task spec.TaskID, id spec.WorkerID, need spec.Resources) {
	acc, ok := l.workers[id]
	if !ok {
		return
	}
	if _, reserved := acc.tasks[task]; !reserved {
		acc.addReservation(task, need)
	}
}

// Release ends a task's reservation.
func (l *Ledger) Release(task spec.TaskID, id spec.WorkerID) {
	acc, ok := l.workers[id]
	if !ok {
		return
	}
	need, reserved := acc.tasks[task]
	if !reserved {
		return
	}
	delete(acc.tasks, task)
	acc.reserved = acc.reserved.Sub(need)
	invariant.Check(acc.reserved.NonNegative(), invariant.InternalConsistency,
		"worker %s has negative reservations %+v", id, acc.reserved)
}

// Reserved returns the sum of the reservations on a worker.
func (l *Ledger) Reserved(id spec.WorkerID) spec.Resources {
	if acc, ok := l.workers[id]; ok {
		return acc.reserved
	}
	return spec.Resources{}
}

// Workers returns the workers sorted by id.
func (l *Ledger) Workers() []spec.WorkerID { return l.workerIDs }

// free returns what neither tasks nor entries hold on a worker.
func (l *Ledger) free(now time.Duration, acc *account) spec.Resources {
	if now < acc.availableFrom {
		return spec.Resources{}
	}
	held := l.heldByEntries(now, acc)
	return acc.capacity.Sub(acc.reserved).Sub(held.resources())
}

// heldByEntries returns an upper bound of what all entries together may be
// using on a worker.
func (l *Ledger) heldByEntries(now time.Duration, acc *account) amount {
	sum := l.reservedForUnreported(now, acc)
	for _, u := range acc.usages {
		sum = sum.add(u.maxInUse(now))
	}
	return sum
}

// reservedForUnreported returns what unreported entries may hold from the
// old owner, which granted no more than the tasks had left free.
func (l *Ledger) reservedForUnreported(now time.Duration, acc *account) amount {
	count := int64(len(l.unreported.entries))
	if count == 0 || now >= l.unreported.until {
		return amount{}
	}
	each := entryCap(acc.capacity, l.unreported.divisor)
	reserved := each.scale(count)
	freeOfOldOwner := amountOf(acc.freeAtTakeover).sub(acc.reportedFromOldOwner)
	return reserved.min(freeOfOldOwner).max(amount{})
}

// withClockDrift lengthens a duration that another process measures, so that
// it ends there before it ends here.
func (l *Ledger) withClockDrift(d time.Duration) time.Duration {
	return d + time.Duration(int64(d)/1_000_000*l.opts.ClockRatePPM) + time.Microsecond
}

// checkReservation asserts P1 after a reservation on a worker.
func (l *Ledger) checkReservation(now time.Duration, acc *account, operation string) {
	free := l.free(now, acc)
	if free.NonNegative() {
		return
	}
	invariant.Check(false, invariant.NeverOvercommitted,
		"%s on worker %s leaves %+v free", operation, acc.worker, free)
}
