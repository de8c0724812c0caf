package route

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingvale/internal/invariant"
	"redwingvale/internal/spec"
)

// The tiers of a service in the order in which they are used.
const (
	ownDataCentre = iota
	otherDataCentres
	tierCount
)

// leavingRetention is how long after its first mark a leaving target that is
// absent from the view is kept. The instance list lags by much less.
const leavingRetention = 10 * time.Minute

// service is the router's state of one service.
type service struct {
	tiers [tierCount]*tier
	// byRank holds the targets of each tier in the order in which slots are
	// wanted.
	byRank [tierCount][]*target
	demand demand
}

// TwoChoiceRouter is the Router that chooses the better of two random targets.
// It holds the grants, the slots in use and the health of each worker's target.
type TwoChoiceRouter struct {
	settings  Settings
	random    *rand.Rand
	targets   map[spec.WorkerID]*target
	services  map[spec.ServiceID]*service
	mutations mutations
}

// mutations switches off single mechanisms, so that a test can show that its
// checks detect the fault.
type mutations struct {
	ignoreGrantEnd bool
	ignoreLeaving  bool
}

var _ Router = (*TwoChoiceRouter)(nil)

// NewTwoChoiceRouter returns a router without workers.
func NewTwoChoiceRouter(settings Settings) *TwoChoiceRouter {
	return &TwoChoiceRouter{
		settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, settings.Seed^0x9e3779b97f4a7c15)),
		targets:  make(map[spec.WorkerID]*target),
		services: make(map[spec.ServiceID]*service),
	}
}

// SetWorkers replaces the workers. A worker that is absent from the view
// receives no new requests; its requests in flight stay counted.
func (r *TwoChoiceRouter) SetWorkers(now time.Duration, workers []Worker) {
	for _, t := range r.targets {
		t.inView = false
	}
	for _, w := range workers {
		r.setWorker(now, w)
	}
	r.deleteAbsent(now)
	r.rebuildServices(now)
}

func (r *TwoChoiceRouter) setWorker(now time.Duration, w Worker) {
	t := r.targets[w.ID]
	if t == nil {
		t = &target{usableIndex: notUsable, mutations: &r.mutations}
		t.rank = xxhash.Sum64String(string(r.settings.Instance) + "\x00" + string(w.ID))
		r.targets[w.ID] = t
	}
	if t.worker.Addr != "" && t.worker.Addr != w.Addr {
		t.health = health{}
	}
	t.worker = w
	t.inView = true
	t.leaving.applyListEntry(now, w.Leaving, w.Stamp)
}

func (r *TwoChoiceRouter) deleteAbsent(now time.Duration) {
	for id, t := range r.targets {
		if t.inView || t.inUse > 0 || t.grantValid(now) {
			continue
		}
		if !t.leaving.marked() || now-t.leaving.since > leavingRetention {
			delete(r.targets, id)
		}
	}
}

// rebuildServices assigns the targets to tiers again, in a fixed order.
func (r *TwoChoiceRouter) rebuildServices(now time.Duration) {
	for _, s := range r.services {
		for _, tr := range s.tiers {
			tr.all, tr.usable, tr.ejected = nil, nil, nil
		}
	}
	for _, t := range r.targetsByID() {
		t.usableIndex = notUsable
		t.tier = nil
		if !t.inView {
			continue
		}
		t.tier = r.service(t.worker.Service).tiers[r.tierOf(t)]
		t.tier.all = append(t.tier.all, t)
		if t.health.ejected {
			t.tier.ejected = append(t.tier.ejected, t)
		}
		t.updateUsable(now)
	}
	for _, s := range r.services {
		for i, tr := range s.tiers {
			tr.updateNextEjectionEnd()
			s.byRank[i] = sortByRank(tr.all)
		}
	}
}

func sortByRank(targets []*target) []*target {
	out := append([]*target(nil), targets...)
	sort.Slice(out, func(i, j int) bool {
		if out[i].rank != out[j].rank {
			return out[i].rank < out[j].rank
		}
		return out[i].worker.ID < out[j].worker.ID
	})
	return out
}

func (r *TwoChoiceRouter) targetsByID() []*target {
	out := make([]*target, 0, len(r.targets))
	for _, t := range r.targets {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].worker.ID < out[j].worker.ID })
	return out
}

func (r *TwoChoiceRouter) service(id spec.ServiceID) *service {
	s := r.services[id]
	if s == nil {
		s = &service{}
		for i := range s.tiers {
			s.tiers[i] = &tier{}
		}
		r.services[id] = s
	}
	return s
}

func (r *TwoChoiceRouter) tierOf(t *target) int {
	if t.worker.DataCentre == r.settings.DataCentre {
		return ownDataCentre
	}
	return otherDataCentres
}

// ApplyGrants applies the grants of an owner's response. It ignores a grant with
// an older epoch and one that was requested before the last applied grant.
func (r *TwoChoiceRouter) ApplyGrants(now, sent time.Duration, _ spec.InstanceID, grants []Grant) {
	for _, g := range grants {
		t := r.targets[g.Worker]
		if t == nil || g.Epoch < t.epoch {
			continue
		}
		if g.Epoch == t.epoch && t.hasGrant && sent < t.grantSent {
			continue
		}
		t.hasGrant = true
		t.epoch = g.Epoch
		t.grantSent = sent
		t.grantEnd = sent + shortenForClockDrift(g.Valid, r.settings.ClockRatePPM)
		t.slots = g.Slots
		t.connections = g.Connections
		t.updateUsable(now)
	}
}

// ApplySignal applies a signal about a target. A target that is marked as
// leaving receives no new requests from this call on.
func (r *TwoChoiceRouter) ApplySignal(now time.Duration, worker spec.WorkerID, signal Signal) {
	t := r.targets[worker]
	if t == nil {
		return
	}
	t.leaving.applySignal(now, signal)
	t.updateUsable(now)
}

// Finished returns the slot of a pick and updates the target's health.
func (r *TwoChoiceRouter) Finished(now time.Duration, pick Pick, result Result) {
	t := r.targets[pick.Worker]
	invariant.Check(t != nil && t.inUse > 0, invariant.NeverOvercommitted,
		"slot of %s returned twice", pick.Worker)
	t.inUse--
	t.removeStartTime(pick.Start)
	r.services[t.worker.Service].demand.finished()
	if t.tier != nil {
		t.recordResult(now, now-pick.Start, result)
	}
	t.updateUsable(now)
}

// recordResult updates the health of the target. For a request that timed out,
// the time until then counts as its latency.
func (t *target) recordResult(now, latency time.Duration, result Result) {
	outlier := false
	switch result {
	case Answered:
		outlier = t.health.addLatency(latency, t.tier.baseline, t.tier.samples)
		t.tier.addLatency(latency)
		if !outlier {
			t.health.addSuccess()
		}
	case TimedOut:
		outlier = t.health.addLatency(latency, t.tier.baseline, t.tier.samples)
		outlier = t.health.addFailure() || outlier
	case Failed, NotSent:
		outlier = t.health.addFailure()
	}
	if outlier {
		t.tier.eject(now, t)
	}
}

// HasTarget reports whether the service has a target that is not leaving.
func (r *TwoChoiceRouter) HasTarget(id spec.ServiceID) bool {
	s := r.services[id]
	if s == nil {
		return false
	}
	for _, tr := range s.tiers {
		for _, t := range tr.all {
			if !t.leaving.marked() {
				return true
			}
		}
	}
	return false
}

// Slots returns the free and the granted slots of the service.
func (r *TwoChoiceRouter) Slots(now time.Duration, id spec.ServiceID) (free, granted int) {
	s := r.services[id]
	if s == nil {
		return 0, 0
	}
	for _, tr := range s.tiers {
		for _, t := range tr.all {
			if !t.grantValid(now) || t.leaving.marked() || t.health.ejected {
				continue
			}
			granted += t.slots
			free += max(t.slots-t.inUse, 0)
		}
	}
	return free, granted
}

// Connections returns the granted connections of a worker, 0 after the end of
// its grant.
func (r *TwoChoiceRouter) Connections(now time.Duration, worker spec.WorkerID) int {
	t := r.targets[worker]
	if t == nil || !t.grantValid(now) {
		return 0
	}
	return t.connections
}
