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

// Core is the state of one worker group. It is not safe for concurrent use.
type Core struct {
	opts    Options
	decider policy.Decider
	follow  *follower
	right   RightChanged

	// What the process knows about its surroundings.
	infos   []WorkerInfo
	largest spec.Resources
	entries []spec.InstanceID
	// departed are the entries that left the active list, and when.
	departed map[spec.InstanceID]time.Duration
	peers    []Peer
	services map[serviceKey]*policy.Service
	// servicesKnown states that a service without an entry has no document.
	servicesKnown bool

	// owner is set while this instance owns the group and has had a right.
	owner *owner

	// lastVerdict is the fence's verdict on the last record that was read.
	lastVerdict fence.Verdict

	now       time.Duration
	out       []Effect
	nextToken Token
	// lastEpoch is the newest epoch in which this process has decided.
	lastEpoch spec.Epoch
	// nextSerial numbers Send effects over all ownerships.
	nextSerial uint64
}

// owner is what the owner knows and does beyond the log.
type owner struct {
	epoch   spec.Epoch
	since   time.Duration
	ledger  *grant.Ledger
	workers map[spec.WorkerID]*contact
	// order holds the workers sorted by id.
	order []spec.WorkerID

	submits  map[spec.JobID]*pendingSubmit
	cancels  map[spec.JobID]*pendingCancel
	receives map[spec.JobID]*pendingReceive
	// written are the records under way, in the order in which they come back.
	written []writtenRecord
	// confirms are cancellations on record whose starts may still take effect.
	confirms []confirm
	// cancelWork are cancelled jobs whose tasks are still to be handled.
	cancelWork []*job
	// ended are jobs that ended or moved and are to be forgotten some time.
	ended          []*job
	intents        int
	holdIntents    time.Duration
	nextReview     time.Duration
	nextScan       time.Duration
	snapshotParts  []*recordv1.GroupSnapshot
	nextSnapshot   time.Duration
	pendingVerdict map[spec.WorkerID]bool
	// overdue are the tasks that were late at the last review.
	overdue map[spec.TaskID]bool
}

// writtenRecord is a Write that is neither read back nor refused.
type writtenRecord struct {
	token    Token
	onReject func(code.Code)
}

// New returns a core that has read nothing. The decider belongs to the core.
func New(opts Options, decider policy.Decider) *Core {
	return &Core{
		opts:     opts,
		decider:  decider,
		follow:   newFollower(opts),
		departed: make(map[spec.InstanceID]time.Duration),
	}
}

// Step takes one event in and returns what is to be done, in order. The
// returned slice is valid until the next call. now never decreases.
func (c *Core) Step(now time.Duration, event Event) []Effect {
	invariant.Check(now >= c.now, invariant.InternalConsistency, "time went back from %s to %s", c.now, now)
	c.now = now
	c.out = c.out[:0]
	c.dispatch(event)
	c.settle()
	return c.out
}

func (c *Core) dispatch(event Event) {
	switch e := event.(type) {
	case RecordRead:
		c.onRecord(e)
	case RecordsExpired:
		c.onExpired()
	case RightChanged:
		c.right = e
	case Rejected:
		c.onRejected(e)
	case Submit:
		c.onSubmit(e)
	case Cancel:
		c.onCancel(e)
	case QueryJob:
		c.onQuery(e)
	case ReceiveJob:
		c.onReceive(e)
	case HandOffAnswered:
		c.onHandOffAnswered(e)
	case MovedEnded:
		c.onMovedEnded(e)
	case MovedReleased:
		c.onMovedReleased(e)
	case RenewGrants:
		c.onRenew(e)
	case WorkerAnswered:
		c.onWorkerAnswered(e)
	case WorkerFailed:
		c.onWorkerFailed(e)
	case SetWorkers:
		c.onWorkers(e)
	case SetServices:
		c.onServices(e)
	case SetEntries:
		c.onEntries(e)
	case SetPeers:
		c.peers = e.Peers
	case Tick:
		c.onTick()
	}
}

// settle starts or ends the ownership after an event.
func (c *Core) settle() {
	if c.owner != nil && !c.ownsEpoch() {
		c.resign("ownership lost")
	}
	if c.owner == nil && c.entitled() && c.right.Epoch > c.lastEpoch {
		c.takeOver()
	}
}

// onExpired starts over with an empty memory. What was sent in the present
// epoch is forgotten, so nothing more can be decided in it.
func (c *Core) onExpired() {
	if c.owner != nil {
		c.emit(Abandon{Epoch: c.owner.epoch})
	}
	c.resign("records expired")
	c.follow.expired()
}

// state returns what the log states.
func (c *Core) state() *state { return c.follow.state }

// ownsEpoch reports whether the log still states the epoch of the ownership.
func (c *Core) ownsEpoch() bool {
	f := &c.state().fence
	return c.follow.complete && f.OwnedBy(c.opts.Instance, c.opts.Incarnation) && f.Epoch == c.owner.epoch
}

// entitled reports whether this instance may decide now, by its right and by
// the log.
func (c *Core) entitled() bool {
	f := &c.state().fence
	return c.follow.complete &&
		c.now < c.right.Until &&
		c.right.Epoch == f.Epoch &&
		f.OwnedBy(c.opts.Instance, c.opts.Incarnation)
}

// deciding reports whether the owner may decide now.
func (c *Core) deciding() bool {
	return c.owner != nil && c.entitled() && c.owner.epoch == c.right.Epoch
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

func (c *Core) note(name string, pairs ...string) { c.emit(Note{Name: name, Pairs: pairs}) }

// write sends a record to the journal. onReject is called when it was refused;
// when it comes back, onRecord handles it like any other record.
func (c *Core) write(why, actor string, body *recordv1.GroupRecord, onReject func(code.Code)) {
	invariant.Check(c.deciding(), invariant.InternalConsistency, "record written without a right")
	c.nextToken++
	if actor == "" {
		actor = string(c.opts.Instance)
	}
	c.owner.written = append(c.owner.written, writtenRecord{token: c.nextToken, onReject: onReject})
	c.emit(Write{
		Token: c.nextToken,
		Envelope: &recordv1.Envelope{
			Epoch: uint64(c.owner.epoch),
			Actor: actor,
			Why:   why,
			Body:  &recordv1.Envelope_Group{Group: body},
		},
	})
}

func (c *Core) onRejected(e Rejected) {
	if c.owner == nil {
		return
	}
	for i, w := range c.owner.written {
		if w.token != e.Token {
			continue
		}
		c.owner.written = append(c.owner.written[:i], c.owner.written[i+1:]...)
		w.onReject(e.Code)
		return
	}
}

// onRecord applies a record and lets the owner act on what it changed.
func (c *Core) onRecord(e RecordRead) {
	changed := c.follow.read(c.now, e)
	c.lastVerdict = changed.verdict
	if changed.verdict == fence.Claimed || changed.verdict == fence.Released {
		return
	}
	if c.owner == nil || !c.ownsEpoch() || spec.Epoch(e.Envelope.GetEpoch()) != c.owner.epoch {
		return
	}
	if changed.verdict == fence.Valid && len(c.owner.written) > 0 {
		c.owner.written = c.owner.written[1:]
	}
	c.readBack(e.Envelope.GetGroup(), changed)
}
