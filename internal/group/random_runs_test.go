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

func envUint(name string, fallback uint64) uint64 {
	n, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

// faultPhase is the length of the phase with faults. The recovery phase after it
// ends when all jobs have ended, which must be within recoveryLimit.
const (
	faultPhase    = 150 * time.Second
	recoveryLimit = 900 * time.Second
	recoveryStep  = 10 * time.Second
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
	opts.MaxCancelledTasksPerTick = 3
	opts.MaxPendingIntents = 8
	opts.Grants.UrgentLimit = 2 * time.Second
	return opts
}

func newSim(seed uint64, opts Options) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 17)), opts: opts, checker: newChecker(), faults: defaultFaults}
	unmutated := opts
	unmutated.mutations = mutations{}
	s.log.state = newState(unmutated)
	for i := range 3 {
		s.entries = append(s.entries, &fakeEntry{
			sim: s, name: spec.InstanceID(fmt.Sprintf("e%d", i)), grants: make(map[spec.WorkerID]*fakeGrant),
		})
	}
	for i := range 4 {
		w := &fakeWorker{sim: s, rate: s.randomClockRate(), worker: spec.Worker{
			ID:       spec.WorkerID(fmt.Sprintf("w%d", i)),
			Capacity: spec.Resources{MilliCPU: 32_000, MemoryMiB: 125_000, Slots: 8, Connections: 60},
		}}
		s.workers = append(s.workers, w)
		w.restart()
		for _, e := range s.entries {
			e.grants[w.worker.ID] = &fakeGrant{}
		}
	}
	for i := range 3 {
		n := &node{sim: s, name: spec.InstanceID(fmt.Sprintf("i%d", i)), rate: s.randomClockRate(), offset: s.upTo(time.Hour)}
		s.nodes = append(s.nodes, n)
		n.start()
	}
	s.scheduleAll()
	return s
}

// randomClockRate returns the rate of a clock; any two differ by at most 0.1%.
func (s *sim) randomClockRate() float64 { return 0.9995 + 0.001*s.rng.Float64() }

func (s *sim) scheduleAll() {
	for _, n := range s.nodes {
		s.every(50*time.Millisecond, func() { n.step(Tick{}) })
		s.every(20*time.Millisecond, n.read)
		s.every(200*time.Millisecond, func() { s.injectNodeFaults(n) })
	}
	for _, w := range s.workers {
		s.every(20*time.Millisecond, w.advance)
		s.every(500*time.Millisecond, func() { s.injectWorkerFaults(w) })
	}
	for _, e := range s.entries {
		s.every(300*time.Millisecond, e.renewGrants)
		s.every(60*time.Millisecond, e.startRequests)
	}
	s.every(100*time.Millisecond, func() { s.arbiter.update(s) })
	s.every(300*time.Millisecond, s.resubmit)
	s.every(500*time.Millisecond, s.injectLogFaults)
	s.every(900*time.Millisecond, func() {
		if !s.faultsOff {
			s.submitNewJob()
		}
	})
	s.every(1500*time.Millisecond, func() {
		if !s.faultsOff {
			s.cancelRecentJob()
		}
	})
}

func (s *sim) injectNodeFaults(n *node) {
	if s.fault(0.004) {
		n.pausedUntil = s.now + s.upTo(6*time.Second)
	}
	if n.core != nil && s.fault(0.001) {
		n.crash()
	}
}

func (s *sim) injectWorkerFaults(w *fakeWorker) {
	switch {
	case s.fault(s.faults.workerRestart):
		w.restart()
	case s.fault(s.faults.workerCutOff):
		w.cutOffUntil = s.now + s.upTo(10*time.Second)
	case s.fault(0.002):
		w.cutOffUntil = s.now + s.upTo(60*time.Second)
	case s.fault(0.01):
		w.tasksFail = true
	case w.tasksFail && (s.faultsOff || s.chance(0.3)):
		w.tasksFail = false
	case s.fault(0.005) || w.leaving && s.chance(0.1):
		w.leaving = !w.leaving
		s.publishWorkers()
	case s.fault(0.004) || w.unlisted && s.chance(0.2):
		w.unlisted = !w.unlisted
		s.publishWorkers()
	}
}

// publishWorkers sends the instance list to every node.
func (s *sim) publishWorkers() {
	for _, n := range s.nodes {
		n.step(SetWorkers{Workers: s.workerInfos()})
	}
}

func (s *sim) injectLogFaults() {
	if s.fault(0.01) {
		s.log.unavailableUntil = s.now + s.upTo(4*time.Second)
	}
	if s.fault(0.002) {
		s.log.unavailableUntil = s.now + s.upTo(25*time.Second)
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

// runSim runs the phase with faults and the recovery phase, and checks the final
// state.
func runSim(seed uint64, opts Options, f faults) *sim {
	s := runFaultPhase(seed, opts, f)
	s.faultsOff = true
	for !s.allJobsEnded() && s.violation == "" && s.now < faultPhase+recoveryLimit {
		s.run(s.now + recoveryStep)
	}
	s.run(s.now + recoveryStep)
	if s.violation == "" {
		s.checkFinalState()
	}
	return s
}

// allJobsEnded reports whether every job has ended in the log.
func (s *sim) allJobsEnded() bool {
	for _, id := range s.checker.jobOrder {
		if j := s.log.state.jobs[id]; j == nil || !j.ended {
			return false
		}
	}
	return true
}

// checkFinalState checks that no job is lost and that all readers have the same
// state.
func (s *sim) checkFinalState() {
	owner := s.runningNode(s.log.state.fence.Owner, s.log.state.fence.Incarnation)
	if owner == nil || owner.core.owner == nil {
		s.fail("no owner decides at the end")
		return
	}
	for _, id := range s.checker.jobOrder {
		j := owner.core.state().jobs[id]
		if j == nil || !j.ended {
			s.fail("accepted=%v job %s did not end: %+v", s.checker.accepted[id], id, j)
			return
		}
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.state == taskEnded && t.code == 0 && s.checker.finished[t.id()] == 0 {
				s.fail("task %s is recorded as done but was not done", t.id())
			}
		}
	}
	want := stateBytes(owner.core.state())
	for _, n := range s.nodes {
		comparable := n.core != nil && n.core.follower.complete && n.core.state().appliedOffset == owner.core.state().appliedOffset
		if comparable && !bytes.Equal(want, stateBytes(n.core.state())) {
			s.fail("%s has a different state than %s after the same records", n.name, owner.name)
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

// Guards against violations under a mix of crashes, pauses, takeovers and lost or
// duplicate messages: a task that runs in two places, an attempt that starts
// twice, an overcommitted worker, a start after a confirmed cancellation, a second
// run of a task that must not be repeated, a lost job, or readers with different
// states.
func TestRandomRuns(t *testing.T) {
	c := qt.New(t)
	var steps, jobs, moves, records, epochs int
	seed, limit := *seedFlag, *stepsFlag
	if testing.Short() {
		limit /= 10
	}
	for ; uint64(steps) < limit; seed++ {
		s := runSim(seed, simOptions(), defaultFaults)
		c.Assert(s.violation, qt.Equals, "", qt.Commentf("seed %d", seed))
		steps += s.steps
		jobs += len(s.checker.jobOrder)
		moves += s.checker.laterAttempts
		records += len(s.log.records)
		epochs += int(s.log.state.fence.Epoch)
	}
	t.Logf("seeds %d to %d: %d steps, %d jobs, %d later attempts, %d records, %d takeovers",
		*seedFlag, seed-1, steps, jobs, moves, records, epochs)
}
