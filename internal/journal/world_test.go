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

// broken switches single mechanisms off.
type broken struct {
	writer   faults
	noFence  bool
	noFilter bool
}

// world is a seeded simulation of instances that write and read streams of a
// fake log. It keeps what each writer was told and what each reader applied.
type world struct {
	rng    *rand.Rand
	broken broken
	now    time.Duration
	queue  timers
	order  uint64
	steps  int
	calm   bool
	log    map[platform.Stream][]*recordv1.Envelope
	nodes  []*node
	tokens uint64
	told   map[uint64]outcome
	// asked maps each token to whether its writer still runs.
	asked    map[uint64]*node
	discards map[uint64]bool
	logDown  bool
	cut      map[spec.InstanceID]bool
	lost     float64
	slow     time.Duration
	names    []platform.Stream
}

// outcome is how a token ended.
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
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(w.rng.Int64N(int64(hi-lo)+1))
}

func (w *world) delay() time.Duration {
	if w.calm || w.slow == 0 {
		return w.between(time.Millisecond, 8*time.Millisecond)
	}
	return w.between(time.Millisecond, w.slow)
}

func (w *world) reachable(id spec.InstanceID) bool {
	return w.calm || (!w.logDown && !w.cut[id])
}

// node is one run of an instance: a writer and a reader of each stream.
type node struct {
	w           *world
	id          spec.InstanceID
	incarnation spec.Incarnation
	writer      *Writer
	alive       bool
	pausedUntil time.Duration
	readers     map[platform.Stream]*follower
	streamOf    map[uint64]platform.Stream
}

// follower is one reader of one stream with what it has applied.
type follower struct {
	next    int
	filter  *Filter
	fence   fence.Fence
	applied []int64
}

func (w *world) spawn(id spec.InstanceID, incarnation spec.Incarnation) {
	settings := DefaultSettings(id, incarnation)
	settings.MaxBufferBytes = 6000
	settings.ReservedBytes = 1000
	settings.MaxBatchBytes = 600
	n := &node{
		w: w, id: id, incarnation: incarnation, writer: NewWriter(settings), alive: true,
		readers: make(map[platform.Stream]*follower), streamOf: make(map[uint64]platform.Stream),
	}
	n.writer.faults = w.broken.writer
	w.nodes = append(w.nodes, n)
	for _, name := range w.names {
		n.readers[name] = &follower{filter: NewFilter()}
		n.readers[name].filter.acceptAll = w.broken.noFilter
		n.read(name)
	}
	n.tick()
}

func (n *node) whenAwake(run func()) {
	if n.w.now < n.pausedUntil {
		n.w.after(n.pausedUntil-n.w.now, func() { n.whenAwake(run) })
		return
	}
	if n.alive {
		run()
	}
}

func (n *node) tick() {
	n.whenAwake(func() {
		n.step(Tick{})
		n.w.after(10*time.Millisecond, n.tick)
	})
}

func (n *node) step(e Event) {
	n.w.steps++
	for _, effect := range n.writer.Step(n.w.now, e) {
		switch f := effect.(type) {
		case Append:
			n.append(f)
		case Written:
			n.end(f.Token, outcome{written: true, offset: f.Offset})
		case Rejected:
			n.end(f.Token, outcome{code: f.Code})
		}
	}
}

func (n *node) end(token uint64, o outcome) {
	_, ended := n.w.told[token]
	invariant.Check(!ended, invariant.TrueRefusal, "token %d was told twice", token)
	o.stream = n.streamOf[token]
	unsure := o.code == code.AcceptanceUnsure && !n.w.discards[token]
	invariant.Check(!unsure, invariant.TrueRefusal, "token %d is unsure without a discard", token)
	n.w.told[token] = o
}

// write asks for a record whose actor is its token.
func (n *node) write(name platform.Stream, epoch spec.Epoch, record *recordv1.GroupRecord, priority bool) {
	n.w.tokens++
	token := n.w.tokens
	n.w.asked[token] = n
	n.streamOf[token] = name
	env := &recordv1.Envelope{
		Epoch: uint64(epoch),
		Actor: fmt.Sprint(token),
		Why:   string(make([]byte, n.w.rng.IntN(200))),
		Body:  &recordv1.Envelope_Group{Group: record},
	}
	n.step(Write{Stream: name, Envelope: env, Token: token, Priority: priority})
}

// work writes a claim, or records of the epoch that it believes to own.
func (n *node) work() {
	name := n.w.names[n.w.rng.IntN(len(n.w.names))]
	f := &n.readers[name].fence
	if f.OwnedBy(n.id, n.incarnation) {
		for range 1 + n.w.rng.IntN(6) {
			n.write(name, f.Epoch, &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_JobForgotten{}}, false)
		}
		return
	}
	if n.w.chance(0.1) {
		claim := &recordv1.Claim{Owner: string(n.id), OwnerIncarnation: uint64(n.incarnation), ReplacesEpoch: uint64(f.Epoch)}
		n.write(name, 0, &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_Claim{Claim: claim}}, true)
	}
}

func (n *node) discard(name platform.Stream) {
	for token, stream := range n.streamOf {
		if stream == name {
			n.w.discards[token] = true
		}
	}
	n.step(Discard{Stream: name})
}

// append writes after a delay, which can be so long that newer appends
// overtake it. The answer can be lost.
func (n *node) append(e Append) {
	w := n.w
	delay := w.delay()
	if !w.calm && w.chance(0.05) {
		delay += w.between(time.Second, 6*time.Second)
	}
	w.after(delay, func() {
		failed := !w.reachable(n.id)
		if !failed {
			w.store(e)
		}
		failed = failed || (!w.calm && w.chance(w.lost))
		w.after(w.delay(), func() { n.whenAwake(func() { n.step(done(e, failed)) }) })
	})
}

func done(e Append, failed bool) AppendDone {
	d := AppendDone{Stream: e.Stream, Number: e.Number}
	if failed {
		d.Err = ErrAppenderFull
	}
	return d
}

func (w *world) store(e Append) {
	for _, data := range e.Records {
		env := new(recordv1.Envelope)
		if err := proto.Unmarshal(data, env); err != nil {
			panic(err)
		}
		w.log[e.Stream] = append(w.log[e.Stream], env)
	}
}

func (n *node) read(name platform.Stream) {
	w := n.w
	w.after(w.delay(), func() {
		f := n.readers[name]
		end := min(len(w.log[name]), f.next+1+w.rng.IntN(20))
		records := w.log[name][f.next:end]
		failed := !w.reachable(n.id)
		w.after(w.delay()+5*time.Millisecond, func() {
			n.whenAwake(func() {
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
		verdict := f.fence.Apply(env)
		void := verdict == fence.Void && !n.w.broken.noFence
		if !void {
			f.applied = append(f.applied, offset)
		}
		n.step(RecordRead{Stream: name, Offset: offset, Envelope: env, Void: void})
		if owned && verdict == fence.Claimed && n.w.chance(0.5) {
			n.discard(name)
		}
	}
}
