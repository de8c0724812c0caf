package route

import (
	"math"
	"sort"
	"time"

	"redwingvale/internal/spec"
)

// The constants of demand.
const (
	// peakHalfLife is the time in which the remembered peak of requests in
	// flight halves.
	peakHalfLife = 3 * time.Second
	// leastStep is the number of queued requests that always count in full.
	leastStep = 4
	// headroom is the share of slots wanted above the peak.
	headroom = 1.5
)

// demand is a service's need for slots at this entry.
type demand struct {
	inFlight int
	queued   int
	peak     float64
	peakAt   time.Duration
}

func (d *demand) started(now time.Duration) {
	d.inFlight++
	d.observe(now)
}

func (d *demand) finished() { d.inFlight-- }

// observe lets the peak decay to now and raises it to the current need.
func (d *demand) observe(now time.Duration) {
	elapsed := now - d.peakAt
	if elapsed > 0 {
		d.peak *= math.Exp2(-float64(elapsed) / float64(peakHalfLife))
	}
	d.peakAt = now
	d.peak = math.Max(d.peak, float64(d.inFlight+d.counted()))
}

// counted returns how many queued requests count as a need for slots. A slot
// serves many requests one after another, so a long queue does not need a slot
// for each: the need at most doubles from one renewal to the next.
func (d *demand) counted() int {
	return min(d.queued, max(d.inFlight, leastStep))
}

// slots returns the number of slots that the service wants.
func (d *demand) slots(now time.Duration, idle int) int {
	d.observe(now)
	return max(int(math.Ceil(d.peak*headroom)), idle)
}

// Queued tells how many requests of the service wait for a slot.
func (b *Book) Queued(now time.Duration, id spec.ServiceID, n int) {
	d := &b.service(id).demand
	d.queued = n
	d.observe(now)
}

// Holdings returns what to report to an owner, ordered by worker. Slots are
// wanted in the own data centre first and spread evenly over the targets.
func (b *Book) Holdings(now time.Duration, owner spec.InstanceID) []Holding {
	var out []Holding
	for _, s := range b.services {
		total := s.demand.slots(now, b.settings.IdleSlots)
		for _, tier := range s.wanted {
			out = b.appendHoldings(out, now, tier, total, owner)
			total = max(total-grantedSlots(now, tier), 0)
		}
	}
	out = b.appendAbsent(out, now, owner)
	sort.Slice(out, func(i, j int) bool { return out[i].Worker < out[j].Worker })
	return out
}

func (b *Book) appendHoldings(out []Holding, now time.Duration, targets []*target, total int, owner spec.InstanceID) []Holding {
	usable := 0
	for _, t := range targets {
		if t.wantable() {
			usable++
		}
	}
	index := 0
	for _, t := range targets {
		want := 0
		if t.wantable() {
			want = min(share(total, usable, index), b.settings.MaxSlots)
			index++
		}
		if t.mayReturn() {
			want = 1
		}
		if t.worker.Owner == owner && (want > 0 || t.inUse > 0 || t.live(now)) {
			out = append(out, t.holding(now, want))
		}
	}
	return out
}

// appendAbsent reports requests in flight on workers that the view has lost.
func (b *Book) appendAbsent(out []Holding, now time.Duration, owner spec.InstanceID) []Holding {
	for _, t := range b.targets {
		if !t.present && (t.inUse > 0 || t.live(now)) && t.worker.Owner == owner {
			out = append(out, t.holding(now, 0))
		}
	}
	return out
}

// holding states what the target uses and what its grant still allows.
func (t *target) holding(now time.Duration, want int) Holding {
	out := Holding{Worker: t.worker.ID, InUse: t.inUse, Want: want, Epoch: t.epoch}
	if t.live(now) {
		out.Held = t.slots
		out.HeldConnections = t.connections
	}
	return out
}

// wantable reports whether more slots of the target would be of use.
func (t *target) wantable() bool { return !t.leaving.marked() && !t.health.ejected }

// mayReturn reports whether one slot is kept to find out that the target is
// well again.
func (t *target) mayReturn() bool {
	if t.leaving.marked() {
		return t.leaving.onlyByDials()
	}
	return t.health.ejected
}

// share returns the part of total for the index-th of n targets.
func share(total, n, index int) int {
	part := total / n
	if index < total%n {
		part++
	}
	return part
}

func grantedSlots(now time.Duration, targets []*target) int {
	sum := 0
	for _, t := range targets {
		if t.live(now) && t.wantable() {
			sum += t.slots
		}
	}
	return sum
}
