package grant

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingvale/internal/invariant"
	"redwingvale/internal/spec"
)

// fairShare returns the holder's fair share of a worker. Slots are assigned
// round-robin, one at a time and at most entryCap to each holder, until no
// slot is left or all wants are met. The round starts at another entry on
// each worker.
func (l *Ledger) fairShare(now time.Duration, acc *account, u *usage) amount {
	entryLimit := entryCap(acc.capacity, int64(len(l.entries)))
	contenders, pool := l.contenders(now, acc, entryLimit)
	shares := make([]int64, len(contenders))
	own := int64(0)
	for served := true; served && pool > 0; {
		served = false
		for i, a := range contenders {
			if pool == 0 || shares[i] >= min(a.want, entryLimit.slots) {
				continue
			}
			shares[i]++
			pool--
			served = true
			if a == u {
				own++
			}
		}
	}
	connections := entryCap(acc.capacity.Sub(acc.reserved), int64(len(l.entries))).connections
	return amount{slots: own, connections: connections}
}

// contenders returns the holders that want slots, sorted by shareOrder, and
// the number of slots to share among them.
func (l *Ledger) contenders(now time.Duration, acc *account, entryLimit amount) ([]*usage, int64) {
	pool := acc.capacity.Slots - acc.reserved.Slots - l.reservedForUnreported(now, acc).slots
	var out []*usage
	for _, u := range acc.usages {
		if l.isCurrent(u.holder) && now < u.wantUntil && u.want > 0 {
			out = append(out, u)
			continue
		}
		pool -= u.maxInUse(now).slots
	}
	sort.SliceStable(out, func(i, j int) bool {
		return out[i].shareOrder < out[j].shareOrder
	})
	return out, pool
}

// isCurrent reports whether the holder is the newest incarnation of its
// entry.
func (l *Ledger) isCurrent(h holder) bool {
	return l.lastRequests[h.entry].incarnation == h.incarnation
}

func shareOrderOf(worker spec.WorkerID, h holder) uint64 {
	return xxhash.Sum64String(string(worker) + "\x00" + string(h.entry))
}

// UrgentDemand returns the slots and connections of a worker that urgent work
// holds or wants. They are not available to tasks.
func (l *Ledger) UrgentDemand(now time.Duration, id spec.WorkerID) spec.Resources {
	acc, ok := l.workers[id]
	if !ok {
		return spec.Resources{}
	}
	held := l.heldByEntries(now, acc)
	demand := min(l.demand(now, acc), acc.capacity.Slots)
	return held.max(amount{slots: demand}).resources()
}

// Pressure lists the workers, sorted by id, on which tasks hold slots that
// urgent work wants.
func (l *Ledger) Pressure(now time.Duration) []Pressure {
	var out []Pressure
	for _, id := range l.workerIDs {
		acc := l.workers[id]
		missing := l.demand(now, acc) - (acc.capacity.Slots - acc.reserved.Slots)
		missing = min(missing, acc.reserved.Slots)
		if missing > 0 && !acc.leaving {
			out = append(out, Pressure{Worker: id, Need: spec.Resources{Slots: missing}})
		}
	}
	return out
}

// demand returns the sum of the slots that the entries want, at most
// entryCap each.
func (l *Ledger) demand(now time.Duration, acc *account) int64 {
	entryLimit := entryCap(acc.capacity, int64(len(l.entries)))
	var sum int64
	for _, u := range acc.usages {
		if now < u.wantUntil && l.isCurrent(u.holder) {
			sum += min(u.want, entryLimit.slots)
		}
	}
	return sum
}

// checkGrant asserts P1 after a grant. The usage that an entry reports may
// exceed the capacity, for example after the capacity was lowered; a grant
// may not.
func (l *Ledger) checkGrant(now time.Duration, acc *account, u *usage, granted amount) {
	others := l.heldByEntries(now, acc).sub(u.maxInUse(now))
	total := acc.reserved.Add(others.add(granted).resources())
	if total.Slots <= acc.capacity.Slots && total.Connections <= acc.capacity.Connections {
		return
	}
	invariant.Check(false, invariant.NeverOvercommitted,
		"grant of %+v to %s on worker %s: %+v of %+v", granted, u.holder.entry, acc.worker, total, acc.capacity)
}
