package sched

import (
	"sort"
	"time"

	"redwingvale/internal/group"
	"redwingvale/internal/ownership"
	"redwingvale/internal/platform"
	"redwingvale/internal/spec"
)

// knownWorker is the entry of a worker with the largest stamp that the instance
// list has shown so far.
type knownWorker struct {
	worker  spec.Worker
	leaving bool
	stamp   uint64
}

// workerCatalogue keeps the newest state of each worker. It ignores entries
// with an older stamp, because the instance list may return an older state
// again.
type workerCatalogue struct {
	workers map[spec.WorkerID]knownWorker
}

func newWorkerCatalogue() *workerCatalogue {
	return &workerCatalogue{workers: make(map[spec.WorkerID]knownWorker)}
}

// update applies the entries of an instance list and reports whether a worker
// changed.
func (c *workerCatalogue) update(entries []platform.InstanceEntry) bool {
	changed := false
	for _, entry := range entries {
		if entry.Kind != platform.KindWorker || entry.Worker == nil {
			continue
		}
		known, ok := c.workers[entry.Worker.ID]
		if ok && entry.Stamp <= known.stamp {
			continue
		}
		c.workers[entry.Worker.ID] = knownWorker{
			worker:  *entry.Worker,
			leaving: entry.State != platform.InstanceLive,
			stamp:   entry.Stamp,
		}
		changed = true
	}
	return changed
}

// sorted returns the workers in the order of their ids.
func (c *workerCatalogue) sorted() []knownWorker {
	out := make([]knownWorker, 0, len(c.workers))
	for _, known := range c.workers {
		out = append(out, known)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].worker.ID < out[j].worker.ID })
	return out
}

// largest returns the largest capacity of any worker in each dimension.
func (c *workerCatalogue) largest() spec.Resources {
	var out spec.Resources
	for _, known := range c.workers {
		out = out.Max(known.worker.Capacity)
	}
	return out
}

// groups returns the groups of all workers, by id.
func (c *workerCatalogue) groups() []ownership.Group {
	seen := make(map[spec.GroupID]bool)
	var out []ownership.Group
	for _, known := range c.sorted() {
		if seen[known.worker.Group] {
			continue
		}
		seen[known.worker.Group] = true
		out = append(out, ownership.Group{ID: known.worker.Group, DataCentre: known.worker.DataCentre})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// inGroup returns the workers of one group.
func (c *workerCatalogue) inGroup(id spec.GroupID) []group.WorkerInfo {
	var out []group.WorkerInfo
	for _, known := range c.sorted() {
		if known.worker.Group == id {
			out = append(out, group.WorkerInfo{Worker: known.worker, Leaving: known.leaving})
		}
	}
	return out
}

// onInstances handles a read of the instance list.
func (d *decisionLoop) onInstances(now time.Duration, entries []platform.InstanceEntry) {
	d.stepOwnership(now, ownership.InstanceList{Entries: entries})
	if !d.workers.update(entries) {
		return
	}
	d.stepOwnership(now, ownership.GroupsKnown{Groups: d.workers.groups()})
	for _, g := range d.sortedGroups() {
		d.updateWorkers(now, g)
	}
	d.publishView()
}

func (d *decisionLoop) updateWorkers(now time.Duration, g *followedGroup) {
	d.stepGroup(now, g, group.SetWorkers{Workers: d.workers.inGroup(g.id), Largest: d.workers.largest()})
	d.stepGroup(now, g, group.SetPeers{Peers: d.handOffPeers(g.id)})
}

// handOffPeers returns the other groups, those of the same data centre first.
func (d *decisionLoop) handOffPeers(id spec.GroupID) []group.Peer {
	var own spec.DataCentre
	groups := d.workers.groups()
	for _, g := range groups {
		if g.ID == id {
			own = g.DataCentre
		}
	}
	var near, far []group.Peer
	for _, g := range groups {
		peer := group.Peer{Group: g.ID, Largest: largestOf(d.workers.inGroup(g.ID)), DataCentre: g.DataCentre}
		switch {
		case g.ID == id:
		case g.DataCentre == own:
			near = append(near, peer)
		default:
			far = append(far, peer)
		}
	}
	return append(near, far...)
}

func largestOf(workers []group.WorkerInfo) spec.Resources {
	var out spec.Resources
	for _, info := range workers {
		out = out.Max(info.Worker.Capacity)
	}
	return out
}
