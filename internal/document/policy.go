package document

import "redwingvale/internal/policy"

// Policy returns the part of the document that placement uses. With several
// long-running kinds the lowest limit on moves applies to the whole service.
func (d *Document) Policy() policy.Service {
	out := policy.Service{
		Team:           d.TeamID(),
		ID:             d.ServiceID(),
		Quota:          d.Quota.Resources(),
		Ceiling:        d.Quota.Ceiling(),
		DataCentres:    policy.NewDataCentres(d.DataCentres),
		TailWeight:     d.Weights.Tail,
		EvictionWeight: d.Weights.Evictions,
	}
	if d.Urgent != nil {
		out.TargetP99 = d.Urgent.TargetP99()
	}
	for _, kind := range d.LongRunning {
		moves := int(kind.MaxMovesPerDay)
		if out.MaxMovesPerDay == 0 || moves < out.MaxMovesPerDay {
			out.MaxMovesPerDay = moves
		}
	}
	return out
}
