package journal

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingvale/internal/code"
	"redwingvale/internal/fence"
	"redwingvale/internal/invariant"
	"redwingvale/internal/platform"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// mutations disables single mechanisms.
type mutations struct {
	writer   switches
	noFence  bool
	noFilter bool
}

// simulation is a seeded simulation of instances that write and read streams
// of a fake log. It keeps the outcome that each writer reported and the
// records that each reader applied.
type simulation struct {
	rng        *rand.Rand
	mutations  mutations
	now        time.Duration
	timers     timerHeap
	timerOrder uint64
	steps      int
	faultsOff  bool
	log        map[platform.Stream][]*recordv1.Envelope
	nodes      []*node
	lastToken  uint64
	outcomes   map[uint64]outcome
	// writers maps each token to the node that wrote it.
	writers      map[uint64]*node
	discarded    map[uint64]bool
	logDown      bool
	disconnected map[spec.InstanceID]bool
	responseLoss float64
	maxDelay     time.Duration
	streams      []platform.Stream
}

// outcome is the reported result of a token.
type outcome struct {
	written bool
	offset  int64
	code    code.Code
	stream  platform.Stream
}

type timer struct {
	at    time.Duration
	order uint64
	run   func()
}

type timerHeap []timer

func (t timerHeap) Len() int { return len(t) }
func (t timerHeap) Less(i, j int) bool {
	return t[i].at < t[j].at || (t[i].at == t[j].at && t[i].order < t[j].order)
}
func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timerHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.timerOrder++
	heap.Push(&sim.timers, timer{at: sim.now + d, order: sim.timerOrder, run: run})
}

func (sim *simulation) runUntil(end time.Duration) {
	for len(sim.timers) > 0 && sim.timers[0].at <= end {
		next := heap.Pop(&sim.timers).(timer)
		sim.now = next.at
		next.run()
	}
}

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

func (sim *simulation) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(sim.rng.Int64N(int64(hi-lo)+1))
}

func (sim *simulation) delay() time.Duration {
	if sim.faultsOff || sim.maxDelay == 0 {
		return sim.between(time.Millisecond, 8*time.Millisecond)
	}
	return sim.between(time.Millisecond, sim.maxDelay)
}

func (sim *simulation) reachable(id spec.InstanceID) bool {
	return sim.faultsOff || (!sim.logDown && !sim.disconnected[id])
}

// node is one incarnation of an instance: a writer and a reader of each
// stream.
type node struct {
	sim         *simulation
	id          spec.InstanceID
	incarnation spec.Incarnation
	writer      *Writer
	running     bool
	pausedUntil time.Duration
	readers     map[platform.Stream]*streamReader
	streamOf    map[uint64]platform.Stream
}

// streamReader is one reader of one stream with the offsets that it has
// applied.
type streamReader struct {
	next    int
	filter  *DuplicateFilter
	fence   fence.Fence
	applied []int64
}

func (sim *simulation) startNode(id spec.InstanceID, incarnation spec.Incarnation) {
	settings := DefaultSettings(id, incarnation)
	settings.MaxBufferBytes = 6000
	settings.ReservedBytes = 1000
	settings.MaxBatchBytes = 600
	n := &node{
		sim: sim, id: id, incarnation: incarnation, writer: NewWriter(settings), running: true,
		readers: make(map[platform.Stream]*streamReader), streamOf: make(map[uint64]platform.Stream),
	}
	n.writer.switches = sim.mutations.writer
	sim.nodes = append(sim.nodes, n)
	for _, name := range sim.streams {
		n.readers[name] = &streamReader{filter: NewDuplicateFilter()}
		n.readers[name].filter.acceptAll = sim.mutations.noFilter
		n.read(name)
	}
	n.tick()
}

func (n *node) runAfterPause(run func()) {
	if n.sim.now < n.pausedUntil {
		n.sim.after(n.pausedUntil-n.sim.now, func() { n.runAfterPause(run) })
		return
	}
	if n.running {
		run()
	}
}

func (n *node) tick() {
	n.runAfterPause(func() {
		n.step(Tick{})
		n.sim.after(10*time.Millisecond, n.tick)
	})
}

func (n *node) step(e Event) {
	n.sim.steps++
	for _, effect := range n.writer.Step(n.sim.now, e) {
		switch f := effect.(type) {
		case Append:
			n.append(f)
		case Written:
			n.recordOutcome(f.Token, outcome{written: true, offset: f.Offset})
		case Rejected:
			n.recordOutcome(f.Token, outcome{code: f.Code})
		}
	}
}

func (n *node) recordOutcome(token uint64, o outcome) {
	_, ended := n.sim.outcomes[token]
	invariant.Check(!ended, invariant.NotRunIsTrue, "token %d completed twice", token)
	o.stream = n.streamOf[token]
	unexpected := o.code == code.AcceptanceUnsure && !n.sim.discarded[token]
	invariant.Check(!unexpected, invariant.NotRunIsTrue, "token %d has an unknown outcome without a discard", token)
	n.sim.outcomes[token] = o
}

// write writes a record whose actor is its token.
func (n *node) write(name platform.Stream, epoch spec.Epoch, record *recordv1.GroupRecord, priority bool) {
	n.sim.lastToken++
	token := n.sim.lastToken
	n.sim.writers[token] = n
	n.streamOf[token] = name
	env := &recordv1.Envelope{
		Epoch: uint64(epoch),
		Actor: fmt.Sprint(token),
		Why:   string(make([]byte, n.sim.rng.IntN(200))),
		Body:  &recordv1.Envelope_Group{Group: record},
	}
	n.step(Write{Stream: name, Envelope: env, Token: token, Priority: priority})
}

// writeRandom writes a claim, or records of the current epoch if the node has
// read that it owns the group.
func (n *node) writeRandom() {
	name := n.sim.streams[n.sim.rng.IntN(len(n.sim.streams))]
	f := &n.readers[name].fence
	if f.OwnedBy(n.id, n.incarnation) {
		for range 1 + n.sim.rng.IntN(6) {
			n.write(name, f.Epoch, &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_JobForgotten{}}, false)
		}
		return
	}
	if n.sim.chance(0.1) {
		claim := &recordv1.Claim{Owner: string(n.id), OwnerIncarnation: uint64(n.incarnation), ReplacesEpoch: uint64(f.Epoch)}
		n.write(name, 0, &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_Claim{Claim: claim}}, true)
	}
}

func (n *node) discard(name platform.Stream) {
	for token, stream := range n.streamOf {
		if stream == name {
			n.sim.discarded[token] = true
		}
	}
	n.step(Discard{Stream: name})
}

// append writes after a delay, which can be so long that newer appends
// overtake it. The response can be lost.
func (n *node) append(e Append) {
	sim := n.sim
	delay := sim.delay()
	if !sim.faultsOff && sim.chance(0.05) {
		delay += sim.between(time.Second, 6*time.Second)
	}
	sim.after(delay, func() {
		failed := !sim.reachable(n.id)
		if !failed {
			sim.appendToLog(e)
		}
		failed = failed || (!sim.faultsOff && sim.chance(sim.responseLoss))
		sim.after(sim.delay(), func() { n.runAfterPause(func() { n.step(appendDone(e, failed)) }) })
	})
}

func appendDone(e Append, failed bool) AppendDone {
	d := AppendDone{Stream: e.Stream, Number: e.Number}
	if failed {
		d.Err = ErrAppenderFull
	}
	return d
}

func (sim *simulation) appendToLog(e Append) {
	for _, data := range e.Records {
		env := new(recordv1.Envelope)
		if err := proto.Unmarshal(data, env); err != nil {
			panic(err)
		}
		sim.log[e.Stream] = append(sim.log[e.Stream], env)
	}
}

func (n *node) read(name platform.Stream) {
	sim := n.sim
	sim.after(sim.delay(), func() {
		f := n.readers[name]
		end := min(len(sim.log[name]), f.next+1+sim.rng.IntN(20))
		records := sim.log[name][f.next:end]
		failed := !sim.reachable(n.id)
		sim.after(sim.delay()+5*time.Millisecond, func() {
			n.runAfterPause(func() {
				if !failed {
					n.deliver(name, records)
				}
				n.read(name)
			})
		})
	})
}

func (n *node) deliver(name platform.Stream, records []*recordv1.Envelope) {
	f := n.readers[name]
	for _, env := range records {
		offset := int64(f.next)
		f.next++
		if !f.filter.Accept(env) {
			continue
		}
		owned := f.fence.OwnedBy(n.id, n.incarnation)
		result := f.fence.Apply(env)
		void := result == fence.Void && !n.sim.mutations.noFence
		if !void {
			f.applied = append(f.applied, offset)
		}
		n.step(RecordRead{Stream: name, Offset: offset, Envelope: env, Void: void})
		if owned && result == fence.Claimed && n.sim.chance(0.5) {
			n.discard(name)
		}
	}
}
