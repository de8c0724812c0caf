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
	elsewhere
	tierCount
)

// forgetLeaving is the time after which a leaving target that is gone from the
// view is forgotten. The instance list lags by much less.
const forgetLeaving = 10 * time.Minute

// service is the book's state of one service.
type service struct {
	tiers [tierCount]*tier
	// wanted is the service's targets in the order in which slots are wanted.
	wanted [tierCount][]*target
	demand demand
}

// Book is the grant book: what the entry may use on each worker, what it uses,
// and how the targets behave.
type Book struct {
	settings Settings
	random   *rand.Rand
	targets  map[spec.WorkerID]*target
	services map[spec.ServiceID]*service
	faults   faults
}

// faults switches mechanisms off, for tests that show that a check notices.
type faults struct {
	ignoreGrantEnd bool
	ignoreLeaving  bool
}

var _ Router = (*Book)(nil)

// NewBook returns a book without workers.
func NewBook(settings Settings) *Book {
	return &Book{
		settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, settings.Seed^0x9e3779b97f4a7c15)),
		targets:  make(map[spec.WorkerID]*target),
		services: make(map[spec.ServiceID]*service),
	}
}

// SetWorkers replaces the known workers. A worker that is gone from the view
// gets nothing new; its requests in flight stay counted.
func (b *Book) SetWorkers(now time.Duration, workers []Worker) {
	for _, t := range b.targets {
		t.present = false
	}
	for _, w := range workers {
		b.setWorker(now, w)
	}
	b.dropAbsent(now)
	b.rebuildServices(now)
}

func (b *Book) setWorker(now time.Duration, w Worker) {
	t := b.targets[w.ID]
	if t == nil {
		t = &target{listed: notListed, faults: &b.faults}
		t.rank = xxhash.Sum64String(string(b.settings.Instance) + "\x00" + string(w.ID))
		b.targets[w.ID] = t
	}
	if t.worker.Addr != "" && t.worker.Addr != w.Addr {
		t.health = health{}
	}
	t.worker = w
	t.present = true
	t.leaving.list(now, w.Leaving, w.Stamp)
}

func (b *Book) dropAbsent(now time.Duration) {
	for id, t := range b.targets {
		if t.present || t.inUse > 0 || t.live(now) {
			continue
		}
		if !t.leaving.marked() || now-t.leaving.since > forgetLeaving {
			delete(b.targets, id)
		}
	}
}

// rebuildServices sorts the targets into tiers again, in a fixed order.
func (b *Book) rebuildServices(now time.Duration) {
	for _, s := range b.services {
		for _, r := range s.tiers {
			r.all, r.listed, r.ejected = nil, nil, nil
		}
	}
	for _, t := range b.sorted() {
		t.listed = notListed
		t.tier = nil
		if !t.present {
			continue
		}
		t.tier = b.service(t.worker.Service).tiers[b.tierOf(t)]
		t.tier.all = append(t.tier.all, t)
		if t.health.ejected {
			t.tier.ejected = append(t.tier.ejected, t)
		}
		t.refresh(now)
	}
	for _, s := range b.services {
		for i, r := range s.tiers {
			r.setNextReturn()
			s.wanted[i] = byRank(r.all)
		}
	}
}

func byRank(targets []*target) []*target {
	out := append([]*target(nil), targets...)
	sort.Slice(out, func(i, j int) bool {
		if out[i].rank != out[j].rank {
			return out[i].rank < out[j].rank
		}
		return out[i].worker.ID < out[j].worker.ID
	})
	return out
}

func (b *Book) sorted() []*target {
	out := make([]*target, 0, len(b.targets))
	for _, t := range b.targets {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].worker.ID < out[j].worker.ID })
	return out
}

func (b *Book) service(id spec.ServiceID) *service {
	s := b.services[id]
	if s == nil {
		s = &service{}
		for i := range s.tiers {
			s.tiers[i] = &tier{}
		}
		b.services[id] = s
	}
	return s
}

func (b *Book) tierOf(t *target) int {
	if t.worker.DataCentre == b.settings.DataCentre {
		return ownDataCentre
	}
	return elsewhere
}

// Granted takes an owner's answer in. A grant of an older epoch, or one that
// was asked for before the last one, is ignored.
func (b *Book) Granted(now, sent time.Duration, _ spec.InstanceID, grants []Grant) {
	for _, g := range grants {
		t := b.targets[g.Worker]
		if t == nil || g.Epoch < t.epoch {
			continue
		}
		if g.Epoch == t.epoch && t.granted && sent < t.sent {
			continue
		}
		t.granted = true
		t.epoch = g.Epoch
		t.sent = sent
		t.end = sent + heldFor(g.Valid, b.settings.ClockRatePPM)
		t.slots = g.Slots
		t.connections = g.Connections
		t.refresh(now)
	}
}

// Sign takes evidence about a target in. A marked target receives nothing new
// from this call on.
func (b *Book) Sign(now time.Duration, worker spec.WorkerID, sign Sign) {
	t := b.targets[worker]
	if t == nil {
		return
	}
	t.leaving.sign(now, sign)
	t.refresh(now)
}

// Finished returns the slot of a pick and learns from the result.
func (b *Book) Finished(now time.Duration, pick Pick, result Result) {
	t := b.targets[pick.Worker]
	invariant.Check(t != nil && t.inUse > 0, invariant.NeverOvercommitted,
		"slot of %s returned twice", pick.Worker)
	t.inUse--
	t.removeStart(pick.Start)
	b.services[t.worker.Service].demand.finished()
	if t.tier != nil {
		t.learn(now, now-pick.Start, result)
	}
	t.refresh(now)
}

// learn updates the health of the target. A request without an answer in time
// counts as one that took that long.
func (t *target) learn(now, latency time.Duration, result Result) {
	outlier := false
	switch result {
	case Answered:
		outlier = t.health.sample(latency, t.tier.baseline, t.tier.samples)
		t.tier.learn(latency)
		if !outlier {
			t.health.answered()
		}
	case TimedOut:
		outlier = t.health.sample(latency, t.tier.baseline, t.tier.samples)
		outlier = t.health.failed() || outlier
	case Failed, NotSent:
		outlier = t.health.failed()
	}
	if outlier {
		t.tier.eject(now, t)
	}
}

// Known reports whether the service has a target that is not leaving.
func (b *Book) Known(id spec.ServiceID) bool {
	s := b.services[id]
	if s == nil {
		return false
	}
	for _, r := range s.tiers {
		for _, t := range r.all {
			if !t.leaving.marked() {
				return true
			}
		}
	}
	return false
}

// Slots returns the free and the granted slots of the service.
func (b *Book) Slots(now time.Duration, id spec.ServiceID) (free, granted int) {
	s := b.services[id]
	if s == nil {
		return 0, 0
	}
	for _, r := range s.tiers {
		for _, t := range r.all {
			if !t.live(now) || t.leaving.marked() || t.health.ejected {
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
func (b *Book) Connections(now time.Duration, worker spec.WorkerID) int {
	t := b.targets[worker]
	if t == nil || !t.live(now) {
		return 0
	}
	return t.connections
}
