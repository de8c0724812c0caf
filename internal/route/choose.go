package route

import (
	"slices"
	"time"

	"redwingvale/internal/invariant"
	"redwingvale/internal/spec"
)

// scanBelow is the list length up to which avoided targets are passed over by
// a scan of the whole list.
const scanBelow = 16

// drawTries bounds the draws for one candidate in a longer list.
const drawTries = 8

// leavingBound is the time after the first sign from which a leaving target
// must receive nothing new (P7).
const leavingBound = 2 * time.Second

// Choose takes a slot: in the own data centre first, then elsewhere, in each
// case the better of two targets drawn at random.
func (b *Book) Choose(now time.Duration, id spec.ServiceID, avoid []spec.WorkerID) (Pick, bool) {
	s := b.services[id]
	if s == nil {
		return Pick{}, false
	}
	for i, r := range s.tiers {
		r.returnEjected(now)
		t := b.chooseIn(now, r, avoid)
		if t == nil {
			continue
		}
		s.demand.started(now)
		return b.take(now, t, i == ownDataCentre), true
	}
	return Pick{}, false
}

// chooseIn returns the better of two drawn targets, or nil.
func (b *Book) chooseIn(now time.Duration, r *tier, avoid []spec.WorkerID) *target {
	first := b.draw(now, r, avoid, nil)
	if first == nil {
		return nil
	}
	second := b.draw(now, r, avoid, first)
	if second == nil || first.score(now, r.baseline) <= second.score(now, r.baseline) {
		return first
	}
	return second
}

// draw returns a random usable target that is neither avoided nor other.
func (b *Book) draw(now time.Duration, r *tier, avoid []spec.WorkerID, other *target) *target {
	if other != nil && len(r.listed) == 1 {
		return nil
	}
	for try := 0; try < drawTries && len(r.listed) > 0; try++ {
		t := r.listed[b.random.IntN(len(r.listed))]
		if !t.usable(now) {
			r.unlist(t)
			try--
			continue
		}
		if t != other && !slices.Contains(avoid, t.worker.ID) {
			return t
		}
	}
	if len(r.listed) <= scanBelow {
		return scan(now, r, avoid, other)
	}
	return nil
}

func scan(now time.Duration, r *tier, avoid []spec.WorkerID, other *target) *target {
	for _, t := range r.listed {
		if t != other && t.usable(now) && !slices.Contains(avoid, t.worker.ID) {
			return t
		}
	}
	return nil
}

// take counts a request on the target.
func (b *Book) take(now time.Duration, t *target, local bool) Pick {
	invariant.Check(now < t.end, invariant.NeverOvercommitted,
		"request starts on %s at %s after the grant's end %s", t.worker.ID, now, t.end)
	invariant.Check(t.inUse < t.slots, invariant.NeverOvercommitted,
		"request starts on %s with %d of %d slots in use", t.worker.ID, t.inUse, t.slots)
	invariant.Check(!t.leaving.marked() || now < t.leaving.since+leavingBound, invariant.LeavingGetsNothing,
		"request starts on %s %s after the first sign", t.worker.ID, now-t.leaving.since)
	t.inUse++
	t.starts = append(t.starts, now)
	t.refresh(now)
	return Pick{
		Worker:      t.worker.ID,
		Addr:        t.worker.Addr,
		Connections: t.connections,
		Start:       now,
		Local:       local,
	}
}
