package sched

import (
	"context"
	"sort"
	"time"

	"go.uber.org/zap"

	"redwingvale/internal/code"
	"redwingvale/internal/group"
	"redwingvale/internal/journal"
	"redwingvale/internal/ownership"
	"redwingvale/internal/platform"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// followedGroup is a group whose stream this instance reads, as owner or as
// a candidate.
type followedGroup struct {
	id     spec.GroupID
	core   *group.Core
	right  ownership.Lease
	atTail bool
	stop   context.CancelFunc
	// verdicts holds why workers are in quarantine, as the log states it.
	verdicts map[spec.WorkerID]string
}

// noteVerdict keeps the reason of a verdict on a worker.
func (g *followedGroup) noteVerdict(envelope *recordv1.Envelope) {
	verdict := envelope.GetGroup().GetWorkerVerdict()
	id := spec.WorkerID(verdict.GetWorker())
	if verdict.GetQuarantined() {
		g.verdicts[id] = envelope.GetWhy()
	} else {
		delete(g.verdicts, id)
	}
}

// follow starts to read a group's stream from its first record that is kept.
func (d *decision) follow(now time.Duration, id spec.GroupID) {
	ctx, stop := context.WithCancel(d.ctx)
	g := &followedGroup{id: id, core: d.newGroupCore(id), stop: stop, verdicts: make(map[spec.WorkerID]string)}
	d.groups[id] = g
	d.sched.startReader(ctx, platform.GroupStream(id))
	d.stepGroup(now, g, group.SetServices{Services: d.policyServices(), Known: d.configRead})
	d.stepGroup(now, g, group.SetEntries{Entries: d.activeMembers()})
	d.tellWorkers(now, g)
}

// unfollow stops reading and forgets the group's state.
func (d *decision) unfollow(now time.Duration, id spec.GroupID) {
	g, ok := d.groups[id]
	if !ok {
		return
	}
	g.stop()
	delete(d.groups, id)
	d.discard(now, platform.GroupStream(id))
}

func (d *decision) newGroupCore(id spec.GroupID) *group.Core {
	s := d.sched
	options := group.DefaultOptions()
	options.Group = id
	options.Instance = spec.InstanceID(s.config.Instance)
	options.Incarnation = s.incarnation
	options.UnixMSAtZero = s.start.UnixMilli()
	options.TickEvery = tickPeriod
	options.OwnershipLease = milliseconds(s.config.OwnershipLeaseMS)
	options.TaskLease = milliseconds(s.config.TaskLeaseMS)
	options.Retention = milliseconds(s.config.LogRetentionS * 1000)
	options.HandOffAfter = milliseconds(s.config.HandOffAfterMS)
	options.Grants.UrgentLimit = milliseconds(s.config.UrgentLimitMS)
	return group.New(options, s.deps.NewDecider(id))
}

func (s *Sched) startReader(ctx context.Context, stream platform.Stream) {
	deliver := func(_ context.Context, batch journal.Batch) error {
		// The batch must not reach a later reader of the same stream.
		return s.events.Put(ctx, streamRead{batch: batch})
	}
	reader := journal.NewReader(s.deps.Log, stream, 0, s.readerSettings(), s.now, deliver)
	s.duties.Add(1)
	go func() {
		defer s.duties.Done()
		_ = reader.Run(ctx)
	}()
}

func (s *Sched) readerSettings() journal.ReaderSettings {
	settings := journal.DefaultReaderSettings()
	settings.Wait = min(settings.Wait, milliseconds(s.config.OwnershipLeaseMS)/4)
	return settings
}

// stepGroup runs the core of a group and carries out its effects.
func (d *decision) stepGroup(now time.Duration, g *followedGroup, e group.Event) {
	// The core reuses its slice of effects, and carrying one out can step the
	// same core again.
	effects := append([]group.Effect(nil), g.core.Step(now, e)...)
	for _, effect := range effects {
		d.carryOutGroup(now, g, effect)
	}
}

func (d *decision) carryOutGroup(now time.Duration, g *followedGroup, effect group.Effect) {
	switch out := effect.(type) {
	case group.Write:
		pending := pendingWrite{stream: platform.GroupStream(g.id), group: g.id, token: out.Token}
		d.write(now, out.Envelope, pending, out.Envelope.GetGroup().GetJobSubmitted() == nil)
	case group.Send:
		d.send(now, g, out)
	case group.Reply:
		d.sched.requests.answer(out)
	case group.HandOff:
		d.sched.handOff(d.ctx, g.id, out, d.addressOfOwner(out.Group))
	case group.SendForgetMovedJob:
		d.sched.releaseMoved(d.ctx, g.id, out, d.addressOfOwner(out.Group))
	case group.TaskOverdue:
		d.log("deadline_at_risk", zap.String("group", string(g.id)), zap.String("task", out.Task.String()))
	case group.AbandonEpoch:
		d.abandon(now, g, out)
	case group.JobChanged:
		d.sched.jobChanges.notify(out.Job)
	case group.LogEvent:
		d.log(out.Name, noteFields(g.id, out.Pairs)...)
	}
}

// abandon ends the right to a group whose records expired before they were
// read. A member claims the group anew, because its owner does not act as one.
func (d *decision) abandon(now time.Duration, g *followedGroup, out group.AbandonEpoch) {
	d.log("group_abandoned", zap.String("group", string(g.id)), zap.Uint64("epoch", uint64(out.Epoch)))
	d.stepOwnership(now, ownership.GroupAbandoned{Group: g.id, Epoch: out.Epoch})
}

func (d *decision) send(now time.Duration, g *followedGroup, out group.Send) {
	call := workerCall{group: g.id, send: out}
	if !d.sched.calls.waiting.Offer(call) {
		d.stepGroup(now, g, group.WorkerFailed{Serial: out.Serial, Worker: out.Worker.ID})
	}
}

func noteFields(id spec.GroupID, pairs []string) []zap.Field {
	fields := []zap.Field{zap.String("group", string(id))}
	for i := 0; i+1 < len(pairs); i += 2 {
		fields = append(fields, zap.String(pairs[i], pairs[i+1]))
	}
	return fields
}

// sortedGroups returns the followed groups in the order of their ids.
func (d *decision) sortedGroups() []*followedGroup {
	out := make([]*followedGroup, 0, len(d.groups))
	for _, g := range d.groups {
		out = append(out, g)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

func (d *decision) groupOfStream(stream platform.Stream) *followedGroup {
	id, _ := platform.GroupOf(stream)
	return d.groups[id]
}

// notOwner is the reply to a request for a group that this instance does not
// follow.
func notOwner(request group.Request) group.Reply {
	return group.Reply{Request: request, Code: code.NotOwner}
}
