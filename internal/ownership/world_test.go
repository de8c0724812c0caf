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

// world is a seeded simulation of instances, their network, the log and the
// instance list. It knows the true time and who holds which right.
type world struct {
	rng    *rand.Rand
	now    time.Duration
	queue  timers
	order  uint64
	steps  int
	log    map[platform.Stream]*stream
	live   map[spec.InstanceID]*node
	groups []Group
	next   int
	faults faults
	// calm ends all faults of the network, the log and the instance list.
	calm     bool
	loss     float64
	maxDelay time.Duration
	logDelay time.Duration
	logLost  float64
	logDown  bool
	// staleness is how far the reads of half of the instances lag behind.
	staleness time.Duration
	cutLog    map[spec.InstanceID]bool
	// cutGroups lists the instances that cannot read or write group streams.
	cutGroups map[spec.InstanceID]bool
	cutLink   map[[2]spec.InstanceID]bool
	listLag   time.Duration
	history   map[spec.InstanceID][]listState
	rights    map[spec.GroupID]map[*node]time.Duration
	appends   map[spec.InstanceID]int
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

func newWorld(seed uint64, groups int) *world {
	w := &world{
		rng:       rand.New(rand.NewPCG(seed, 0)),
		log:       make(map[platform.Stream]*stream),
		live:      make(map[spec.InstanceID]*node),
		cutLog:    make(map[spec.InstanceID]bool),
		cutGroups: make(map[spec.InstanceID]bool),
		cutLink:   make(map[[2]spec.InstanceID]bool),
		history:   make(map[spec.InstanceID][]listState),
		rights:    make(map[spec.GroupID]map[*node]time.Duration),
		appends:   make(map[spec.InstanceID]int),
		calm:      true,
	}
	for i := range groups {
		id := spec.GroupID(fmt.Sprintf("g%03d", i))
		w.groups = append(w.groups, Group{ID: id, DataCentre: dataCentre(i)})
		w.rights[id] = make(map[*node]time.Duration)
	}
	return w
}

func dataCentre(i int) spec.DataCentre { return spec.DataCentre(fmt.Sprintf("dc%d", i%3)) }

func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, timer{at: w.now + d, order: w.order, run: run})
}

func (w *world) runUntil(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(timer)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// between draws a duration from lo to hi.
func (w *world) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rng.Int64N(int64(hi-lo)+1))
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// delay is a one-way network delay; lost states that nothing arrives.
func (w *world) delay(from, to spec.InstanceID) (d time.Duration, lost bool) {
	d = w.between(time.Millisecond, 6*time.Millisecond)
	if w.calm {
		return d, false
	}
	if w.maxDelay > 0 {
		d = w.between(time.Millisecond, w.maxDelay)
	}
	return d, w.cutLink[[2]spec.InstanceID{from, to}] || w.chance(w.loss)
}

// right checks the guarantee: a right must not start while another instance
// holds one for the same group. A paused process may go on until the end.
func (w *world) right(n *node, group spec.GroupID, until time.Duration) {
	if until == 0 {
		delete(w.rights[group], n)
		return
	}
	for other, end := range w.rights[group] {
		if other != n && other.alive && end > w.now {
			panic(fmt.Sprintf("at %s: %s/%d and %s/%d both hold %s", w.now,
				n.id, n.incarnation, other.id, other.incarnation, group))
		}
	}
	w.rights[group][n] = n.trueTime(until)
}

// holders returns the live instances that hold a right to the group now.
func (w *world) holders(group spec.GroupID) []*node {
	var out []*node
	for n, end := range w.rights[group] {
		if n.alive && end > w.now {
			out = append(out, n)
		}
	}
	return out
}

// vacant lists the groups without a right.
func (w *world) vacant() []spec.GroupID {
	var out []spec.GroupID
	for _, g := range w.groups {
		if len(w.holders(g.ID)) == 0 {
			out = append(out, g.ID)
		}
	}
	return out
}

// listed records a change of the true instance list.
func (w *world) listed(id spec.InstanceID, state platform.InstanceState) {
	stamp := uint64(len(w.history[id]) + 1)
	entry := platform.InstanceEntry{ID: string(id), Kind: platform.KindEntry, State: state, Stamp: stamp}
	w.history[id] = append(w.history[id], listState{at: w.now, entry: entry})
}

// list returns the instance list as a lagging platform shows it: each entry
// as it was at some moment within the lag, also older than shown before.
func (w *world) list() []platform.InstanceEntry {
	lag := w.listLag
	if w.calm {
		lag = time.Second
	}
	var out []platform.InstanceEntry
	for i := 1; i <= w.next; i++ {
		at := w.now - w.between(0, lag)
		states := w.history[instanceID(i)]
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
	// storedAt holds the true time of each append.
	storedAt []time.Duration
	waiters  []func()
}

func (w *world) stream(name platform.Stream) *stream {
	s := w.log[name]
	if s == nil {
		s = &stream{}
		w.log[name] = s
	}
	return s
}

// visible returns how many records a read of the instance shows now.
func (w *world) visible(id spec.InstanceID, s *stream) int {
	at := w.now
	if !w.calm && id[len(id)-1]%2 == 1 {
		at -= w.staleness
	}
	count := len(s.records)
	for count > 0 && s.storedAt[count-1] > at {
		count--
	}
	return count
}

// reachable reports whether the log answers the instance now.
func (w *world) reachable(id spec.InstanceID, name platform.Stream) bool {
	if w.calm {
		return true
	}
	if w.cutGroups[id] && name != platform.MembersStream {
		return false
	}
	return !w.logDown && !w.cutLog[id]
}

func (w *world) logTime() time.Duration {
	if w.calm || w.logDelay == 0 {
		return w.between(2*time.Millisecond, 8*time.Millisecond)
	}
	return w.between(2*time.Millisecond, w.logDelay)
}

// append writes after a delay; the answer can be lost after the write.
func (w *world) append(id spec.InstanceID, name platform.Stream, records []*recordv1.Envelope, done func(failed bool)) {
	w.appends[id]++
	w.after(w.logTime(), func() {
		if !w.reachable(id, name) {
			w.after(w.logTime(), func() { done(true) })
			return
		}
		s := w.stream(name)
		s.records = append(s.records, records...)
		for range records {
			s.storedAt = append(s.storedAt, w.now)
		}
		waiters := s.waiters
		s.waiters = nil
		for _, wake := range waiters {
			wake()
		}
		lost := !w.calm && w.chance(w.logLost)
		w.after(w.logTime(), func() { done(lost) })
	})
}

// read returns up to limit records; at the tail it waits for a new one.
func (w *world) read(id spec.InstanceID, name platform.Stream, from, limit int, done func(records []*recordv1.Envelope, atTail, failed bool)) {
	const wait = 300 * time.Millisecond
	w.after(w.logTime(), func() {
		answered := false
		answer := func() {
			if answered {
				return
			}
			answered = true
			failed := !w.reachable(id, name)
			tail := max(from, w.visible(id, w.stream(name)))
			end := min(tail, from+limit)
			records := w.stream(name).records[from:end]
			atTail := end == tail
			w.after(w.logTime(), func() { done(records, atTail, failed) })
		}
		if !w.reachable(id, name) || from < len(w.stream(name).records) {
			answer()
			return
		}
		w.stream(name).waiters = append(w.stream(name).waiters, answer)
		w.after(wait, answer)
	})
}
