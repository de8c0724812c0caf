package route

import (
	"slices"
	"time"

	"redwingvale/internal/invariant"
	"redwingvale/internal/spec"
)

// maxScanLength is the list length up to which the whole list is scanned if the
// draws return only avoided targets.
const maxScanLength = 16

// maxDraws limits the random draws for one candidate.
const maxDraws = 8

// maxLeavingDelay is the time after its first leaving mark from which a target
// must not receive new requests (P7).
const maxLeavingDelay = 2 * time.Second

// Choose takes a slot in the own data centre if one is free, else in another
// one, in each case on the better of two random targets.
func (r *TwoChoiceRouter) Choose(now time.Duration, id spec.ServiceID, avoid []spec.WorkerID) (Pick, bool) {
	s := r.services[id]
	if s == nil {
		return Pick{}, false
	}
	for i, tr := range s.tiers {
		tr.endEjections(now)
		t := r.chooseInTier(now, tr, avoid)
		if t == nil {
			continue
		}
		s.demand.started(now)
		return r.takeSlot(now, t, i == ownDataCentre), true
	}
	return Pick{}, false
}

// chooseInTier returns the better of two random targets of the tier, or nil.
func (r *TwoChoiceRouter) chooseInTier(now time.Duration, tr *tier, avoid []spec.WorkerID) *target {
	first := r.draw(now, tr, avoid, nil)
	if first == nil {
		return nil
	}
	second := r.draw(now, tr, avoid, first)
	if second == nil || first.score(now, tr.baseline) <= second.score(now, tr.baseline) {
		return first
	}
	return second
}

// draw returns a random usable target that is neither avoided nor other, or nil.
func (r *TwoChoiceRouter) draw(now time.Duration, tr *tier, avoid []spec.WorkerID, other *target) *target {
	if other != nil && len(tr.usable) == 1 {
		return nil
	}
	for try := 0; try < maxDraws && len(tr.usable) > 0; try++ {
		t := tr.usable[r.random.IntN(len(tr.usable))]
		if !t.usable(now) {
			tr.removeUsable(t)
			try--
			continue
		}
		if t != other && !slices.Contains(avoid, t.worker.ID) {
			return t
		}
	}
	if len(tr.usable) <= maxScanLength {
		return scan(now, tr, avoid, other)
	}
	return nil
}

func scan(now time.Duration, tr *tier, avoid []spec.WorkerID, other *target) *target {
	for _, t := range tr.usable {
		if t != other && t.usable(now) && !slices.Contains(avoid, t.worker.ID) {
			return t
		}
	}
	return nil
}

// takeSlot takes a slot of the target for a request.
func (r *TwoChoiceRouter) takeSlot(now time.Duration, t *target, local bool) Pick {
	invariant.Check(now < t.grantEnd, invariant.NeverOvercommitted,
		"request starts on %s at %s after the grant's end %s", t.worker.ID, now, t.grantEnd)
	invariant.Check(t.inUse < t.slots, invariant.NeverOvercommitted,
		"request starts on %s with %d of %d slots in use", t.worker.ID, t.inUse, t.slots)
	invariant.Check(!t.leaving.marked() || now < t.leaving.since+maxLeavingDelay, invariant.NoWorkWhileLeaving,
		"request starts on %s %s after the first leaving mark", t.worker.ID, now-t.leaving.since)
	t.inUse++
	t.startTimes = append(t.startTimes, now)
	t.updateUsable(now)
	return Pick{
		Worker:      t.worker.ID,
		Addr:        t.worker.Addr,
		Connections: t.connections,
		Start:       now,
		Local:       local,
	}
}
