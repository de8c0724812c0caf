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

// perEntry is the most that one of n entries gets of a worker: its share of
// the slots rounded up and of the connections rounded down.
func perEntry(capacity spec.Resources, n int64) amount {
	n = max(n, 1)
	return amount{
		slots:       (capacity.Slots + n - 1) / n,
		connections: capacity.Connections / n,
	}
}

// account is the book of one worker.
type account struct {
	worker   spec.WorkerID
	capacity spec.Resources
	leaving  bool
	// closedUntil is when the worker may first be used.
	closedUntil time.Duration
	tasks       map[spec.TaskID]spec.Resources
	reserved    spec.Resources
	// uses is sorted by holder.
	uses []*use
	// oldFree is what the tasks left free at the takeover, and heardFromOld
	// what the entries that reported since then held at that time.
	oldFree      spec.Resources
	heardFromOld amount
}

func newAccount(id spec.WorkerID) *account {
	return &account{worker: id, tasks: make(map[spec.TaskID]spec.Resources)}
}

func (a *account) book(task spec.TaskID, need spec.Resources) {
	a.tasks[task] = need
	a.reserved = a.reserved.Add(need)
}

// use returns the book of a holder on the worker, new if there is none.
func (a *account) use(h holder) *use {
	at := sort.Search(len(a.uses), func(i int) bool { return !a.uses[i].holder.less(h) })
	if at < len(a.uses) && a.uses[at].holder == h {
		return a.uses[at]
	}
	u := &use{holder: h, turn: turn(a.worker, h)}
	a.uses = append(a.uses, nil)
	copy(a.uses[at+1:], a.uses[at:])
	a.uses[at] = u
	return u
}

// dropIdle removes the books of holders that hold and want nothing.
func (a *account) dropIdle(now time.Duration) {
	kept := a.uses[:0]
	for _, u := range a.uses {
		if u.bound(now) != (amount{}) || now < u.wantUntil {
			kept = append(kept, u)
		}
	}
	for i := len(kept); i < len(a.uses); i++ {
		a.uses[i] = nil
	}
	a.uses = kept
}

// holder is one run of an entry process. What an earlier run held stays
// booked until it must have ended.
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

// use is what one holder may be using on one worker.
type use struct {
	holder holder
	// turn orders the holders of the worker when slots are shared.
	turn uint64
	// reported is the larger of what the last report states to be in use and
	// what its sender could still start, until reportedUntil.
	reported      amount
	reportedUntil time.Duration
	// lots are the grants given since the last report.
	lots      []lot
	want      int64
	wantUntil time.Duration
}

// lot is a grant. Its requests may run until the time until.
type lot struct {
	amount amount
	until  time.Duration
}

// bound is the most that the holder can be using at now.
func (u *use) bound(now time.Duration) amount {
	var most amount
	if now < u.reportedUntil {
		most = u.reported
	}
	for _, g := range u.lots {
		if now < g.until {
			most = most.max(g.amount)
		}
	}
	return most
}

// addLot books a grant and drops those that it covers or that have ended.
func (u *use) addLot(now time.Duration, added lot) {
	kept := u.lots[:0]
	for _, g := range u.lots {
		covered := g.until <= added.until && g.amount.max(added.amount) == added.amount
		if now < g.until && !covered {
			kept = append(kept, g)
		}
	}
	u.lots = append(kept, added)
}
