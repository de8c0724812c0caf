package node

import (
	"context"
	"maps"
	"slices"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/planner"
)

// evacuations is the set of data centres under evacuation, as this instance has
// read it. It is not changed after it has been published in Node.evacuations.
type evacuations struct {
	since map[string]planner.Time
}

// maxWarned bounds the warnings about operators' records that are remembered so
// that they are logged once.
const maxWarned = 256

// applyEvacuations puts a change of the evacuations in force at this instance.
// Only followManifest calls it. Starts are declined from the moment at which the
// set is published; the planner gets it at the next tick of the event loop.
func (n *Node) applyEvacuations(change *Change) {
	for _, r := range change.Invalid {
		n.warnOnce("evacuation_invalid", zap.String("key", r.Key), r.Reason)
	}
	if n.config.Bounds.EvacuateInForceMS <= 0 {
		for _, dataCentre := range change.Begun {
			n.warnOnce("evacuation_ignored", zap.String("data_centre", dataCentre), "the settings do not turn evacuations on")
		}
		return
	}
	current := n.evacuations.Load()
	if current == nil && !change.Complete {
		return
	}
	next := &evacuations{since: map[string]planner.Time{}}
	if current != nil {
		maps.Copy(next.since, current.since)
	}
	var begun, ended []string
	end := func(dataCentre string) {
		if _, ok := next.since[dataCentre]; ok {
			delete(next.since, dataCentre)
			ended = append(ended, dataCentre)
		}
	}
	if change.Complete {
		for _, dataCentre := range slices.Sorted(maps.Keys(next.since)) {
			if !slices.Contains(change.Begun, dataCentre) {
				end(dataCentre)
			}
		}
	}
	for _, dataCentre := range change.Ended {
		end(dataCentre)
	}
	for _, dataCentre := range change.Begun {
		if _, ok := next.since[dataCentre]; !ok {
			next.since[dataCentre] = n.now()
			begun = append(begun, dataCentre)
		}
	}
	if current != nil && len(begun)+len(ended) == 0 {
		return
	}
	n.evacuations.Store(next)
	n.stats.evacuationsInForce.Update(float64(len(next.since)))
	for _, dataCentre := range ended {
		n.log("evacuation_ends", zap.String("data_centre", dataCentre))
	}
	for _, dataCentre := range begun {
		n.log("evacuation_begins", zap.String("data_centre", dataCentre))
	}
}

// warnOnce logs a warning about an operators' record unless it has been logged
// before: records are read again after a failure. Only followManifest calls it.
func (n *Node) warnOnce(event string, name zap.Field, reason string) {
	warning := [3]string{event, name.String, reason}
	if n.warned[warning] {
		return
	}
	if len(n.warned) >= maxWarned {
		clear(n.warned)
	}
	n.warned[warning] = true
	n.tele.Log.Warn(event, name, zap.String("reason", reason))
}

// declines reports whether a command is a start in a data centre under
// evacuation, which must not be made.
func (n *Node) declines(command planner.Effect) bool {
	start, ok := command.(planner.Start)
	if !ok || start.DataCentre == "" {
		return false
	}
	current := n.evacuations.Load()
	if current == nil {
		return false
	}
	if _, ok := current.since[start.DataCentre]; !ok {
		return false
	}
	n.stats.startsDeclined.Inc(1)
	return true
}

// passEvacuations passes the evacuations to the planner unless it knows them. It
// runs in the event loop.
func (n *Node) passEvacuations(t *term) {
	current := n.evacuations.Load()
	if current == nil || current == t.evacuations {
		return
	}
	t.evacuations = current
	n.step(planner.EvacuationsChanged{DataCentres: slices.Sorted(maps.Keys(current.since))})
}

// checkDataCentres warns, once in a term and evacuation, of each data centre under
// evacuation that has neither workers nor instances. It runs in the event loop.
func (n *Node) checkDataCentres(t *term) {
	if t.evacuations == nil {
		return
	}
	if t.lookedUp == nil {
		t.lookedUp = map[string]bool{}
	}
	for dataCentre := range t.lookedUp {
		if _, ok := t.evacuations.since[dataCentre]; !ok {
			delete(t.lookedUp, dataCentre)
		}
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(t.evacuations.since)) {
		if t.lookedUp[dataCentre] {
			continue
		}
		t.lookedUp[dataCentre] = true
		known := t.core.HasWorkersIn(dataCentre) || n.config.DataCentre == dataCentre
		for _, m := range n.members {
			known = known || m.DataCentre == dataCentre
		}
		if !known {
			n.tele.Log.Warn("evacuation_unknown", zap.Uint64("epoch", t.epoch), zap.String("data_centre", dataCentre))
		}
	}
}

// ListEvacuations returns the evacuations in force at this instance. If it leads,
// it adds what is left in the data centres.
func (s *peerServer) ListEvacuations(ctx context.Context, _ *connect.Request[nodev1.ListEvacuationsRequest]) (*connect.Response[nodev1.ListEvacuationsResponse], error) {
	n := s.n
	response := &nodev1.ListEvacuationsResponse{Instance: n.config.Instance, Enabled: n.config.Bounds.EvacuateInForceMS > 0}
	if readMS := n.operatorsReadMS.Load(); readMS > 0 {
		response.RecordsRead, response.ReadAgeMs = true, max(n.now().MS-readMS, 0)
	}
	left := map[string]planner.EvacuationState{}
	if n.isLeader() {
		states, err := runInLoop(ctx, n, dutyMembers, func() []planner.EvacuationState {
			if n.term == nil {
				return nil
			}
			response.Leading = true
			return n.term.core.Evacuations()
		})
		if err != nil {
			return nil, err
		}
		for _, state := range states {
			left[state.DataCentre] = state
		}
	}
	current := n.evacuations.Load()
	if current == nil {
		return connect.NewResponse(response), nil
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(current.since)) {
		since, state := current.since[dataCentre], left[dataCentre]
		response.Evacuations = append(response.Evacuations, &nodev1.EvacuationStatus{
			DataCentre: dataCentre, SinceUnixMs: since.UnixMS, InForceMs: max(n.now().MS-since.MS, 0),
			Workers: uint32(state.Workers), LongRunning: uint32(state.LongRunning), Gang: uint32(state.Gang),
			Checkpointed: uint32(state.Checkpointed), Other: uint32(state.Other), Moved: uint32(state.Moved),
		})
	}
	return connect.NewResponse(response), nil
}
