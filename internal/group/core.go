package group

import (
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/fence"
	"redwingvale/internal/grant"
	"redwingvale/internal/invariant"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// Core is the state machine of one worker group. It is not safe for concurrent
// use.
type Core struct {
	opts           Options
	decider        policy.Decider
	follower       *follower
	ownershipLease OwnershipLeaseChanged

	// The workers, entries, peer groups and services as last set by events.
	workerInfos   []WorkerInfo
	largestWorker spec.Resources
	entries       []spec.InstanceID
	// departedEntries holds the time at which each entry left the active list.
	departedEntries map[spec.InstanceID]time.Duration
	peers           []Peer
	services        map[serviceKey]*policy.Service
	// servicesKnown is set when all services have been read: a service that is
	// missing from services then has no document.
	servicesKnown bool

	// owner is set from the takeover until the ownership ends; it stays set
	// while the ownership lease has expired.
	owner *owner

	// lastFenceResult is the fence's result for the last record that was read.
	lastFenceResult fence.Result

	now       time.Duration
	effects   []Effect
	lastToken Token
	// lastEpoch is the newest epoch in which this process has taken over.
	lastEpoch spec.Epoch
	// lastSerial is the serial of the last Send effect. Serials are not reused in
	// later ownerships.
	lastSerial uint64
}

// owner is the volatile state of an ownership, which is not in the log.
type owner struct {
	epoch       spec.Epoch
	takenOverAt time.Duration
	ledger      *grant.Ledger
	workers     map[spec.WorkerID]*workerState
	// workerOrder holds the ids of workers in ascending order.
	workerOrder []spec.WorkerID

	pendingSubmits  map[spec.JobID]*pendingSubmit
	pendingCancels  map[spec.JobID]*pendingCancel
	pendingReceives map[spec.JobID]*pendingReceive
	// pendingWrites are the writes in flight, in the order in which their
	// records will be read back.
	pendingWrites []pendingWrite
	// unconfirmedCancels are recorded cancellations of jobs for which a start
	// command may still take effect.
	unconfirmedCancels []unconfirmedCancel
	// cancelQueue holds cancelled jobs with tasks that are not yet stopped or
	// removed from the queue.
	cancelQueue []*job
	// closedJobs are jobs that ended or moved and have not been forgotten yet.
	closedJobs         []*job
	pendingIntents     int
	intentsPausedUntil time.Duration
	nextReview         time.Duration
	nextScan           time.Duration
	snapshotParts      []*recordv1.GroupSnapshot
	nextSnapshot       time.Duration
	pendingQuarantine  map[spec.WorkerID]bool
	// overdue are the tasks that could not meet their deadline at the last
	// review.
	overdue map[spec.TaskID]bool
}

// pendingWrite is a Write whose record has been neither read back nor rejected.
type pendingWrite struct {
	token    Token
	onReject func(code.Code)
}

// New returns a core that has read no records. It takes ownership of decider.
func New(opts Options, decider policy.Decider) *Core {
	return &Core{
		opts:            opts,
		decider:         decider,
		follower:        newFollower(opts),
		departedEntries: make(map[spec.InstanceID]time.Duration),
	}
}

// Step handles one event and returns the resulting effects, to be executed in
// order. The returned slice is valid until the next call. now must not
// decrease.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	invariant.Check(now >= c.now, invariant.InternalConsistency, "clock went backwards from %s to %s", c.now, now)
	c.now = now
	c.effects = c.effects[:0]
	c.dispatch(event)
	c.updateOwnership()
	return c.effects
}

func (c *Core) dispatch(event Event) {
	switch e := event.(type) {
	case RecordRead:
		c.onRecord(e)
	case RecordsExpired:
		c.onRecordsExpired()
	case OwnershipLeaseChanged:
		c.ownershipLease = e
	case WriteRejected:
		c.onWriteRejected(e)
	case Submit:
		c.onSubmit(e)
	case Cancel:
		c.onCancel(e)
	case QueryJob:
		c.onQueryJob(e)
	case ReceiveJob:
		c.onReceiveJob(e)
	case HandOffAnswered:
		c.onHandOffAnswered(e)
	case ForgetMovedJob:
		c.onForgetMovedJob(e)
	case MovedJobForgotten:
		c.onMovedJobForgotten(e)
	case RenewGrants:
		c.onRenewGrants(e)
	case WorkerAnswered:
		c.onWorkerAnswered(e)
	case WorkerFailed:
		c.onWorkerFailed(e)
	case SetWorkers:
		c.onSetWorkers(e)
	case SetServices:
		c.onSetServices(e)
	case SetEntries:
		c.onSetEntries(e)
	case SetPeers:
		c.peers = e.Peers
	case Tick:
		c.onTick()
	}
}

// updateOwnership takes the group over or resigns if the event changed who owns
// it.
func (c *Core) updateOwnership() {
	if c.owner != nil && !c.ownsEpoch() {
		c.resign("ownership lost")
	}
	if c.owner == nil && c.mayDecide() && c.ownershipLease.Epoch > c.lastEpoch {
		c.takeOver()
	}
}

// onRecordsExpired discards all state. The core no longer knows which commands
// it sent in the current epoch, so it makes no further decisions in that epoch.
func (c *Core) onRecordsExpired() {
	if c.owner != nil {
		c.emit(AbandonEpoch{Epoch: c.owner.epoch})
	}
	c.resign("records expired")
	c.follower.reset()
}

// state returns the state that results from the applied records.
func (c *Core) state() *state { return c.follower.state }

// ownsEpoch reports whether, according to the log, this instance still owns the
// group in the epoch in which it took over.
func (c *Core) ownsEpoch() bool {
	f := &c.state().fence
	return c.follower.complete && f.OwnedBy(c.opts.Instance, c.opts.Incarnation) && f.Epoch == c.owner.epoch
}

// mayDecide reports whether this instance owns the group according to the log
// and holds an unexpired ownership lease for the same epoch.
func (c *Core) mayDecide() bool {
	f := &c.state().fence
	return c.follower.complete &&
		c.now < c.ownershipLease.Until &&
		c.ownershipLease.Epoch == f.Epoch &&
		f.OwnedBy(c.opts.Instance, c.opts.Incarnation)
}

// deciding reports whether this instance has taken the group over and may
// decide now.
func (c *Core) deciding() bool {
	return c.owner != nil && c.mayDecide() && c.owner.epoch == c.ownershipLease.Epoch
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) logEvent(name string, pairs ...string) { c.emit(LogEvent{Name: name, Pairs: pairs}) }

// write sends a record to the journal. onReject is called if the journal
// rejects it; when the record is read back, onRecord handles it like any other.
func (c *Core) write(why, actor string, body *recordv1.GroupRecord, onReject func(code.Code)) {
	invariant.Check(c.deciding(), invariant.InternalConsistency, "record written without a valid ownership lease")
	c.lastToken++
	if actor == "" {
		actor = string(c.opts.Instance)
	}
	c.owner.pendingWrites = append(c.owner.pendingWrites, pendingWrite{token: c.lastToken, onReject: onReject})
	c.emit(Write{
		Token: c.lastToken,
		Envelope: &recordv1.Envelope{
			Epoch: uint64(c.owner.epoch),
			Actor: actor,
			Why:   why,
			Body:  &recordv1.Envelope_Group{Group: body},
		},
	})
}

func (c *Core) onWriteRejected(e WriteRejected) {
	if c.owner == nil {
		return
	}
	for i, pending := range c.owner.pendingWrites {
		if pending.token != e.Token {
			continue
		}
		c.owner.pendingWrites = append(c.owner.pendingWrites[:i], c.owner.pendingWrites[i+1:]...)
		pending.onReject(e.Code)
		return
	}
}

// onRecord applies a record. If this instance wrote it in its current
// ownership, onOwnRecord acts on the change.
func (c *Core) onRecord(e RecordRead) {
	changed := c.follower.read(c.now, e)
	c.lastFenceResult = changed.fenceResult
	if changed.fenceResult == fence.Claimed || changed.fenceResult == fence.Released {
		return
	}
	if c.owner == nil || !c.ownsEpoch() || spec.Epoch(e.Envelope.GetEpoch()) != c.owner.epoch {
		return
	}
	if changed.fenceResult == fence.Valid && len(c.owner.pendingWrites) > 0 {
		c.owner.pendingWrites = c.owner.pendingWrites[1:]
	}
	c.onOwnRecord(e.Envelope.GetGroup(), changed)
}
