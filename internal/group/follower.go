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
	// firstOffset is the offset of the first record read. A snapshot that does not
	// reach up to it leaves records out.
	firstOffset int64
	// buffered keeps records until a snapshot is whole, and heldFilter tells
	// repeated parts from new ones meanwhile.
	buffered     []RecordRead
	bufferFilter *journal.Filter
	// parts are those of the snapshot being read.
	parts []*recordv1.GroupSnapshot
	// claimedEpoch is the largest epoch that a claim was seen to replace, plus 1.
	claimedEpoch spec.Epoch
	// lastSnapshot is when the newest whole snapshot was read first in part;
	// dated states that its age is known.
	partsReadAt      time.Duration
	partsAgeKnown    bool
	lastSnapshotAt   time.Duration
	snapshotAgeKnown bool
}

func newFollower(opts Options) *follower {
	return &follower{opts: opts, state: newState(opts), bufferFilter: journal.NewFilter()}
}

// read takes a record in. The change is empty while the state is incomplete.
func (f *follower) read(now time.Duration, r RecordRead) change {
	if !f.started {
		f.started = true
		f.complete = r.Offset == f.opts.FirstOffset
		f.lastSnapshotAt = now
		f.snapshotAgeKnown = f.complete && r.Fresh
	}
	if f.complete {
		if r.Offset <= f.state.appliedOffset {
			return change{}
		}
		out := f.state.apply(r.Offset, r.Envelope)
		f.trackSnapshotAge(now, r)
		return out
	}
	f.buffer(now, r)
	return change{}
}

// reset drops everything: records are missing.
func (f *follower) reset() { *f = *newFollower(f.opts) }

// buffer keeps a record and restores the state when a snapshot became whole.
func (f *follower) buffer(now time.Duration, r RecordRead) {
	if claim := r.Envelope.GetGroup().GetClaim(); claim != nil {
		f.claimedEpoch = max(f.claimedEpoch, spec.Epoch(claim.GetReplacesEpoch())+1)
	}
	if len(f.buffered) == 0 && f.parts == nil {
		f.firstOffset = r.Offset
	}
	f.buffered = append(f.buffered, r)
	if !f.bufferFilter.Accept(r.Envelope) {
		return
	}
	snapshot := r.Envelope.GetGroup().GetSnapshot()
	if snapshot == nil || spec.Epoch(snapshot.GetEpoch()) < f.claimedEpoch {
		return
	}
	if !f.addPart(now, snapshot, r.Fresh) {
		return
	}
	f.state = restore(f.opts, f.parts)
	f.complete = true
	f.lastSnapshotAt = f.partsReadAt
	f.snapshotAgeKnown = f.partsAgeKnown
	buffered := f.buffered
	f.buffered = nil
	f.parts = nil
	for _, record := range buffered {
		if record.Offset > f.state.appliedOffset {
			f.state.apply(record.Offset, record.Envelope)
		}
	}
}

// addPart takes a part and reports whether the snapshot is whole. Parts are
// written in order; a part of another snapshot starts over.
func (f *follower) addPart(now time.Duration, p *recordv1.GroupSnapshot, fresh bool) bool {
	if p.GetPart() == 0 && p.GetThroughOffset()+1 < f.firstOffset {
		f.parts = nil
		return false
	}
	if p.GetPart() == 0 {
		f.parts = []*recordv1.GroupSnapshot{p}
		f.partsReadAt = now
		f.partsAgeKnown = fresh
		f.dropBuffered(p.GetThroughOffset())
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

// dropBuffered forgets records that a snapshot covers.
func (f *follower) dropBuffered(through int64) {
	kept := f.buffered[:0:0]
	for _, r := range f.buffered {
		if r.Offset > through {
			kept = append(kept, r)
		}
	}
	f.buffered = kept
}

// trackSnapshotAge keeps the age of the newest whole snapshot of a known state.
func (f *follower) trackSnapshotAge(now time.Duration, r RecordRead) {
	p := r.Envelope.GetGroup().GetSnapshot()
	if p == nil || spec.Epoch(p.GetEpoch()) != f.state.fence.Epoch {
		return
	}
	if p.GetPart() == 0 {
		f.partsReadAt = now
		f.partsAgeKnown = r.Fresh
	}
	if p.GetPart()+1 == p.GetParts() {
		f.lastSnapshotAt = f.partsReadAt
		f.snapshotAgeKnown = f.partsAgeKnown
	}
}
