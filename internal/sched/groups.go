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
	lease  ownership.Lease
	atTail bool
	stop   context.CancelFunc
	// quarantineReasons holds the reason of each worker's quarantine, from the
	// log.
	quarantineReasons map[spec.WorkerID]string
}

// recordQuarantine stores the reason of a worker's quarantine, or deletes it
// when the quarantine ends.
func (g *followedGroup) recordQuarantine(envelope *recordv1.Envelope) {
	verdict := envelope.GetGroup().GetWorkerVerdict()
	id := spec.WorkerID(verdict.GetWorker())
	if verdict.GetQuarantined() {
		g.quarantineReasons[id] = envelope.GetWhy()
	} else {
		delete(g.quarantineReasons, id)
	}
}

// follow starts to read a group's stream from the oldest record that the log
// keeps.
func (d *decisionLoop) follow(now time.Duration, id spec.GroupID) {
	ctx, stop := context.WithCancel(d.ctx)
	g := &followedGroup{id: id, core: d.newGroupCore(id), stop: stop, quarantineReasons: make(map[spec.WorkerID]string)}
	d.groups[id] = g
	d.sched.startReader(ctx, platform.GroupStream(id))
	d.stepGroup(now, g, group.SetServices{Services: d.policyServices(), Known: d.configLoaded})
	d.stepGroup(now, g, group.SetEntries{Entries: d.activeMembers()})
	d.updateWorkers(now, g)
}

// unfollow stops reading a group's stream and drops the group's state.
func (d *decisionLoop) unfollow(now time.Duration, id spec.GroupID) {
	g, ok := d.groups[id]
	if !ok {
		return
	}
	g.stop()
	delete(d.groups, id)
	d.discard(now, platform.GroupStream(id))
}

func (d *decisionLoop) newGroupCore(id spec.GroupID) *group.Core {
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
		// The call uses this reader's context: after the reader has been
		// stopped, its batch must not be taken for one of a later reader of the
		// same stream.
		return s.events.Put(ctx, streamRead{batch: batch})
	}
	reader := journal.NewReader(s.deps.Log, stream, 0, s.readerSettings(), s.now, deliver)
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		_ = reader.Run(ctx)
	}()
}

func (s *Sched) readerSettings() journal.ReaderSettings {
	settings := journal.DefaultReaderSettings()
	settings.LongPoll = min(settings.LongPoll, milliseconds(s.config.OwnershipLeaseMS)/4)
	return settings
}

// stepGroup runs the core of a group and executes its effects.
func (d *decisionLoop) stepGroup(now time.Duration, g *followedGroup, e group.Event) {
	// The core reuses its slice of effects, and executing one can step the same
	// core again.
	effects := append([]group.Effect(nil), g.core.Step(now, e)...)
	for _, effect := range effects {
		d.executeGroupEffect(now, g, effect)
	}
}

func (d *decisionLoop) executeGroupEffect(now time.Duration, g *followedGroup, effect group.Effect) {
	switch out := effect.(type) {
	case group.Write:
		pending := pendingWrite{stream: platform.GroupStream(g.id), group: g.id, token: out.Token}
		d.write(now, out.Envelope, pending, out.Envelope.GetGroup().GetJobSubmitted() == nil)
	case group.Send:
		d.send(now, g, out)
	case group.Reply:
		d.sched.requests.deliverReply(out)
	case group.HandOff:
		d.sched.handOff(d.ctx, g.id, out, d.addressOfOwner(out.Group))
	case group.SendForgetMovedJob:
		d.sched.sendForgetMovedJob(d.ctx, g.id, out, d.addressOfOwner(out.Group))
	case group.TaskOverdue:
		d.log("deadline_at_risk", zap.String("group", string(g.id)), zap.String("task", out.Task.String()))
	case group.AbandonEpoch:
		d.abandonEpoch(now, g, out)
	case group.JobChanged:
		d.sched.jobChanges.notify(out.Job)
	case group.LogEvent:
		d.log(out.Name, logEventFields(g.id, out.Pairs)...)
	}
}

// abandonEpoch ends this instance's ownership of a group whose records expired
// before they were read. A member claims the group again, because the owner no
// longer acts as one.
func (d *decisionLoop) abandonEpoch(now time.Duration, g *followedGroup, out group.AbandonEpoch) {
	d.log("group_abandoned", zap.String("group", string(g.id)), zap.Uint64("epoch", uint64(out.Epoch)))
	d.stepOwnership(now, ownership.GroupAbandoned{Group: g.id, Epoch: out.Epoch})
}

func (d *decisionLoop) send(now time.Duration, g *followedGroup, out group.Send) {
	call := workerCall{group: g.id, send: out}
	if !d.sched.calls.queue.Offer(call) {
		d.stepGroup(now, g, group.WorkerFailed{Serial: out.Serial, Worker: out.Worker.ID})
	}
}

func logEventFields(id spec.GroupID, pairs []string) []zap.Field {
	fields := []zap.Field{zap.String("group", string(id))}
	for i := 0; i+1 < len(pairs); i += 2 {
		fields = append(fields, zap.String(pairs[i], pairs[i+1]))
	}
	return fields
}

// sortedGroups returns the followed groups in the order of their ids.
func (d *decisionLoop) sortedGroups() []*followedGroup {
	out := make([]*followedGroup, 0, len(d.groups))
	for _, g := range d.groups {
		out = append(out, g)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

func (d *decisionLoop) groupOfStream(stream platform.Stream) *followedGroup {
	id, _ := platform.GroupOf(stream)
	return d.groups[id]
}

// notOwner is the reply to a request for a group that this instance does not
// follow.
func notOwner(request group.Request) group.Reply {
	return group.Reply{Request: request, Code: code.NotOwner}
}
