package grant

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingvale/internal/invariant"
	"redwingvale/internal/spec"
)

// share is the holder's fair part of a worker: wants are served one slot at a
// time in turn, each at most up to grant_cap, until nothing is left. The turn
// starts at another entry on each worker.
func (l *Ledger) share(now time.Duration, acc *account, u *use) amount {
	most := perEntry(acc.capacity, int64(len(l.entries)))
	asking, pool := l.asking(now, acc, most)
	got := make([]int64, len(asking))
	mine := int64(0)
	for served := true; served && pool > 0; {
		served = false
		for i, a := range asking {
			if pool == 0 || got[i] >= min(a.want, most.slots) {
				continue
			}
			got[i]++
			pool--
			served = true
			if a == u {
				mine++
			}
		}
	}
	connections := perEntry(acc.capacity.Sub(acc.reserved), int64(len(l.entries))).connections
	return amount{slots: mine, connections: connections}
}

// asking lists the holders that want slots, in the order of their turn, and
// the slots to share among them.
func (l *Ledger) asking(now time.Duration, acc *account, most amount) ([]*use, int64) {
	pool := acc.capacity.Slots - acc.reserved.Slots - l.keptForUnheard(now, acc).slots
	var out []*use
	for _, u := range acc.uses {
		if l.current(u.holder) && now < u.wantUntil && u.want > 0 {
			out = append(out, u)
			continue
		}
		pool -= u.bound(now).slots
	}
	sort.SliceStable(out, func(i, j int) bool {
		return out[i].turn < out[j].turn
	})
	return out, pool
}

// current reports whether the holder is the newest run of its entry.
func (l *Ledger) current(h holder) bool {
	return l.seen[h.entry].incarnation == h.incarnation
}

func turn(worker spec.WorkerID, h holder) uint64 {
	return xxhash.Sum64String(string(worker) + "\x00" + string(h.entry))
}

// Granted is what urgent work holds or wants of a worker, in slots and
// connections. Nothing else is to be placed there.
func (l *Ledger) Granted(now time.Duration, id spec.WorkerID) spec.Resources {
	acc, ok := l.workers[id]
	if !ok {
		return spec.Resources{}
	}
	held := l.heldByEntries(now, acc)
	wanted := min(l.wanted(now, acc), acc.capacity.Slots)
	return held.max(amount{slots: wanted}).resources()
}

// Pressure lists the workers on which tasks hold slots that urgent work wants,
// in the order of their ids.
func (l *Ledger) Pressure(now time.Duration) []Pressure {
	var out []Pressure
	for _, id := range l.order {
		acc := l.workers[id]
		missing := l.wanted(now, acc) - (acc.capacity.Slots - acc.reserved.Slots)
		missing = min(missing, acc.reserved.Slots)
		if missing > 0 && !acc.leaving {
			out = append(out, Pressure{Worker: id, Need: spec.Resources{Slots: missing}})
		}
	}
	return out
}

// wanted is the sum of what the entries want, each at most up to grant_cap.
func (l *Ledger) wanted(now time.Duration, acc *account) int64 {
	most := perEntry(acc.capacity, int64(len(l.entries)))
	var sum int64
	for _, u := range acc.uses {
		if now < u.wantUntil && l.current(u.holder) {
			sum += min(u.want, most.slots)
		}
	}
	return sum
}

// checkGiven asserts P1 after a grant. What an entry has reported on its own
// may exceed the capacity, for example after the capacity was lowered; a grant
// may not.
func (l *Ledger) checkGiven(now time.Duration, acc *account, u *use, given amount) {
	others := l.heldByEntries(now, acc).sub(u.bound(now))
	total := acc.reserved.Add(others.add(given).resources())
	if total.Slots <= acc.capacity.Slots && total.Connections <= acc.capacity.Connections {
		return
	}
	invariant.Check(false, invariant.NeverOvercommitted,
		"grant of %+v to %s on worker %s: %+v of %+v", given, u.holder.entry, acc.worker, total, acc.capacity)
}
