package grant

import (
	"sort"
	"time"

	"redwingvale/internal/spec"
)

// amount counts slots and connections, the two dimensions that entries use.
type amount struct{ slots, connections int64 }

func amountOf(r spec.Resources) amount {
	return amount{slots: r.Slots, connections: r.Connections}
}

func (a amount) add(b amount) amount {
	return amount{a.slots + b.slots, a.connections + b.connections}
}

func (a amount) sub(b amount) amount {
	return amount{a.slots - b.slots, a.connections - b.connections}
}

func (a amount) scale(n int64) amount { return amount{a.slots * n, a.connections * n} }

func (a amount) min(b amount) amount {
	return amount{min(a.slots, b.slots), min(a.connections, b.connections)}
}

func (a amount) max(b amount) amount {
	return amount{max(a.slots, b.slots), max(a.connections, b.connections)}
}

func (a amount) resources() spec.Resources {
	return spec.Resources{Slots: a.slots, Connections: a.connections}
}

// entryCap returns the most that one of n entries may hold of a worker: its
// share of the slots rounded up, and of the connections rounded down.
func entryCap(capacity spec.Resources, n int64) amount {
	n = max(n, 1)
	return amount{
		slots:       (capacity.Slots + n - 1) / n,
		connections: capacity.Connections / n,
	}
}

// account holds the reservations and grants of one worker.
type account struct {
	worker   spec.WorkerID
	capacity spec.Resources
	leaving  bool
	// availableFrom is the time from which the worker may be used.
	availableFrom time.Duration
	tasks         map[spec.TaskID]spec.Resources
	reserved      spec.Resources
	// usages is sorted by holder.
	usages []*usage
	// freeAtTakeover is what the tasks left free at the takeover.
	// reportedFromOldOwner is what the entries that have reported since then
	// held at that time.
	freeAtTakeover       spec.Resources
	reportedFromOldOwner amount
}

func newAccount(id spec.WorkerID) *account {
	return &account{worker: id, tasks: make(map[spec.TaskID]spec.Resources)}
}

func (a *account) addReservation(task spec.TaskID, need spec.Resources) {
	a.tasks[task] = need
	a.reserved = a.reserved.Add(need)
}

// usageOf returns the usage of a holder on the worker, creating it if there
// is none.
func (a *account) usageOf(h holder) *usage {
	at := sort.Search(len(a.usages), func(i int) bool { return !a.usages[i].holder.less(h) })
	if at < len(a.usages) && a.usages[at].holder == h {
		return a.usages[at]
	}
	u := &usage{holder: h, shareOrder: shareOrderOf(a.worker, h)}
	a.usages = append(a.usages, nil)
	copy(a.usages[at+1:], a.usages[at:])
	a.usages[at] = u
	return u
}

// dropIdle removes the usages of holders that hold and want nothing.
func (a *account) dropIdle(now time.Duration) {
	kept := a.usages[:0]
	for _, u := range a.usages {
		if u.maxInUse(now) != (amount{}) || now < u.wantUntil {
			kept = append(kept, u)
		}
	}
	for i := len(kept); i < len(a.usages); i++ {
		a.usages[i] = nil
	}
	a.usages = kept
}

// holder is one incarnation of an entry process. What an earlier incarnation
// held stays allocated until it must have ended.
type holder struct {
	entry       spec.InstanceID
	incarnation spec.Incarnation
}

func (h holder) less(o holder) bool {
	if h.entry != o.entry {
		return h.entry < o.entry
	}
	return h.incarnation < o.incarnation
}

// usage bounds what one holder may be using on one worker.
type usage struct {
	holder holder
	// shareOrder orders the holders of the worker when slots are shared.
	shareOrder uint64
	// reported is valid until reportedUntil. It is the larger of what the
	// last report states as in use and what its sender could still start.
	reported      amount
	reportedUntil time.Duration
	// grants are the grants given since the last report.
	grants    []outstandingGrant
	want      int64
	wantUntil time.Duration
}

// outstandingGrant is a grant whose requests may run until the time until.
type outstandingGrant struct {
	amount amount
	until  time.Duration
}

// maxInUse returns the most that the holder can be using at now.
func (u *usage) maxInUse(now time.Duration) amount {
	var bound amount
	if now < u.reportedUntil {
		bound = u.reported
	}
	for _, g := range u.grants {
		if now < g.until {
			bound = bound.max(g.amount)
		}
	}
	return bound
}

// addGrant records a grant and drops the grants that it covers or that have
// ended.
func (u *usage) addGrant(now time.Duration, added outstandingGrant) {
	kept := u.grants[:0]
	for _, g := range u.grants {
		covered := g.until <= added.until && g.amount.max(added.amount) == added.amount
		if now < g.until && !covered {
			kept = append(kept, g)
		}
	}
	u.grants = append(kept, added)
}
