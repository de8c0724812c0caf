package planner

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	// readDelayMS bounds the time until an instance has read an operators' record,
	// unreadableMS that for which a new leader cannot read them.
	readDelayMS  = 1000
	unreadableMS = 4000
	// evacuateMS is the time within which a request must be in force.
	evacuateMS = 5000
)

// simEvacuations are the evacuations of a simulation.
type simEvacuations struct {
	rng *rand.Rand
	// confirmedMS is when the request for a data centre was confirmed, while it stands.
	confirmedMS map[string]int64
	// delegates is what the instances that call workers for the leader have read.
	delegates map[string]bool
	// leaders are all leaders so far. read is what they have read, passed what their
	// planners have got.
	leaders      []*leader
	read, passed map[*leader]map[string]bool
	lastMoveMS   map[*leader]int64
	declined     int
}

// evacuateDataCentres places the workers in three data centres and evacuates one or
// two of them at a time, among the other faults.
func (sim *simulation) evacuateDataCentres() {
	rng := rand.New(rand.NewPCG(sim.seed, 8))
	sim.evacuations = &simEvacuations{
		rng: rng, confirmedMS: map[string]int64{}, delegates: map[string]bool{},
		read: map[*leader]map[string]bool{}, passed: map[*leader]map[string]bool{}, lastMoveMS: map[*leader]int64{},
	}
	sim.config.EvacuateMS = evacuateMS
	zones := []string{"x", "y", "z"}
	for i, f := range sim.workers {
		f.info.DataCentre = zones[i/2]
	}
	sim.elect()
	for range 6 {
		zone, atMS, forMS := zones[rng.IntN(3)], rng.Int64N((faultsSeconds-12)*1000), 500+rng.Int64N(10_000)
		sim.at(atMS, func() {
			if _, ok := sim.evacuations.confirmedMS[zone]; ok || len(sim.evacuations.confirmedMS) > 1 {
				return
			}
			sim.evacuations.confirmedMS[zone] = sim.now
			sim.operatorsWrote()
			sim.at(forMS, func() {
				delete(sim.evacuations.confirmedMS, zone)
				sim.operatorsWrote()
			})
		})
		if rng.IntN(2) == 0 {
			sim.at(atMS+rng.Int64N(forMS), sim.elect)
		}
	}
}

// operatorsWrote lets the instances read the operators' records.
func (sim *simulation) operatorsWrote() {
	e := sim.evacuations
	for _, l := range e.leaders {
		if l == sim.leader || sim.now-l.sinceMS < 20_000 {
			sim.readOperators(l, e.rng.Int64N(readDelayMS))
		}
	}
	sim.at(e.rng.Int64N(readDelayMS), func() { e.delegates = sim.operatorRecords() })
}

func (sim *simulation) operatorRecords() map[string]bool {
	out := map[string]bool{}
	for zone := range sim.evacuations.confirmedMS {
		out[zone] = true
	}
	return out
}

// readOperators lets a leader read the operators' records and pass them to its
// planner.
func (sim *simulation) readOperators(l *leader, delayMS int64) {
	sim.at(delayMS, func() { sim.passOperators(l) })
}

func (sim *simulation) passOperators(l *leader) {
	e := sim.evacuations
	read := sim.operatorRecords()
	e.read[l] = read
	sim.inLoop(l, func() {
		e.passed[l] = read
		sim.handle(l, EvacuationsChanged{DataCentres: slices.Sorted(maps.Keys(read))})
	})
}

// beginEvacuations lets a new leader know the evacuations before its first placement,
// unless it cannot read them yet.
func (sim *simulation) beginEvacuations(l *leader) {
	e := sim.evacuations
	if e == nil {
		return
	}
	e.leaders = append(e.leaders, l)
	if e.rng.IntN(4) == 0 {
		sim.readOperators(l, e.rng.Int64N(unreadableMS))
		return
	}
	sim.passOperators(l)
}

// declinesStart reports whether the leader, or the instance that makes the call for
// it, declines a start by its own reading. It checks what the planner has decided.
func (sim *simulation) declinesStart(l *leader, s Start) bool {
	e := sim.evacuations
	if e == nil {
		return false
	}
	if e.passed[l][s.DataCentre] {
		sim.violate("EVAC", "%s run %d is to start on %s in %s although the planner knows of the evacuation", s.Task, s.Run, s.Worker, s.DataCentre)
	}
	declined := e.read[l][s.DataCentre] || e.rng.IntN(2) == 0 && e.delegates[s.DataCentre]
	if declined {
		e.declined++
		sim.at(sim.latency(), func() {
			sim.step(l, StartDone{s.Worker, s.Address, s.Task, s.Run, s.Token, Evacuated})
		})
	}
	return declined
}

// checkEvacuated checks a start that a worker has carried out.
func (sim *simulation) checkEvacuated(f *fakeWorker, s Start) {
	if sim.evacuations == nil {
		return
	}
	sentMS := sim.startSentMS[runKey{s.Task, s.Run}]
	if confirmedMS, ok := sim.evacuations.confirmedMS[f.info.DataCentre]; ok && sentMS-confirmedMS > evacuateMS {
		sim.violate("EVAC", "%s run %d started on %s in %s, sent %d ms after the request was confirmed", s.Task, s.Run, f.info.ID, f.info.DataCentre, sentMS-confirmedMS)
	}
}

// checkMoves checks the stops that move runs off data centres.
func (sim *simulation) checkMoves(l *leader, d Decision) {
	e := sim.evacuations
	if e == nil || d.Event != "stop_sent" || d.Reason != EvacuationReason {
		return
	}
	if last, ok := e.lastMoveMS[l]; ok && sim.now-last < evacuationMoveIntervalMS {
		sim.violate("EVAC", "%s is moved %d ms after another run", d.Task, sim.now-last)
	}
	e.lastMoveMS[l] = sim.now
	atOnce := 0
	for _, w := range l.core.sortedWorkers {
		for _, r := range w.runs {
			if r.phase != stopping || r.stopReason != EvacuationReason {
				continue
			}
			atOnce++
			if spec := r.task.step.spec; spec.Gang || spec.LongRunning && spec.MaxUnavailable == 0 || !spec.LongRunning && !spec.Checkpointing {
				sim.violate("EVAC", "%s is moved", d.Task)
			}
		}
	}
	if atOnce > evacuationMovesAtOnce {
		sim.violate("EVAC", "%d runs are stopped at once", atOnce)
	}
}

// TestRandomRunsWithEvacuations checks that nothing starts in a data centre under
// evacuation, among leader changes, declined starts and the other faults, and that
// all work ends once the requests are withdrawn.
func TestRandomRunsWithEvacuations(t *testing.T) {
	c := qt.New(t)
	declined, moves := 0, 0
	for i := range *seedCount / 2 {
		sim := runSeed(*firstSeed+uint64(i), (*simulation).evacuateDataCentres)
		c.Assert(sim.violations, qt.HasLen, 0)
		declined += sim.evacuations.declined
		moves += len(sim.evacuations.lastMoveMS)
	}
	t.Logf("%d starts declined, moves by %d leaders", declined, moves)
	c.Assert(declined > 0 && moves > 0, qt.IsTrue)
}

// TestRandomRunsWithEvacuationsAndTakeovers adds leaders that are late, directory
// entries that lapse and submissions past the leader.
func TestRandomRunsWithEvacuationsAndTakeovers(t *testing.T) {
	c := qt.New(t)
	for i := range *seedCount / 3 {
		sim := runSeed(*firstSeed+uint64(i), func(sim *simulation) {
			sim.evacuateDataCentres()
			sim.injectTakeoverFaults()
		})
		c.Assert(sim.violations, qt.HasLen, 0)
	}
}
