package route

import (
	"math"
	"sort"
	"time"

	"redwingvale/internal/spec"
)

// The parameters of the demand estimate.
const (
	// peakHalfLife is the half-life of the recorded peak demand.
	peakHalfLife = 3 * time.Second
	// minCountedQueue is the number of queued requests that always count in full.
	minCountedQueue = 4
	// headroom is the ratio of wanted slots to the peak demand.
	headroom = 1.5
)

// demand estimates a service's demand for slots at this entry.
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

// observe decays the peak to now and raises it to the current demand.
func (d *demand) observe(now time.Duration) {
	elapsed := now - d.peakAt
	if elapsed > 0 {
		d.peak *= math.Exp2(-float64(elapsed) / float64(peakHalfLife))
	}
	d.peakAt = now
	d.peak = math.Max(d.peak, float64(d.inFlight+d.countedQueue()))
}

// countedQueue returns how many queued requests count as demand. A slot serves
// many requests in turn, so a long queue does not need a slot for each: the
// demand at most doubles from one renewal to the next.
func (d *demand) countedQueue() int {
	return min(d.queued, max(d.inFlight, minCountedQueue))
}

// wantedSlots returns the number of slots that the service wants.
func (d *demand) wantedSlots(now time.Duration, idle int) int {
	d.observe(now)
	return max(int(math.Ceil(d.peak*headroom)), idle)
}

// SetQueued sets the number of requests of the service that wait for a slot.
func (r *TwoChoiceRouter) SetQueued(now time.Duration, id spec.ServiceID, n int) {
	d := &r.service(id).demand
	d.queued = n
	d.observe(now)
}

// Holdings returns the report to an owner, ordered by worker. Slots are wanted
// in the own data centre first and spread evenly over the targets.
func (r *TwoChoiceRouter) Holdings(now time.Duration, owner spec.InstanceID) []Holding {
	var out []Holding
	for _, s := range r.services {
		total := s.demand.wantedSlots(now, r.settings.IdleSlots)
		for _, tier := range s.byRank {
			out = r.appendHoldings(out, now, tier, total, owner)
			total = max(total-grantedSlots(now, tier), 0)
		}
	}
	out = r.appendAbsent(out, now, owner)
	sort.Slice(out, func(i, j int) bool { return out[i].Worker < out[j].Worker })
	return out
}

func (r *TwoChoiceRouter) appendHoldings(out []Holding, now time.Duration, targets []*target, total int, owner spec.InstanceID) []Holding {
	candidates := 0
	for _, t := range targets {
		if t.inService() {
			candidates++
		}
	}
	index := 0
	for _, t := range targets {
		want := 0
		if t.inService() {
			want = min(evenShare(total, candidates, index), r.settings.MaxSlots)
			index++
		}
		if t.needsProbationSlot() {
			want = 1
		}
		if t.worker.Owner == owner && (want > 0 || t.inUse > 0 || t.grantValid(now)) {
			out = append(out, t.holding(now, want))
		}
	}
	return out
}

// appendAbsent adds the holdings on workers that are absent from the view.
func (r *TwoChoiceRouter) appendAbsent(out []Holding, now time.Duration, owner spec.InstanceID) []Holding {
	for _, t := range r.targets {
		if !t.inView && (t.inUse > 0 || t.grantValid(now)) && t.worker.Owner == owner {
			out = append(out, t.holding(now, 0))
		}
	}
	return out
}

// holding returns what the target uses and what its grant still allows.
func (t *target) holding(now time.Duration, want int) Holding {
	out := Holding{Worker: t.worker.ID, InUse: t.inUse, Want: want, Epoch: t.epoch}
	if t.grantValid(now) {
		out.HeldSlots = t.slots
		out.HeldConnections = t.connections
	}
	return out
}

// inService reports whether the target is neither leaving nor ejected.
func (t *target) inService() bool { return !t.leaving.marked() && !t.health.ejected }

// needsProbationSlot reports whether one slot is wanted to detect that the target
// has recovered.
func (t *target) needsProbationSlot() bool {
	if t.leaving.marked() {
		return t.leaving.onlyByDials()
	}
	return t.health.ejected
}

// evenShare returns the part of total for the index-th of n targets.
func evenShare(total, n, index int) int {
	part := total / n
	if index < total%n {
		part++
	}
	return part
}

func grantedSlots(now time.Duration, targets []*target) int {
	sum := 0
	for _, t := range targets {
		if t.grantValid(now) && t.inService() {
			sum += t.slots
		}
	}
	return sum
}
