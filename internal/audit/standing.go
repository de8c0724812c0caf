package audit

import (
	"redwingvale/internal/config"
	"redwingvale/internal/fence"
	"redwingvale/internal/journal"
	"redwingvale/internal/platform"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// standingEvaluator determines whether the records of one stream had an effect.
// The records must be given in log order.
type standingEvaluator struct {
	stream platform.Stream
	filter *journal.DuplicateFilter
	fence  fence.Fence
	// ownerKnown states that the owner of the group is known.
	ownerKnown bool
	// minEpoch is a lower bound of the current epoch, from the epochs of the
	// records so far.
	minEpoch spec.Epoch
	config   *config.Core
}

func newStandingEvaluator(stream platform.Stream) *standingEvaluator {
	return &standingEvaluator{
		stream: stream,
		filter: journal.NewDuplicateFilter(),
		config: config.NewCore(config.Options{}),
	}
}

// evaluate returns the standing of a record and a note for the entry.
func (e *standingEvaluator) evaluate(offset int64, env *recordv1.Envelope, read platform.ReadResult, record platform.LogRecord) (Standing, string) {
	_, isGroup := platform.GroupOf(e.stream)
	switch {
	case e.stream == platform.ConfigStream:
		return e.configStanding(offset, read, record)
	case isGroup:
		return e.groupStanding(env), ""
	case !e.filter.Accept(env):
		return Void, "a repeat"
	default:
		return Recorded, ""
	}
}

// configStanding derives the standing from the revision chain.
func (e *standingEvaluator) configStanding(offset int64, read platform.ReadResult, record platform.LogRecord) (Standing, string) {
	single := platform.ReadResult{Records: []platform.LogRecord{record}, First: read.First, Next: offset + 1}
	for _, effect := range e.config.Step(0, config.ReadEvent{Result: single}) {
		decided, ok := effect.(config.ApplyDecided)
		if !ok || decided.Outcome.Offset != offset {
			continue
		}
		outcome := decided.Outcome
		switch outcome.Kind {
		case config.AcceptedNow:
			return Valid, "accepted as revision " + formatUint(outcome.Revision)
		case config.AlreadyAccepted:
			return Void, "a repeat of revision " + formatUint(outcome.Revision)
		default:
			return Void, outcome.Err.Error()
		}
	}
	if !e.config.Complete() {
		return Recorded, ""
	}
	return Valid, ""
}

// groupStanding derives the standing from the ownership of the group. When the
// group's first claim has expired, the owner is unknown until the first
// snapshot.
func (e *standingEvaluator) groupStanding(env *recordv1.Envelope) Standing {
	if !e.filter.Accept(env) {
		return Void
	}
	standing := e.fenceStanding(env)
	e.minEpoch = max(e.minEpoch, spec.Epoch(env.GetEpoch()))
	if claim := env.GetGroup().GetClaim(); claim != nil {
		e.minEpoch = max(e.minEpoch, spec.Epoch(claim.GetReplacesEpoch())+1)
	}
	if e.fence.Epoch < e.minEpoch {
		// The owner was restored from a snapshot that is itself void.
		e.ownerKnown = false
		return Recorded
	}
	return standing
}

func (e *standingEvaluator) fenceStanding(env *recordv1.Envelope) Standing {
	record := env.GetGroup()
	if claim := record.GetClaim(); claim != nil && claim.GetReplacesEpoch() == 0 {
		e.ownerKnown = true
	}
	if s := record.GetSnapshot(); s != nil && !e.ownerKnown && spec.Epoch(s.GetEpoch()) >= e.minEpoch {
		e.fence.Restore(s)
		e.ownerKnown = true
	}
	if !e.ownerKnown {
		return Recorded
	}
	if e.fence.Apply(env) == fence.Void {
		return Void
	}
	return Valid
}
