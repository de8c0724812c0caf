// Package roundrobin is the baseline for comparisons with
// route.TwoChoiceRouter: it chooses targets in turn, regardless of latency,
// failures and data centre.
package roundrobin

import (
	"slices"
	"sort"
	"time"

	"redwingvale/internal/route"
	"redwingvale/internal/spec"
)

type target struct {
	worker      route.Worker
	grantEnd    time.Duration
	epoch       spec.Epoch
	slots       int
	connections int
	inUse       int
}

// Router chooses the granted targets of a service in turn.
type Router struct {
	targets   map[spec.WorkerID]*target
	byService map[spec.ServiceID][]*target
	next      map[spec.ServiceID]int
	want      int
}

var _ route.Router = (*Router)(nil)

// New returns a router that wants the given number of slots on each worker.
func New(want int) *Router {
	return &Router{
		targets: make(map[spec.WorkerID]*target),
		next:    make(map[spec.ServiceID]int),
		want:    want,
	}
}

// SetWorkers replaces the workers.
func (r *Router) SetWorkers(_ time.Duration, workers []route.Worker) {
	r.byService = make(map[spec.ServiceID][]*target)
	for _, w := range workers {
		t := r.targets[w.ID]
		if t == nil {
			t = &target{}
			r.targets[w.ID] = t
		}
		t.worker = w
		if !w.Leaving {
			r.byService[w.Service] = append(r.byService[w.Service], t)
		}
	}
}

// ApplyGrants applies grants.
func (r *Router) ApplyGrants(_, sent time.Duration, _ spec.InstanceID, grants []route.Grant) {
	for _, g := range grants {
		t := r.targets[g.Worker]
		if t == nil || g.Epoch < t.epoch {
			continue
		}
		t.epoch = g.Epoch
		t.grantEnd = sent + g.Valid
		t.slots = g.Slots
		t.connections = g.Connections
	}
}

// ApplySignal ignores the signal: the baseline uses only the instance list.
func (r *Router) ApplySignal(time.Duration, spec.WorkerID, route.Signal) {}

// Choose returns the next target in turn that has a free slot.
func (r *Router) Choose(now time.Duration, service spec.ServiceID, avoid []spec.WorkerID) (route.Pick, bool) {
	targets := r.byService[service]
	for range targets {
		t := targets[r.next[service]%len(targets)]
		r.next[service]++
		if now >= t.grantEnd || t.inUse >= t.slots || slices.Contains(avoid, t.worker.ID) {
			continue
		}
		t.inUse++
		return route.Pick{Worker: t.worker.ID, Addr: t.worker.Addr, Connections: t.connections, Start: now}, true
	}
	return route.Pick{}, false
}

// Finished returns the slot; the result is ignored.
func (r *Router) Finished(_ time.Duration, pick route.Pick, _ route.Result) {
	r.targets[pick.Worker].inUse--
}

// SetQueued ignores the number: the baseline always wants the same number of
// slots.
func (r *Router) SetQueued(time.Duration, spec.ServiceID, int) {}

// Holdings returns the report to an owner, ordered by worker.
func (r *Router) Holdings(_ time.Duration, owner spec.InstanceID) []route.Holding {
	var out []route.Holding
	for _, t := range r.targets {
		if t.worker.Owner == owner {
			out = append(out, route.Holding{Worker: t.worker.ID, InUse: t.inUse, Want: r.want})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Worker < out[j].Worker })
	return out
}

// Slots returns the free and the granted slots of the service.
func (r *Router) Slots(now time.Duration, service spec.ServiceID) (free, granted int) {
	for _, t := range r.byService[service] {
		if now < t.grantEnd {
			granted += t.slots
			free += max(t.slots-t.inUse, 0)
		}
	}
	return free, granted
}

// HasTarget reports whether the service has a target.
func (r *Router) HasTarget(service spec.ServiceID) bool { return len(r.byService[service]) > 0 }

// Connections returns the granted connections of a worker.
func (r *Router) Connections(now time.Duration, worker spec.WorkerID) int {
	t := r.targets[worker]
	if t == nil || now >= t.grantEnd {
		return 0
	}
	return t.connections
}
