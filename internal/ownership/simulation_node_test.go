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

// node is a simulated instance: one core and one journal writer, connected to the
// simulation.
type node struct {
	sim         *simulation
	id          spec.InstanceID
	incarnation spec.Incarnation
	core        *Core
	writer      *journal.Writer
	start       time.Duration
	rate        float64
	running     bool
	pausedUntil time.Duration
	leaving     bool
	alarmActive bool
	lastToken   uint64
	pending     map[uint64]AppendRejected
	readers     map[platform.Stream]*reader
	lastCall    uint64
	responders  map[uint64]func(Respond)
}

type reader struct {
	group  spec.GroupID
	next   int
	filter *journal.DuplicateFilter
	fence  fence.Fence
}

func instanceID(i int) spec.InstanceID { return spec.InstanceID(fmt.Sprintf("i%02d", i)) }

// startNode starts a new instance, or a new incarnation of an existing one.
func (sim *simulation) startNode(id spec.InstanceID, incarnation spec.Incarnation, index int) *node {
	n := &node{
		sim: sim, id: id, incarnation: incarnation, start: sim.now, running: true,
		rate:       1 + (sim.rng.Float64()-0.5)/1000,
		pending:    make(map[uint64]AppendRejected),
		readers:    make(map[platform.Stream]*reader),
		responders: make(map[uint64]func(Respond)),
	}
	settings := DefaultSettings(id, incarnation, dataCentre(index))
	settings.SnapshotPeriod = 20 * time.Second
	settings.LogStaleness = sim.staleness
	n.core = New(settings)
	n.core.mutations = sim.mutations
	n.writer = journal.NewWriter(journal.DefaultSettings(id, incarnation))
	sim.runningNodes[id] = n
	sim.recordListState(id, platform.InstanceLive)
	n.step(GroupsKnown{Groups: sim.groups})
	n.follow(platform.MembersStream, "")
	n.tick()
	n.pollInstanceList()
	return n
}

func (sim *simulation) startNewNode() *node {
	sim.lastIndex++
	return sim.startNode(instanceID(sim.lastIndex), 1, sim.lastIndex)
}

func (n *node) clock() time.Duration {
	return time.Duration(float64(n.sim.now-n.start) * n.rate)
}

func (n *node) simulationTime(local time.Duration) time.Duration {
	return n.start + time.Duration(float64(local)/n.rate)
}

func (n *node) crash() {
	n.running = false
	delete(n.sim.runningNodes, n.id)
	n.sim.recordListState(n.id, platform.InstanceGone)
}

// whenRunning calls run now, or at the end of the pause if the process is paused.
// It does nothing after a crash.
func (n *node) whenRunning(run func()) {
	if n.sim.now < n.pausedUntil {
		n.sim.after(n.pausedUntil-n.sim.now, func() { n.whenRunning(run) })
		return
	}
	if n.running {
		run()
	}
}

func (n *node) tick() {
	n.whenRunning(func() {
		n.step(Tick{})
		n.stepWriter(journal.Tick{})
		n.sim.after(25*time.Millisecond, n.tick)
	})
}

func (n *node) pollInstanceList() {
	n.whenRunning(func() {
		n.step(InstanceList{Entries: n.sim.list()})
		n.sim.after(time.Second, n.pollInstanceList)
	})
}

func (n *node) step(e Event) {
	if !n.running {
		return
	}
	n.sim.steps++
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
		n.stepWriter(journal.Discard{Stream: platform.GroupStream(e.Group)})
	case SendHeartbeat:
		n.send(e)
	case Respond:
		n.responders[e.Call](e)
		delete(n.responders, e.Call)
	case Follow:
		n.follow(platform.GroupStream(e.Group), e.Group)
	case Unfollow:
		delete(n.readers, platform.GroupStream(e.Group))
	case Lease:
		n.sim.recordLease(n, e.Group, e.Until)
	case Alarm:
		n.alarmActive = e.Active
	case LeaveDone:
		n.crash()
	}
}

func groupEnvelope(epoch spec.Epoch, record *recordv1.GroupRecord) *recordv1.Envelope {
	return &recordv1.Envelope{Epoch: uint64(epoch), Body: &recordv1.Envelope_Group{Group: record}}
}

func (n *node) write(name platform.Stream, env *recordv1.Envelope, rejected AppendRejected) {
	n.lastToken++
	n.pending[n.lastToken] = rejected
	n.stepWriter(journal.Write{Stream: name, Envelope: env, Token: n.lastToken, Priority: true, SkipBatchDelay: true})
}

func (n *node) stepWriter(e journal.Event) {
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
				n.sim.after(0, func() { n.whenRunning(func() { n.step(rejected) }) })
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
	n.sim.append(n.id, e.Stream, records, func(failed bool) {
		done := journal.AppendDone{Stream: e.Stream, Number: e.Number}
		if failed {
			done.Err = journal.ErrAppenderFull
		}
		n.whenRunning(func() { n.stepWriter(done) })
	})
}

func (n *node) follow(name platform.Stream, group spec.GroupID) {
	r := &reader{group: group, filter: journal.NewDuplicateFilter()}
	n.readers[name] = r
	n.read(name, r)
}

func (n *node) read(name platform.Stream, r *reader) {
	if !n.running || n.readers[name] != r {
		return
	}
	sentAt := n.clock()
	n.sim.read(n.id, name, r.next, 1+n.sim.rng.IntN(20), func(records []*recordv1.Envelope, atTail, failed bool) {
		n.whenRunning(func() {
			if n.readers[name] != r {
				return
			}
			if failed {
				n.sim.after(n.sim.between(50*time.Millisecond, 300*time.Millisecond), func() {
					n.whenRunning(func() { n.read(name, r) })
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
			n.step(MembersRecord{Offset: offset, Envelope: env})
			n.stepWriter(journal.RecordRead{Stream: name, Offset: offset, Envelope: env})
			continue
		}
		if !r.filter.Accept(env) {
			continue
		}
		result := r.fence.Apply(env)
		n.stepWriter(journal.RecordRead{Stream: name, Offset: offset, Envelope: env, Void: result == fence.Void})
		if result == fence.Claimed || result == fence.Released {
			n.step(GroupFence{Group: r.group, Fence: r.fence})
		}
	}
	if r.group == "" {
		n.step(MembersRead{SentAt: sentAt, AtTail: atTail})
		return
	}
	n.step(StreamRead{Group: r.group, SentAt: sentAt, AtTail: atTail})
}

// send transmits a heartbeat and its response. Either can be lost or delayed, and
// the request can arrive twice.
func (n *node) send(e SendHeartbeat) {
	copies := 1
	if !n.sim.faultsOff && n.sim.chance(0.02) {
		copies = 2
	}
	for range copies {
		d, lost := n.sim.delay(n.id, e.To)
		if !lost {
			n.sim.after(d, func() { n.sim.deliverHeartbeat(n, e) })
		}
	}
}

func (sim *simulation) deliverHeartbeat(from *node, e SendHeartbeat) {
	to := sim.runningNodes[e.To]
	if to == nil {
		return
	}
	to.whenRunning(func() {
		to.lastCall++
		to.responders[to.lastCall] = func(r Respond) {
			d, lost := sim.delay(to.id, from.id)
			if lost {
				return
			}
			answered := HeartbeatAnswered{To: e.To, SentAt: e.SentAt, Response: r.Response}
			sim.after(d, func() { from.whenRunning(func() { from.step(answered) }) })
		}
		to.step(HeartbeatReceived{Call: to.lastCall, Request: e.Request})
	})
}
