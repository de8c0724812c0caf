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

// decisionLoop is the state of the decision loop: the pure cores and what
// connects them. Only the goroutine of runDecisionLoop accesses it.
type decisionLoop struct {
	sched     *Sched
	ctx       context.Context
	writer    *journal.Writer
	ownership *ownership.Core
	config    *config.Core
	alarms    *alarm.Core
	groups    map[spec.GroupID]*followedGroup
	workers   *workerCatalogue

	// pendingWrites holds the records that have not been read back, by token.
	pendingWrites map[uint64]pendingWrite
	lastToken     uint64
	// heartbeatWaiters holds the channels of the peers that wait for a
	// response, by call.
	heartbeatWaiters map[uint64]chan<- *schedv1.HeartbeatResponse
	lastCall         uint64

	// configLags, clocks, memberIncarnations and removalAttributions serve
	// alarms and operators.
	configLags          *lagTracker
	clocks              *clockRateTracker
	memberIncarnations  map[string]uint64
	removalAttributions map[spec.InstanceID]attribution

	// configLoaded states that a read has reached the tail of the config stream
	// with no record missing. Until it is set, nothing is concluded from the
	// absence of a document.
	configLoaded bool

	lastLogTail   time.Duration
	lastAlarmStep time.Duration
	journalFull   bool
}

// pendingWrite is a record that was passed to the journal and has not been read
// back.
type pendingWrite struct {
	stream platform.Stream
	group  spec.GroupID
	token  group.Token
	// fromOwnership states that the ownership core requested the record;
	// release states that the record releases the epoch.
	fromOwnership bool
	release       bool
	epoch         spec.Epoch
}

func newDecisionLoop(ctx context.Context, s *Sched) *decisionLoop {
	instance := spec.InstanceID(s.config.Instance)
	retention := milliseconds(s.config.LogRetentionS * 1000)
	writerSettings := journal.DefaultSettings(instance, s.incarnation)
	writerSettings.AppendsPerSecond = s.config.AppendsPerSecond
	return &decisionLoop{
		sched:            s,
		ctx:              ctx,
		writer:           journal.NewWriter(writerSettings),
		ownership:        ownership.New(ownershipSettings(s)),
		config:           config.NewCore(config.DefaultOptions(retention)),
		alarms:           alarm.NewCore(),
		groups:           make(map[spec.GroupID]*followedGroup),
		workers:          newWorkerCatalogue(),
		pendingWrites:    make(map[uint64]pendingWrite),
		heartbeatWaiters: make(map[uint64]chan<- *schedv1.HeartbeatResponse),

		configLags:          newLagTracker(),
		clocks:              newClockRateTracker(),
		memberIncarnations:  make(map[string]uint64),
		removalAttributions: make(map[spec.InstanceID]attribution),
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

// runDecisionLoop handles events and ticks until ctx ends.
func (s *Sched) runDecisionLoop(ctx context.Context) error {
	d := newDecisionLoop(ctx, s)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-s.events.Receive():
			d.handle(s.now(), next)
		case <-ticker.C:
			d.handle(s.now(), ticked{})
		}
	}
}

func (d *decisionLoop) handle(now time.Duration, next event) {
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
	case loopCall:
		e.run(d)
	case leaveRequested:
		d.stepOwnership(now, ownership.LeaveRequested{})
	case ticked:
		d.onTick(now)
	}
}

func (d *decisionLoop) onTick(now time.Duration) {
	d.stepWriter(now, journal.Tick{})
	d.stepOwnership(now, ownership.Tick{})
	d.stepConfig(now, config.TickEvent{})
	for _, g := range d.sortedGroups() {
		d.stepGroup(now, g, group.Tick{})
	}
	d.checkAlarms(now)
	d.sched.metrics.observe(d)
}

func (d *decisionLoop) onHeartbeat(now time.Duration, e heartbeatReceived) {
	d.lastCall++
	d.heartbeatWaiters[d.lastCall] = e.response
	d.stepOwnership(now, ownership.HeartbeatReceived{Call: d.lastCall, Request: e.request})
	delete(d.heartbeatWaiters, d.lastCall)
}

func (d *decisionLoop) onWorkerCalled(now time.Duration, e workerCalled) {
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
	d.clocks.addSample(e.report.Worker, e.report.Boot, sample)
	d.stepGroup(now, g, group.WorkerAnswered{
		Serial:     e.call.send.Serial,
		Report:     &e.report,
		SentAt:     e.sentAt,
		ReceivedAt: e.receivedAt,
	})
}

func (d *decisionLoop) onGroupEvent(now time.Duration, e groupEvent) {
	g, ok := d.groups[e.group]
	if !ok {
		d.sched.requests.deliverReply(notOwner(e.request))
		return
	}
	d.stepGroup(now, g, e.event)
}

// log writes one log line for an event.
func (d *decisionLoop) log(name string, fields ...zap.Field) {
	d.sched.log.Info(name, fields...)
}
