package group

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"redwingvale/internal/spec"
)

var (
	seedFlag  = flag.Uint64("seed", envUint("REDWINGVALE_SEED", 1), "first seed of the random runs")
	stepsFlag = flag.Uint64("steps", envUint("REDWINGVALE_STEPS", 400_000), "steps of all random runs together")
)

func envUint(name string, otherwise uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

// faultPhase is the length of the phase with faults. The quiet phase after it
// ends when all jobs have ended, which must be within quietLimit.
const (
	faultPhase = 150 * time.Second
	quietLimit = 900 * time.Second
	quietCheck = 10 * time.Second
)

func simOptions() Options {
	opts := DefaultOptions()
	opts.Group = "rack1"
	opts.TaskLease = 4 * time.Second
	opts.PollEvery = 500 * time.Millisecond
	opts.StopGrace = 600 * time.Millisecond
	opts.Retention = 60 * time.Second
	opts.SnapshotDelay = 5 * time.Second
	opts.MaxPartBytes = 6 << 10
	opts.MaxCancelWork = 3
	opts.MaxPendingIntents = 8
	opts.Grants.UrgentLimit = 2 * time.Second
	return opts
}

func newSim(seed uint64, opts Options) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 17)), opts: opts, truth: newTruth(), faults: usualFaults}
	intact := opts
	intact.broken = broken{}
	s.log.state = newState(intact)
	for i := range 3 {
		s.entries = append(s.entries, &fakeEntry{
			sim: s, name: spec.InstanceID(fmt.Sprintf("e%d", i)), books: make(map[spec.WorkerID]*fakeBook),
		})
	}
	for i := range 4 {
		w := &fakeWorker{sim: s, rate: s.rate(), worker: spec.Worker{
			ID:       spec.WorkerID(fmt.Sprintf("w%d", i)),
			Capacity: spec.Resources{MilliCPU: 32_000, MemoryMiB: 125_000, Slots: 8, Connections: 60},
		}}
		s.workers = append(s.workers, w)
		w.restart()
		for _, e := range s.entries {
			e.books[w.worker.ID] = &fakeBook{}
		}
	}
	for i := range 3 {
		n := &node{sim: s, name: spec.InstanceID(fmt.Sprintf("i%d", i)), rate: s.rate(), offset: s.span(time.Hour)}
		s.nodes = append(s.nodes, n)
		n.boot()
	}
	s.plan()
	return s
}

// rate is a clock's rate; any two differ by at most 0.1%.
func (s *sim) rate() float64 { return 0.9995 + 0.001*s.rng.Float64() }

func (s *sim) plan() {
	for _, n := range s.nodes {
		s.every(50*time.Millisecond, func() { n.step(Tick{}) })
		s.every(20*time.Millisecond, n.read)
		s.every(200*time.Millisecond, func() { s.disturbNode(n) })
	}
	for _, w := range s.workers {
		s.every(20*time.Millisecond, w.advance)
		s.every(500*time.Millisecond, func() { s.disturbWorker(w) })
	}
	for _, e := range s.entries {
		s.every(300*time.Millisecond, e.renew)
		s.every(60*time.Millisecond, e.work)
	}
	s.every(100*time.Millisecond, func() { s.arbiter.tend(s) })
	s.every(300*time.Millisecond, s.resubmit)
	s.every(500*time.Millisecond, s.disturbLog)
	s.every(900*time.Millisecond, func() {
		if !s.quiet {
			s.newJob()
		}
	})
	s.every(1500*time.Millisecond, func() {
		if !s.quiet {
			s.cancelOne()
		}
	})
}

func (s *sim) disturbNode(n *node) {
	if s.fault(0.004) {
		n.pausedUntil = s.now + s.span(6*time.Second)
	}
	if n.core != nil && s.fault(0.001) {
		n.crash()
	}
}

func (s *sim) disturbWorker(w *fakeWorker) {
	switch {
	case s.fault(s.faults.restart):
		w.restart()
	case s.fault(s.faults.cutOff):
		w.cutOffUntil = s.now + s.span(10*time.Second)
	case s.fault(0.002):
		w.cutOffUntil = s.now + s.span(60*time.Second)
	case s.fault(0.01):
		w.failing = true
	case w.failing && (s.quiet || s.chance(0.3)):
		w.failing = false
	case s.fault(0.005) || w.leaving && s.chance(0.1):
		w.leaving = !w.leaving
		s.list()
	case s.fault(0.004) || w.unlisted && s.chance(0.2):
		w.unlisted = !w.unlisted
		s.list()
	}
}

// list tells every node the instance list.
func (s *sim) list() {
	for _, n := range s.nodes {
		n.step(SetWorkers{Workers: s.workerInfos()})
	}
}

func (s *sim) disturbLog() {
	if s.fault(0.01) {
		s.log.downTill = s.now + s.span(4*time.Second)
	}
	if s.fault(0.002) {
		s.log.downTill = s.now + s.span(25*time.Second)
	}
	if s.fault(0.002) {
		s.nodes[s.rng.IntN(len(s.nodes))].cursor = -1
	}
}

// runFaultPhase runs the phase with faults only.
func runFaultPhase(seed uint64, opts Options, f faults) *sim {
	s := newSim(seed, opts)
	s.faults = f
	s.run(faultPhase)
	return s
}

// runSim runs a phase with faults and a quiet phase and checks the end state.
func runSim(seed uint64, opts Options, f faults) *sim {
	s := runFaultPhase(seed, opts, f)
	s.quiet = true
	for !s.settled() && s.failure == "" && s.now < faultPhase+quietLimit {
		s.run(s.now + quietCheck)
	}
	s.run(s.now + quietCheck)
	if s.failure == "" {
		s.checkEnd()
	}
	return s
}

// settled reports whether every job has ended in the log.
func (s *sim) settled() bool {
	for _, id := range s.truth.order {
		if j := s.log.state.jobs[id]; j == nil || !j.ended {
			return false
		}
	}
	return true
}

// checkEnd checks that nothing is lost and that all readers agree.
func (s *sim) checkEnd() {
	owner := s.nodeRun(s.log.state.fence.Owner, s.log.state.fence.Incarnation)
	if owner == nil || owner.core.owner == nil {
		s.fail("no owner decides at the end")
		return
	}
	for _, id := range s.truth.order {
		j := owner.core.state().jobs[id]
		if j == nil || !j.ended {
			s.fail("accepted=%v job %s did not end: %+v", s.truth.accepted[id], id, j)
			return
		}
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.state == taskEnded && t.code == 0 && s.truth.finished[t.id()] == 0 {
				s.fail("task %s is recorded as done but was not done", t.id())
			}
		}
	}
	want := stateBytes(owner.core.state())
	for _, n := range s.nodes {
		same := n.core != nil && n.core.follow.complete && n.core.state().applied == owner.core.state().applied
		if same && !bytes.Equal(want, stateBytes(n.core.state())) {
			s.fail("%s reads another state from the log than %s", n.name, owner.name)
		}
	}
}

func stateBytes(s *state) []byte {
	var out []byte
	for _, part := range s.snapshot(1 << 30) {
		part.Writers = nil
		data, _ := proto.MarshalOptions{Deterministic: true}.Marshal(part)
		out = append(out, data...)
	}
	return out
}

// Guards against every fault that a mix of crashes, pauses, lost and repeated
// messages and takeovers can bring out: a task in two places, an attempt that
// starts twice, an overcommitted worker, a start after a confirmed cancel, a
// repeated task that must not repeat, a lost job, or readers that disagree.
func TestRandomRuns(t *testing.T) {
	c := qt.New(t)
	var steps, jobs, moves, records, epochs int
	seed, limit := *seedFlag, *stepsFlag
	if testing.Short() {
		limit /= 10
	}
	for ; uint64(steps) < limit; seed++ {
		s := runSim(seed, simOptions(), usualFaults)
		c.Assert(s.failure, qt.Equals, "", qt.Commentf("seed %d", seed))
		steps += s.steps
		jobs += len(s.truth.order)
		moves += s.truth.moves
		records += len(s.log.records)
		epochs += int(s.log.state.fence.Epoch)
	}
	t.Logf("seeds %d to %d: %d steps, %d jobs, %d later attempts, %d records, %d takeovers",
		*seedFlag, seed-1, steps, jobs, moves, records, epochs)
}
