package ownership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"redwingvale/internal/platform"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// simulation is a seeded simulation of instances, their network, the log and the
// instance list. It holds the simulated time and the leases of all instances.
type simulation struct {
	rng          *rand.Rand
	now          time.Duration
	queue        timers
	order        uint64
	steps        int
	log          map[platform.Stream]*stream
	runningNodes map[spec.InstanceID]*node
	groups       []Group
	lastIndex    int
	mutations    mutations
	// faultsOff disables all faults of the network, the log and the instance
	// list.
	faultsOff          bool
	messageLoss        float64
	maxDelay           time.Duration
	logDelay           time.Duration
	appendResponseLoss float64
	logDown            bool
	// staleness is how far the reads of half of the instances lag behind the
	// log.
	staleness time.Duration
	cutLog    map[spec.InstanceID]bool
	// cutGroups lists the instances that cannot read or write group streams.
	cutGroups   map[spec.InstanceID]bool
	cutLink     map[[2]spec.InstanceID]bool
	listLag     time.Duration
	listHistory map[spec.InstanceID][]listState
	leases      map[spec.GroupID]map[*node]time.Duration
	appends     map[spec.InstanceID]int
}

type listState struct {
	at    time.Duration
	entry platform.InstanceEntry
}

type timer struct {
	at    time.Duration
	order uint64
	run   func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || (t[i].at == t[j].at && t[i].order < t[j].order)
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

func newSimulation(seed uint64, groups int) *simulation {
	sim := &simulation{
		rng:          rand.New(rand.NewPCG(seed, 0)),
		log:          make(map[platform.Stream]*stream),
		runningNodes: make(map[spec.InstanceID]*node),
		cutLog:       make(map[spec.InstanceID]bool),
		cutGroups:    make(map[spec.InstanceID]bool),
		cutLink:      make(map[[2]spec.InstanceID]bool),
		listHistory:  make(map[spec.InstanceID][]listState),
		leases:       make(map[spec.GroupID]map[*node]time.Duration),
		appends:      make(map[spec.InstanceID]int),
		faultsOff:    true,
	}
	for i := range groups {
		id := spec.GroupID(fmt.Sprintf("g%03d", i))
		sim.groups = append(sim.groups, Group{ID: id, DataCentre: dataCentre(i)})
		sim.leases[id] = make(map[*node]time.Duration)
	}
	return sim
}

func dataCentre(i int) spec.DataCentre { return spec.DataCentre(fmt.Sprintf("dc%d", i%3)) }

func (sim *simulation) after(d time.Duration, run func()) {
	sim.order++
	heap.Push(&sim.queue, timer{at: sim.now + d, order: sim.order, run: run})
}

func (sim *simulation) runUntil(end time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		next := heap.Pop(&sim.queue).(timer)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

// between returns a random duration from lo to hi.
func (sim *simulation) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(sim.rng.Int64N(int64(hi-lo)+1))
}

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

// delay returns a random one-way network delay; lost states that the message does
// not arrive.
func (sim *simulation) delay(from, to spec.InstanceID) (d time.Duration, lost bool) {
	d = sim.between(time.Millisecond, 6*time.Millisecond)
	if sim.faultsOff {
		return d, false
	}
	if sim.maxDelay > 0 {
		d = sim.between(time.Millisecond, sim.maxDelay)
	}
	return d, sim.cutLink[[2]spec.InstanceID{from, to}] || sim.chance(sim.messageLoss)
}

// recordLease checks the guarantee that no lease starts while another instance
// holds one on the same group. A paused process may still act until its lease
// ends.
func (sim *simulation) recordLease(n *node, group spec.GroupID, until time.Duration) {
	if until == 0 {
		delete(sim.leases[group], n)
		return
	}
	for other, end := range sim.leases[group] {
		if other != n && other.running && end > sim.now {
			panic(fmt.Sprintf("at %s: %s/%d and %s/%d both hold a lease on %s", sim.now,
				n.id, n.incarnation, other.id, other.incarnation, group))
		}
	}
	sim.leases[group][n] = n.simulationTime(until)
}

// holders returns the running instances that hold a lease on the group now.
func (sim *simulation) holders(group spec.GroupID) []*node {
	var out []*node
	for n, end := range sim.leases[group] {
		if n.running && end > sim.now {
			out = append(out, n)
		}
	}
	return out
}

// unownedGroups returns the groups on which no instance holds a lease.
func (sim *simulation) unownedGroups() []spec.GroupID {
	var out []spec.GroupID
	for _, g := range sim.groups {
		if len(sim.holders(g.ID)) == 0 {
			out = append(out, g.ID)
		}
	}
	return out
}

// recordListState records a change of an instance's state, which the instance list
// shows with a lag.
func (sim *simulation) recordListState(id spec.InstanceID, state platform.InstanceState) {
	stamp := uint64(len(sim.listHistory[id]) + 1)
	entry := platform.InstanceEntry{ID: string(id), Kind: platform.KindEntry, State: state, Stamp: stamp}
	sim.listHistory[id] = append(sim.listHistory[id], listState{at: sim.now, entry: entry})
}

// list returns the instance list as a lagging platform shows it: each entry as it
// was at a random time within the lag, possibly older than shown before.
func (sim *simulation) list() []platform.InstanceEntry {
	lag := sim.listLag
	if sim.faultsOff {
		lag = time.Second
	}
	var out []platform.InstanceEntry
	for i := 1; i <= sim.lastIndex; i++ {
		at := sim.now - sim.between(0, lag)
		states := sim.listHistory[instanceID(i)]
		for j := len(states) - 1; j >= 0; j-- {
			if states[j].at <= at {
				out = append(out, states[j].entry)
				break
			}
		}
	}
	return out
}

// stream is one stream of the fake log.
type stream struct {
	records []*recordv1.Envelope
	// storedAt holds the simulated time of each append.
	storedAt []time.Duration
	waiters  []func()
}

func (sim *simulation) stream(name platform.Stream) *stream {
	s := sim.log[name]
	if s == nil {
		s = &stream{}
		sim.log[name] = s
	}
	return s
}

// visible returns how many records a read by the instance shows now.
func (sim *simulation) visible(id spec.InstanceID, s *stream) int {
	at := sim.now
	if !sim.faultsOff && id[len(id)-1]%2 == 1 {
		at -= sim.staleness
	}
	count := len(s.records)
	for count > 0 && s.storedAt[count-1] > at {
		count--
	}
	return count
}

// reachable reports whether the log is reachable from the instance now.
func (sim *simulation) reachable(id spec.InstanceID, name platform.Stream) bool {
	if sim.faultsOff {
		return true
	}
	if sim.cutGroups[id] && name != platform.MembersStream {
		return false
	}
	return !sim.logDown && !sim.cutLog[id]
}

func (sim *simulation) randomLogDelay() time.Duration {
	if sim.faultsOff || sim.logDelay == 0 {
		return sim.between(2*time.Millisecond, 8*time.Millisecond)
	}
	return sim.between(2*time.Millisecond, sim.logDelay)
}

// append writes after a delay. The response can be lost after the write.
func (sim *simulation) append(id spec.InstanceID, name platform.Stream, records []*recordv1.Envelope, done func(failed bool)) {
	sim.appends[id]++
	sim.after(sim.randomLogDelay(), func() {
		if !sim.reachable(id, name) {
			sim.after(sim.randomLogDelay(), func() { done(true) })
			return
		}
		s := sim.stream(name)
		s.records = append(s.records, records...)
		for range records {
			s.storedAt = append(s.storedAt, sim.now)
		}
		waiters := s.waiters
		s.waiters = nil
		for _, notify := range waiters {
			notify()
		}
		lost := !sim.faultsOff && sim.chance(sim.appendResponseLoss)
		sim.after(sim.randomLogDelay(), func() { done(lost) })
	})
}

// read returns up to limit records. At the tail it waits for a new record, for a
// limited time.
func (sim *simulation) read(id spec.InstanceID, name platform.Stream, from, limit int, done func(records []*recordv1.Envelope, atTail, failed bool)) {
	const wait = 300 * time.Millisecond
	sim.after(sim.randomLogDelay(), func() {
		responded := false
		respond := func() {
			if responded {
				return
			}
			responded = true
			failed := !sim.reachable(id, name)
			tail := max(from, sim.visible(id, sim.stream(name)))
			end := min(tail, from+limit)
			records := sim.stream(name).records[from:end]
			atTail := end == tail
			sim.after(sim.randomLogDelay(), func() { done(records, atTail, failed) })
		}
		if !sim.reachable(id, name) || from < len(sim.stream(name).records) {
			respond()
			return
		}
		sim.stream(name).waiters = append(sim.stream(name).waiters, respond)
		sim.after(wait, respond)
	})
}
