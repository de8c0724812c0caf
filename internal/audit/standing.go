package audit

import (
	"redwingvale/internal/config"
	"redwingvale/internal/fence"
	"redwingvale/internal/journal"
	"redwingvale/internal/platform"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// judge states whether the records of one stream had an effect. It is fed in
// log order.
type judge struct {
	stream platform.Stream
	filter *journal.Filter
	fence  fence.Fence
	// known states that the owner of the group is known.
	known bool
	// atLeast is an epoch that certainly existed.
	atLeast spec.Epoch
	config  *config.Core
}

func newJudge(stream platform.Stream) *judge {
	return &judge{
		stream: stream,
		filter: journal.NewFilter(),
		config: config.NewCore(config.Options{}),
	}
}

// judge returns the standing of a record and what it adds to the entry.
func (j *judge) judge(offset int64, env *recordv1.Envelope, read platform.ReadResult, record platform.LogRecord) (Standing, string) {
	_, ofGroup := platform.GroupOf(j.stream)
	switch {
	case j.stream == platform.ConfigStream:
		return j.ofConfig(offset, read, record)
	case ofGroup:
		return j.ofGroup(env), ""
	case !j.filter.Accept(env):
		return Void, "a repeat"
	default:
		return Recorded, ""
	}
}

// ofConfig follows the revision chain.
func (j *judge) ofConfig(offset int64, read platform.ReadResult, record platform.LogRecord) (Standing, string) {
	one := platform.ReadResult{Records: []platform.LogRecord{record}, First: read.First, Next: offset + 1}
	for _, effect := range j.config.Step(0, config.ReadEvent{Result: one}) {
		judged, ok := effect.(config.ApplyDecided)
		if !ok || judged.Outcome.Offset != offset {
			continue
		}
		v := judged.Outcome
		switch v.Kind {
		case config.AcceptedNow:
			return Valid, "accepted as revision " + uintText(v.Revision)
		case config.AlreadyAccepted:
			return Void, "a repeat of revision " + uintText(v.Revision)
		default:
			return Void, v.Err.Error()
		}
	}
	if !j.config.Whole() {
		return Recorded, ""
	}
	return Valid, ""
}

// ofGroup follows the ownership of the group. When its first claim has
// expired, the owner is not known before the first snapshot.
func (j *judge) ofGroup(env *recordv1.Envelope) Standing {
	if !j.filter.Accept(env) {
		return Void
	}
	standing := j.byFence(env)
	j.atLeast = max(j.atLeast, spec.Epoch(env.GetEpoch()))
	if claim := env.GetGroup().GetClaim(); claim != nil {
		j.atLeast = max(j.atLeast, spec.Epoch(claim.GetReplacesEpoch())+1)
	}
	if j.fence.Epoch < j.atLeast {
		// The snapshot that told the owner was itself void.
		j.known = false
		return Recorded
	}
	return standing
}

func (j *judge) byFence(env *recordv1.Envelope) Standing {
	record := env.GetGroup()
	if claim := record.GetClaim(); claim != nil && claim.GetReplacesEpoch() == 0 {
		j.known = true
	}
	if s := record.GetSnapshot(); s != nil && !j.known && spec.Epoch(s.GetEpoch()) >= j.atLeast {
		j.fence.Restore(s)
		j.known = true
	}
	if !j.known {
		return Recorded
	}
	if j.fence.Apply(env) == fence.Void {
		return Void
	}
	return Valid
}
