package group

import (
	"time"

	"redwingvale/internal/journal"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// follower builds the state from the stream. It is complete when it has read
// the stream from its first record on, or a whole snapshot and everything
// after the offset through which the snapshot goes.
type follower struct {
	opts     Options
	state    *state
	complete bool
	started  bool
	// from is the offset of the first record read. A snapshot that does not
	// reach up to it leaves records out.
	from int64
	// held keeps records until a snapshot is whole, and heldFilter tells
	// repeated parts from new ones meanwhile.
	held       []RecordRead
	heldFilter *journal.Filter
	// parts are those of the snapshot being read.
	parts []*recordv1.GroupSnapshot
	// claimed is the largest epoch that a claim was seen to replace, plus 1.
	claimed spec.Epoch
	// lastSnapshot is when the newest whole snapshot was read first in part;
	// dated states that its age is known.
	partsSince   time.Duration
	partsFresh   bool
	lastSnapshot time.Duration
	dated        bool
}

func newFollower(opts Options) *follower {
	return &follower{opts: opts, state: newState(opts), heldFilter: journal.NewFilter()}
}

// read takes a record in. The change is empty while the state is incomplete.
func (f *follower) read(now time.Duration, r RecordRead) change {
	if !f.started {
		f.started = true
		f.complete = r.Offset == f.opts.FirstOffset
		f.lastSnapshot = now
		f.dated = f.complete && r.Fresh
	}
	if f.complete {
		if r.Offset <= f.state.applied {
			return change{}
		}
		out := f.state.apply(r.Offset, r.Envelope)
		f.noteSnapshot(now, r)
		return out
	}
	f.hold(now, r)
	return change{}
}

// expired drops everything: records are missing.
func (f *follower) expired() { *f = *newFollower(f.opts) }

// hold keeps a record and restores the state when a snapshot became whole.
func (f *follower) hold(now time.Duration, r RecordRead) {
	if claim := r.Envelope.GetGroup().GetClaim(); claim != nil {
		f.claimed = max(f.claimed, spec.Epoch(claim.GetReplacesEpoch())+1)
	}
	if len(f.held) == 0 && f.parts == nil {
		f.from = r.Offset
	}
	f.held = append(f.held, r)
	if !f.heldFilter.Accept(r.Envelope) {
		return
	}
	snapshot := r.Envelope.GetGroup().GetSnapshot()
	if snapshot == nil || spec.Epoch(snapshot.GetEpoch()) < f.claimed {
		return
	}
	if !f.addPart(now, snapshot, r.Fresh) {
		return
	}
	f.state = restore(f.opts, f.parts)
	f.complete = true
	f.lastSnapshot = f.partsSince
	f.dated = f.partsFresh
	held := f.held
	f.held = nil
	f.parts = nil
	for _, record := range held {
		if record.Offset > f.state.applied {
			f.state.apply(record.Offset, record.Envelope)
		}
	}
}

// addPart takes a part and reports whether the snapshot is whole. Parts are
// written in order; a part of another snapshot starts over.
func (f *follower) addPart(now time.Duration, p *recordv1.GroupSnapshot, fresh bool) bool {
	if p.GetPart() == 0 && p.GetThroughOffset()+1 < f.from {
		f.parts = nil
		return false
	}
	if p.GetPart() == 0 {
		f.parts = []*recordv1.GroupSnapshot{p}
		f.partsSince = now
		f.partsFresh = fresh
		f.dropHeld(p.GetThroughOffset())
		return p.GetParts() == 1
	}
	if len(f.parts) == 0 {
		return false
	}
	first := f.parts[0]
	same := first.GetThroughOffset() == p.GetThroughOffset() && first.GetEpoch() == p.GetEpoch()
	if same && p.GetPart() == uint32(len(f.parts)) {
		f.parts = append(f.parts, p)
	}
	return len(f.parts) == int(first.GetParts())
}

// dropHeld forgets records that a snapshot covers.
func (f *follower) dropHeld(through int64) {
	kept := f.held[:0:0]
	for _, r := range f.held {
		if r.Offset > through {
			kept = append(kept, r)
		}
	}
	f.held = kept
}

// noteSnapshot keeps the age of the newest whole snapshot of a known state.
func (f *follower) noteSnapshot(now time.Duration, r RecordRead) {
	p := r.Envelope.GetGroup().GetSnapshot()
	if p == nil || spec.Epoch(p.GetEpoch()) != f.state.fence.Epoch {
		return
	}
	if p.GetPart() == 0 {
		f.partsSince = now
		f.partsFresh = r.Fresh
	}
	if p.GetPart()+1 == p.GetParts() {
		f.lastSnapshot = f.partsSince
		f.dated = f.partsFresh
	}
}
