package group

import (
	"time"

	"redwingvale/internal/journal"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// follower builds the state from the stream. The state is complete once the
// follower has read the stream from its first record, or a complete snapshot and
// all records after the last offset that the snapshot covers.
type follower struct {
	opts     Options
	state    *state
	complete bool
	started  bool
	// firstOffset is the offset of the first record read. A snapshot that ends
	// before it is unusable: the records between the two are missing.
	firstOffset int64
	// buffered holds records until a snapshot is complete. Until then,
	// bufferFilter detects duplicate snapshot parts.
	buffered     []RecordRead
	bufferFilter *journal.DuplicateFilter
	// parts holds the parts read so far of the current snapshot.
	parts []*recordv1.GroupSnapshot
	// claimedEpoch is the largest epoch that a claim read so far would start.
	// Snapshots of older epochs are ignored.
	claimedEpoch spec.Epoch
	// lastSnapshotAt is when the first part of the newest complete snapshot
	// was read; snapshotAgeKnown is set if that is close to when it was written.
	// partsReadAt and partsAgeKnown hold the same for the snapshot being read.
	partsReadAt      time.Duration
	partsAgeKnown    bool
	lastSnapshotAt   time.Duration
	snapshotAgeKnown bool
}

func newFollower(opts Options) *follower {
	return &follower{opts: opts, state: newState(opts), bufferFilter: journal.NewDuplicateFilter()}
}

// read applies or buffers a record. The change is empty while the state is
// incomplete.
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

// reset discards the state after records have expired unread.
func (f *follower) reset() { *f = *newFollower(f.opts) }

// buffer holds a record and restores the state once a snapshot is complete.
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

// addPart adds a part and reports whether the snapshot is complete. Parts
// are written in order; the first part of another snapshot replaces all others.
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

// dropBuffered removes the buffered records that a snapshot covers.
func (f *follower) dropBuffered(through int64) {
	kept := f.buffered[:0:0]
	for _, r := range f.buffered {
		if r.Offset > through {
			kept = append(kept, r)
		}
	}
	f.buffered = kept
}

// trackSnapshotAge records when the newest complete snapshot was read, once
// the state is complete.
func (f *follower) trackSnapshotAge(now time.Duration, r RecordRead) {
	part := r.Envelope.GetGroup().GetSnapshot()
	if part == nil || spec.Epoch(part.GetEpoch()) != f.state.fence.Epoch {
		return
	}
	if part.GetPart() == 0 {
		f.partsReadAt = now
		f.partsAgeKnown = r.Fresh
	}
	if part.GetPart()+1 == part.GetParts() {
		f.lastSnapshotAt = f.partsReadAt
		f.snapshotAgeKnown = f.partsAgeKnown
	}
}
