package ownership

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingvale/internal/code"
	"redwingvale/internal/fence"
	"redwingvale/internal/journal"
	"redwingvale/internal/platform"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// node wires one core and one journal writer to the world.
type node struct {
	w           *world
	id          spec.InstanceID
	incarnation spec.Incarnation
	core        *Core
	writer      *journal.Writer
	start       time.Duration
	rate        float64
	alive       bool
	pausedUntil time.Duration
	leaving     bool
	alarmed     bool
	token       uint64
	pending     map[uint64]AppendRejected
	readers     map[platform.Stream]*reader
	calls       uint64
	answers     map[uint64]func(Respond)
}

type reader struct {
	group  spec.GroupID
	next   int
	filter *journal.Filter
	fence  fence.Fence
}

func instanceID(i int) spec.InstanceID { return spec.InstanceID(fmt.Sprintf("i%02d", i)) }

// spawn starts a new instance, or restarts one in place.
func (w *world) spawn(id spec.InstanceID, incarnation spec.Incarnation, index int) *node {
	n := &node{
		w: w, id: id, incarnation: incarnation, start: w.now, alive: true,
		rate:    1 + (w.rng.Float64()-0.5)/1000,
		pending: make(map[uint64]AppendRejected),
		readers: make(map[platform.Stream]*reader),
		answers: make(map[uint64]func(Respond)),
	}
	settings := DefaultSettings(id, incarnation, dataCentre(index))
	settings.SnapshotPeriod = 20 * time.Second
	settings.LogStaleness = w.staleness
	n.core = New(settings)
	n.core.faults = w.faults
	n.writer = journal.NewWriter(journal.DefaultSettings(id, incarnation))
	w.live[id] = n
	w.listed(id, platform.InstanceLive)
	n.event(GroupsKnown{Groups: w.groups})
	n.follow(platform.MembersStream, "")
	n.tick()
	n.watchList()
	return n
}

func (w *world) spawnNew() *node {
	w.next++
	return w.spawn(instanceID(w.next), 1, w.next)
}

func (n *node) clock() time.Duration {
	return time.Duration(float64(n.w.now-n.start) * n.rate)
}

func (n *node) trueTime(local time.Duration) time.Duration {
	return n.start + time.Duration(float64(local)/n.rate)
}

func (n *node) crash() {
	n.alive = false
	delete(n.w.live, n.id)
	n.w.listed(n.id, platform.InstanceGone)
}

// whenAwake runs now, or after the pause that the process is in.
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
		n.event(Tick{})
		n.journal(journal.Tick{})
		n.w.after(25*time.Millisecond, n.tick)
	})
}

func (n *node) watchList() {
	n.whenAwake(func() {
		n.event(InstanceList{Entries: n.w.list()})
		n.w.after(time.Second, n.watchList)
	})
}

func (n *node) event(e Event) {
	if !n.alive {
		return
	}
	n.w.steps++
	for _, effect := range n.core.Step(n.clock(), e) {
		n.carryOut(effect)
	}
}

func (n *node) carryOut(effect Effect) {
	switch e := effect.(type) {
	case AppendMembers:
		n.write(platform.MembersStream, &recordv1.Envelope{
			Body: &recordv1.Envelope_Members{Members: e.Record},
		}, AppendRejected{})
	case AppendClaim:
		claim := &recordv1.Claim{Owner: string(n.id), OwnerIncarnation: uint64(n.incarnation), ReplacesEpoch: uint64(e.Replaces)}
		n.write(platform.GroupStream(e.Group), groupEnvelope(0, &recordv1.GroupRecord{
			Kind: &recordv1.GroupRecord_Claim{Claim: claim},
		}), AppendRejected{Group: e.Group})
	case AppendRelease:
		release := &recordv1.Release{NextOwner: string(e.Next)}
		n.write(platform.GroupStream(e.Group), groupEnvelope(e.Epoch, &recordv1.GroupRecord{
			Kind: &recordv1.GroupRecord_Release{Release: release},
		}), AppendRejected{Group: e.Group, Release: true, Epoch: e.Epoch})
	case WithdrawClaim:
		n.journal(journal.Discard{Stream: platform.GroupStream(e.Group)})
	case SendHeartbeat:
		n.send(e)
	case Respond:
		n.answers[e.Call](e)
		delete(n.answers, e.Call)
	case Follow:
		n.follow(platform.GroupStream(e.Group), e.Group)
	case Unfollow:
		delete(n.readers, platform.GroupStream(e.Group))
	case Right:
		n.w.right(n, e.Group, e.Until)
	case Alarm:
		n.alarmed = e.Active
	case LeaveDone:
		n.crash()
	}
}

func groupEnvelope(epoch spec.Epoch, record *recordv1.GroupRecord) *recordv1.Envelope {
	return &recordv1.Envelope{Epoch: uint64(epoch), Body: &recordv1.Envelope_Group{Group: record}}
}

func (n *node) write(name platform.Stream, env *recordv1.Envelope, rejected AppendRejected) {
	n.token++
	n.pending[n.token] = rejected
	n.journal(journal.Write{Stream: name, Envelope: env, Token: n.token, Priority: true, Urgent: true})
}

func (n *node) journal(e journal.Event) {
	for _, effect := range n.writer.Step(n.clock(), e) {
		switch f := effect.(type) {
		case journal.Append:
			n.append(f)
		case journal.Written:
			delete(n.pending, f.Token)
		case journal.Rejected:
			rejected := n.pending[f.Token]
			delete(n.pending, f.Token)
			if f.Code != code.AcceptanceUnsure && rejected.Group != "" {
				n.w.after(0, func() { n.whenAwake(func() { n.event(rejected) }) })
			}
		}
	}
}

func (n *node) append(e journal.Append) {
	records := make([]*recordv1.Envelope, len(e.Records))
	for i, data := range e.Records {
		records[i] = new(recordv1.Envelope)
		if err := proto.Unmarshal(data, records[i]); err != nil {
			panic(err)
		}
	}
	n.w.append(n.id, e.Stream, records, func(failed bool) {
		done := journal.AppendDone{Stream: e.Stream, Number: e.Number}
		if failed {
			done.Err = journal.ErrAppenderFull
		}
		n.whenAwake(func() { n.journal(done) })
	})
}

func (n *node) follow(name platform.Stream, group spec.GroupID) {
	r := &reader{group: group, filter: journal.NewFilter()}
	n.readers[name] = r
	n.read(name, r)
}

func (n *node) read(name platform.Stream, r *reader) {
	if !n.alive || n.readers[name] != r {
		return
	}
	sentAt := n.clock()
	n.w.read(n.id, name, r.next, 1+n.w.rng.IntN(20), func(records []*recordv1.Envelope, atTail, failed bool) {
		n.whenAwake(func() {
			if n.readers[name] != r {
				return
			}
			if failed {
				n.w.after(n.w.between(50*time.Millisecond, 300*time.Millisecond), func() {
					n.whenAwake(func() { n.read(name, r) })
				})
				return
			}
			n.deliver(name, r, records, sentAt, atTail)
			n.read(name, r)
		})
	})
}

func (n *node) deliver(name platform.Stream, r *reader, records []*recordv1.Envelope, sentAt time.Duration, atTail bool) {
	for _, env := range records {
		offset := int64(r.next)
		r.next++
		if r.group == "" {
			n.event(MembersRecord{Offset: offset, Envelope: env})
			n.journal(journal.RecordRead{Stream: name, Offset: offset, Envelope: env})
			continue
		}
		if !r.filter.Accept(env) {
			continue
		}
		verdict := r.fence.Apply(env)
		n.journal(journal.RecordRead{Stream: name, Offset: offset, Envelope: env, Void: verdict == fence.Void})
		if verdict == fence.Claimed || verdict == fence.Released {
			n.event(GroupFence{Group: r.group, Fence: r.fence})
		}
	}
	if r.group == "" {
		n.event(MembersRead{SentAt: sentAt, AtTail: atTail})
		return
	}
	n.event(StreamRead{Group: r.group, SentAt: sentAt, AtTail: atTail})
}

// send carries a heartbeat and its response; either can be lost, delayed, and
// the request can arrive twice.
func (n *node) send(e SendHeartbeat) {
	copies := 1
	if !n.w.calm && n.w.chance(0.02) {
		copies = 2
	}
	for range copies {
		d, lost := n.w.delay(n.id, e.To)
		if !lost {
			n.w.after(d, func() { n.w.arrive(n, e) })
		}
	}
}

func (w *world) arrive(from *node, e SendHeartbeat) {
	to := w.live[e.To]
	if to == nil {
		return
	}
	to.whenAwake(func() {
		to.calls++
		to.answers[to.calls] = func(r Respond) {
			d, lost := w.delay(to.id, from.id)
			if lost {
				return
			}
			answered := HeartbeatAnswered{To: e.To, SentAt: e.SentAt, Response: r.Response}
			w.after(d, func() { from.whenAwake(func() { from.event(answered) }) })
		}
		to.event(HeartbeatReceived{Call: to.calls, Request: e.Request})
	})
}
