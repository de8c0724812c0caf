package sched

import (
	"context"
	"time"

	"go.uber.org/zap"

	"redwingvale/internal/alarm"
	"redwingvale/internal/config"
	"redwingvale/internal/group"
	"redwingvale/internal/journal"
	"redwingvale/internal/ownership"
	"redwingvale/internal/platform"
	"redwingvale/internal/spec"

	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// decision is the state of the decision duty: the pure cores and what joins
// them. Only that duty touches it.
type decision struct {
	sched     *Sched
	ctx       context.Context
	writer    *journal.Writer
	ownership *ownership.Core
	config    *config.Core
	alarms    *alarm.Core
	groups    map[spec.GroupID]*followedGroup
	workers   *workerCatalogue

	// tokens names the writer of each record that waits to be read back.
	tokens    map[uint64]pendingWrite
	lastToken uint64
	// heartbeats holds the peers that wait for a response, by call.
	heartbeats map[uint64]chan<- *schedv1.HeartbeatResponse
	lastCall   uint64

	// lags, clocks, knownMembers and removals serve alarms and operators.
	lags         *lagBook
	clocks       *clockBook
	knownMembers map[string]uint64
	removals     map[spec.InstanceID]operatorWord

	// configRead states that a read has reached the tail of the config stream
	// and that no record was missing then. Until it is set, nothing is decided
	// from the absence of a document.
	configRead bool

	lastLogTail   time.Duration
	lastAlarmStep time.Duration
	journalFull   bool
}

// pendingWrite is a record on its way through the journal.
type pendingWrite struct {
	stream platform.Stream
	group  spec.GroupID
	token  group.Token
	// claim states that the ownership core asked for the record; release that
	// it is a release of the epoch.
	claim   bool
	release bool
	epoch   spec.Epoch
}

func newDecision(ctx context.Context, s *Sched) *decision {
	instance := spec.InstanceID(s.config.Instance)
	retention := milliseconds(s.config.LogRetentionS * 1000)
	writerSettings := journal.DefaultSettings(instance, s.incarnation)
	writerSettings.AppendsPerSecond = s.config.AppendsPerSecond
	return &decision{
		sched:      s,
		ctx:        ctx,
		writer:     journal.NewWriter(writerSettings),
		ownership:  ownership.New(ownershipSettings(s)),
		config:     config.NewCore(config.DefaultOptions(retention)),
		alarms:     alarm.NewCore(),
		groups:     make(map[spec.GroupID]*followedGroup),
		workers:    newWorkerCatalogue(),
		tokens:     make(map[uint64]pendingWrite),
		heartbeats: make(map[uint64]chan<- *schedv1.HeartbeatResponse),

		lags:         newLagBook(),
		clocks:       newClockBook(),
		knownMembers: make(map[string]uint64),
		removals:     make(map[spec.InstanceID]operatorWord),
	}
}

func ownershipSettings(s *Sched) ownership.Settings {
	instance := spec.InstanceID(s.config.Instance)
	out := ownership.DefaultSettings(instance, s.incarnation, spec.DataCentre(s.config.DataCentre))
	out.SchedAddr = s.sockets.Peer.Addr().String()
	out.EntryAddr = s.config.EntryPeerAddr
	out.OwnershipLease = milliseconds(s.config.OwnershipLeaseMS)
	out.ListLag = milliseconds(s.config.ListLagMS)
	out.SnapshotPeriod = milliseconds(s.config.LogRetentionS*1000) / 2
	return out
}

// decide takes events in until ctx ends.
func (s *Sched) decide(ctx context.Context) error {
	d := newDecision(ctx, s)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-s.events.Out():
			d.handle(s.now(), next)
		case <-ticker.C:
			d.handle(s.now(), ticked{})
		}
	}
}

func (d *decision) handle(now time.Duration, next event) {
	switch e := next.(type) {
	case streamRead:
		d.onStreamRead(now, e.batch)
	case configRead:
		d.onConfigRead(now, e)
	case appendDone:
		d.stepWriter(now, e.done)
	case heartbeatReceived:
		d.onHeartbeat(now, e)
	case heartbeatAnswered:
		d.stepOwnership(now, ownership.HeartbeatAnswered{To: e.to, SentAt: e.sentAt, Response: e.response})
	case workerCalled:
		d.onWorkerCalled(now, e)
	case instancesListed:
		d.onInstances(now, e.entries)
	case groupEvent:
		d.onGroupEvent(now, e)
	case inspect:
		e.run(d)
	case leaveRequested:
		d.stepOwnership(now, ownership.LeaveRequested{})
	case ticked:
		d.onTick(now)
	}
}

func (d *decision) onTick(now time.Duration) {
	d.stepWriter(now, journal.Tick{})
	d.stepOwnership(now, ownership.Tick{})
	d.stepConfig(now, config.TickEvent{})
	for _, g := range d.sortedGroups() {
		d.stepGroup(now, g, group.Tick{})
	}
	d.checkAlarms(now)
	d.sched.metrics.observe(d)
}

func (d *decision) onHeartbeat(now time.Duration, e heartbeatReceived) {
	d.lastCall++
	d.heartbeats[d.lastCall] = e.response
	d.stepOwnership(now, ownership.HeartbeatReceived{Call: d.lastCall, Request: e.request})
	delete(d.heartbeats, d.lastCall)
}

func (d *decision) onWorkerCalled(now time.Duration, e workerCalled) {
	g, ok := d.groups[e.call.group]
	if !ok {
		return
	}
	if e.err != nil {
		failed := group.WorkerFailed{Serial: e.call.send.Serial, Worker: e.call.send.Worker.ID}
		d.stepGroup(now, g, failed)
		return
	}
	sample := clockSample{reading: e.report.Clock, from: e.sentAt, to: e.receivedAt}
	d.clocks.note(e.report.Worker, e.report.Boot, sample)
	d.stepGroup(now, g, group.WorkerAnswered{
		Serial:     e.call.send.Serial,
		Report:     &e.report,
		SentAt:     e.sentAt,
		ReceivedAt: e.receivedAt,
	})
}

func (d *decision) onGroupEvent(now time.Duration, e groupEvent) {
	g, ok := d.groups[e.group]
	if !ok {
		d.sched.requests.answer(notOwner(e.request))
		return
	}
	d.stepGroup(now, g, e.event)
}

// log writes one line for an event.
func (d *decision) log(name string, fields ...zap.Field) {
	d.sched.log.Info(name, fields...)
}
