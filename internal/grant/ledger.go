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
	// order holds the workers sorted by id.
	order   []spec.WorkerID
	entries []spec.InstanceID
	// seen is the last request of each entry.
	seen    map[spec.InstanceID]lastRequest
	unheard unheard
}

type lastRequest struct {
	incarnation spec.Incarnation
	sequence    uint64
}

// unheard is what a new owner keeps for entries that have not reported yet.
type unheard struct {
	until   time.Duration
	entries map[spec.InstanceID]bool
	divisor int64
}

// NewLedger returns a ledger without workers.
func NewLedger(opts Options) *Ledger {
	return &Ledger{
		opts:    opts,
		workers: make(map[spec.WorkerID]*account),
		seen:    make(map[spec.InstanceID]lastRequest),
	}
}

// SetWorker adds a worker or changes it. A leaving worker gets no grants. A
// worker that is added while things are kept for unheard entries stays
// unused until then, since earlier reports said nothing about it.
func (l *Ledger) SetWorker(worker spec.Worker, leaving bool) {
	acc, ok := l.workers[worker.ID]
	if !ok {
		acc = newAccount(worker.ID)
		acc.closedUntil = l.unheard.until
		l.workers[worker.ID] = acc
		at, _ := slices.BinarySearch(l.order, worker.ID)
		l.order = slices.Insert(l.order, at, worker.ID)
	}
	acc.capacity = worker.Capacity
	acc.leaving = leaving
}

// Idle reports whether nothing is booked on a worker.
func (l *Ledger) Idle(now time.Duration, id spec.WorkerID) bool {
	acc, ok := l.workers[id]
	return !ok || len(acc.tasks) == 0 && l.heldByEntries(now, acc) == (amount{})
}

// RemoveWorker forgets a worker and everything that is booked on it.
func (l *Ledger) RemoveWorker(id spec.WorkerID) {
	if _, ok := l.workers[id]; !ok {
		return
	}
	delete(l.workers, id)
	at, _ := slices.BinarySearch(l.order, id)
	l.order = slices.Delete(l.order, at, at+1)
}

// SetEntries replaces the active entry instances.
func (l *Ledger) SetEntries(entries []spec.InstanceID) {
	l.entries = append(l.entries[:0:0], entries...)
	slices.Sort(l.entries)
}

// TakeOver keeps grant_cap slots of each worker for each entry until it
// reports, at most until oldRightEnd plus the urgent limit. It is called after
// SetEntries and after the running tasks were restored with Restore. departed
// names entries that are no longer active and may still use old grants.
func (l *Ledger) TakeOver(oldRightEnd time.Duration, departed []spec.InstanceID) {
	entries := make(map[spec.InstanceID]bool, len(l.entries))
	for _, entry := range l.entries {
		entries[entry] = true
	}
	for _, entry := range departed {
		entries[entry] = true
	}
	if l.opts.noReserve {
		entries = nil
	}
	l.unheard = unheard{
		until:   oldRightEnd + l.guarded(l.opts.UrgentLimit),
		entries: entries,
		divisor: max(int64(len(l.entries))-1, 1),
	}
	for _, id := range l.order {
		acc := l.workers[id]
		acc.oldFree = acc.capacity.Sub(acc.reserved)
	}
}

// Reserve books a task's resources on a worker and reports whether they were
// free. Nothing is booked when they were not.
func (l *Ledger) Reserve(now time.Duration, task spec.TaskID, id spec.WorkerID, need spec.Resources) bool {
	acc, ok := l.workers[id]
	if !ok || acc.leaving {
		return false
	}
	if _, booked := acc.tasks[task]; booked {
		return false
	}
	if !need.NonNegative() || !need.Fits(l.free(now, acc)) {
		return false
	}
	acc.book(task, need)
	l.checkWorker(now, acc, "reserve")
	return true
}

// Restore books a task that already runs, as the log states it.
func (l *Ledger) Restore(task spec.TaskID, id spec.WorkerID, need spec.Resources) {
	acc, ok := l.workers[id]
	if !ok {
		return
	}
	if _, booked := acc.tasks[task]; !booked {
		acc.book(task, need)
	}
}

// Free ends a task's reservation.
func (l *Ledger) Free(task spec.TaskID, id spec.WorkerID) {
	acc, ok := l.workers[id]
	if !ok {
		return
	}
	need, booked := acc.tasks[task]
	if !booked {
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

// Workers returns the workers in the order of their ids.
func (l *Ledger) Workers() []spec.WorkerID { return l.order }

// free is what neither tasks nor entries hold on a worker.
func (l *Ledger) free(now time.Duration, acc *account) spec.Resources {
	if now < acc.closedUntil {
		return spec.Resources{}
	}
	held := l.heldByEntries(now, acc)
	return acc.capacity.Sub(acc.reserved).Sub(held.resources())
}

// heldByEntries bounds what all entries together may be using on a worker.
func (l *Ledger) heldByEntries(now time.Duration, acc *account) amount {
	sum := l.keptForUnheard(now, acc)
	for _, u := range acc.uses {
		sum = sum.add(u.bound(now))
	}
	return sum
}

// keptForUnheard is what unreported entries may hold from the old owner. The
// old owner gave no more than the tasks had left free.
func (l *Ledger) keptForUnheard(now time.Duration, acc *account) amount {
	count := int64(len(l.unheard.entries))
	if count == 0 || now >= l.unheard.until {
		return amount{}
	}
	each := perEntry(acc.capacity, l.unheard.divisor)
	kept := each.scale(count)
	left := amountOf(acc.oldFree).sub(acc.heardFromOld)
	return kept.min(left).max(amount{})
}

// guarded lengthens a duration that another process counts, so that it ends
// there before it ends here.
func (l *Ledger) guarded(d time.Duration) time.Duration {
	return d + time.Duration(int64(d)/1_000_000*l.opts.ClockRatePPM) + time.Microsecond
}

// checkWorker asserts P1 after something was promised on a worker.
func (l *Ledger) checkWorker(now time.Duration, acc *account, what string) {
	free := l.free(now, acc)
	if free.NonNegative() {
		return
	}
	invariant.Check(false, invariant.NeverOvercommitted,
		"%s on worker %s leaves %+v free", what, acc.worker, free)
}
