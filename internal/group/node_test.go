package group

import (
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/policy"
	"redwingvale/internal/policy/firstfit"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// node simulates one instance: a core, its journal and its log reader.
type node struct {
	sim         *sim
	name        spec.InstanceID
	incarnation spec.Incarnation
	core        *Core
	rate        float64
	offset      time.Duration
	pausedUntil time.Duration
	cursor      int
	atTail      bool
	sequence    uint64
	queue       []*recordv1.Envelope
	inFlight    []*recordv1.Envelope
}

// journalLimit is the number of records that the fake journal buffers.
const journalLimit = 48

func (n *node) clock() time.Duration {
	return n.offset + time.Duration(float64(n.sim.now)*n.rate)
}

// start starts a new incarnation of the node with a core that has read nothing.
func (n *node) start() {
	n.incarnation++
	opts := n.sim.opts
	opts.Instance = n.name
	opts.Incarnation = n.incarnation
	n.core = New(opts, &randomDecider{Decider: firstfit.New(), sim: n.sim})
	n.cursor = n.sim.log.first
	n.atTail = false
	n.sequence = 0
	n.queue = nil
	n.inFlight = nil
	n.step(SetEntries{Entries: n.sim.entryNames()})
	n.step(SetServices{Known: true})
	n.step(SetWorkers{Workers: n.sim.workerInfos()})
}

// randomDecider is a decider that also acts on running tasks at random.
type randomDecider struct {
	*firstfit.Decider
	sim    *sim
	placed []policy.Placement
}

func (r *randomDecider) Schedule(now time.Duration, limit int) []policy.Placement {
	out := r.Decider.Schedule(now, limit)
	r.placed = append(r.placed[max(0, len(r.placed)-20):], out...)
	return out
}

func (r *randomDecider) Review(time.Duration) []policy.Action {
	if r.sim.faultsOff || len(r.placed) == 0 {
		return nil
	}
	kinds := []policy.ActionKind{
		policy.ActionEvict, policy.ActionMove, policy.ActionThrottle,
		policy.ActionUnthrottle, policy.ActionQuarantine, policy.ActionRelease,
	}
	p := r.placed[r.sim.rng.IntN(len(r.placed))]
	kind := kinds[r.sim.rng.IntN(len(kinds))]
	return []policy.Action{{Kind: kind, Task: p.Task, Worker: p.Worker, ThrottlePercent: 50}}
}

func (n *node) crash() {
	n.core = nil
	n.sim.after(n.sim.upTo(3*time.Second), n.start)
}

// step passes an event to the core, after the pause if the process is paused.
func (n *node) step(e Event) {
	s := n.sim
	if n.core == nil || s.violation != "" {
		return
	}
	if s.now < n.pausedUntil {
		incarnation := n.incarnation
		s.after(n.pausedUntil-s.now, func() {
			if n.incarnation == incarnation {
				n.step(e)
			}
		})
		return
	}
	s.steps++
	effects := append([]Effect(nil), n.core.Step(n.clock(), e)...)
	for _, effect := range effects {
		if s.fault(0.00015) {
			n.crash()
			return
		}
		n.handleEffect(effect)
	}
}

func (n *node) handleEffect(effect Effect) {
	s := n.sim
	switch e := effect.(type) {
	case Write:
		if len(n.queue) >= journalLimit {
			s.after(0, func() { n.step(WriteRejected{Token: e.Token, Code: code.JournalFull}) })
			return
		}
		n.enqueue(e.Envelope)
	case Send:
		s.sendBatch(n, e)
	case Reply:
		s.checker.reply(e)
	case AbandonEpoch:
		s.arbiter.abandonedEpoch = e.Epoch
	}
}

func (n *node) enqueue(env *recordv1.Envelope) {
	n.sequence++
	env.Instance = string(n.name)
	env.Incarnation = uint64(n.incarnation)
	env.Sequence = n.sequence
	n.queue = append(n.queue, env)
	n.flush()
}

// flush appends the next batch once the last one has been read back.
func (n *node) flush() {
	if len(n.inFlight) > 0 || len(n.queue) == 0 {
		return
	}
	n.inFlight = n.queue
	n.queue = nil
	n.appendBatch(n.inFlight, n.incarnation)
}

// appendBatch appends a batch and retries until it is read back. The append may
// be lost or take effect late.
func (n *node) appendBatch(batch []*recordv1.Envelope, incarnation spec.Incarnation) {
	s := n.sim
	if !s.fault(0.1) {
		s.after(s.messageDelay(), func() {
			if s.now >= s.log.unavailableUntil {
				s.append(batch)
			}
		})
	}
	s.after(200*time.Millisecond+s.upTo(time.Second), func() {
		unread := len(n.inFlight) > 0 && n.inFlight[0] == batch[0]
		if unread && n.core != nil && n.incarnation == incarnation {
			n.appendBatch(batch, incarnation)
		}
	})
}

// read passes the next records of the log to the core.
func (n *node) read() {
	s := n.sim
	if n.core == nil || s.now < s.log.unavailableUntil || s.now < n.pausedUntil || s.fault(0.1) {
		return
	}
	if n.cursor < s.log.first {
		n.cursor = s.log.first
		n.atTail = false
		n.step(RecordsExpired{})
	}
	incarnation := n.incarnation
	for limit := 64; limit > 0 && n.cursor < len(s.log.records); limit-- {
		env := s.log.records[n.cursor].envelope
		n.step(RecordRead{Offset: int64(n.cursor), Envelope: env, Fresh: n.atTail})
		if n.core == nil || n.incarnation != incarnation {
			return
		}
		n.cursor++
		n.completeBatch(env)
	}
	n.atTail = n.cursor == len(s.log.records)
}

func (n *node) completeBatch(env *recordv1.Envelope) {
	if len(n.inFlight) == 0 {
		return
	}
	last := n.inFlight[len(n.inFlight)-1]
	if env.GetInstance() == string(n.name) && env.GetIncarnation() == uint64(n.incarnation) && env.GetSequence() == last.GetSequence() {
		n.inFlight = nil
		n.flush()
	}
}
