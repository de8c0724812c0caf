package group

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingvale/internal/fence"
	"redwingvale/internal/invariant"
	"redwingvale/internal/platform"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// sim runs cores against a fake log, fake workers and fake entries in
// simulated time. The checker records what happens on the workers.
type sim struct {
	rng          *rand.Rand
	now          time.Duration
	calls        callQueue
	lastSequence int
	// faultsOff is set in the recovery phase, in which no faults are injected.
	faultsOff bool
	opts      Options
	nodes     []*node
	workers   []*fakeWorker
	entries   []*fakeEntry
	log       fakeLog
	arbiter   arbiter
	checker   checker
	steps     int
	violation string
	// recordBytes is the total size of the records of the run.
	recordBytes int
	faults      faults
}

// faults holds the probabilities of the faults, each per message or per check.
type faults struct {
	// lateMessage is the probability of a message delay of up to 12 s.
	lateMessage float64
	// workerCutOff makes a worker unreachable for a while, workerRestart clears
	// its state.
	workerCutOff  float64
	workerRestart float64
	// takeover has another node take the group over, and immediateStop is how
	// often the old owner stops at once, so that the new one need not wait.
	takeover      float64
	immediateStop float64
	// lateBatch is how often a cut-off worker still gets a batch, with a delay.
	lateBatch float64
	// extraRunTime is added to each task's run time.
	extraRunTime time.Duration
}

var defaultFaults = faults{lateMessage: 0.01, workerCutOff: 0.015, workerRestart: 0.006, takeover: 0.005, immediateStop: 0.5, lateBatch: 0.3}

type scheduledCall struct {
	at       time.Duration
	sequence int
	run      func()
}

type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *callQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (s *sim) after(d time.Duration, run func()) {
	s.lastSequence++
	heap.Push(&s.calls, scheduledCall{at: s.now + d, sequence: s.lastSequence, run: run})
}

// every runs f periodically, with some jitter.
func (s *sim) every(d time.Duration, f func()) {
	s.after(d/2+s.upTo(d), func() {
		f()
		s.every(d, f)
	})
}

func (s *sim) chance(p float64) bool { return s.rng.Float64() < p }

// fault returns true with probability p, and never in the recovery phase.
func (s *sim) fault(p float64) bool { return !s.faultsOff && s.chance(p) }

// upTo returns a random duration of at most d.
func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d) + 1)) }

// messageDelay returns the delay of one message: mostly short, sometimes very
// long.
func (s *sim) messageDelay() time.Duration {
	switch {
	case s.fault(s.faults.lateMessage):
		return s.upTo(12 * time.Second)
	case s.fault(0.05):
		return s.upTo(1500 * time.Millisecond)
	default:
		return time.Millisecond + s.upTo(8*time.Millisecond)
	}
}

func (s *sim) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("at %s: ", s.now) + fmt.Sprintf(format, args...)
	}
}

// run makes the scheduled calls up to the given time or the first violation.
func (s *sim) run(until time.Duration) {
	for s.violation == "" && s.now < until && len(s.calls) > 0 {
		next := heap.Pop(&s.calls).(scheduledCall)
		s.now = next.at
		s.failOnViolation(next.run)
	}
}

// failOnViolation turns a violated invariant into a failure of the run.
func (s *sim) failOnViolation(run func()) {
	defer func() {
		r := recover()
		if v, ok := r.(*invariant.Violation); ok {
			s.fail("%s", v.Error())
		} else if r != nil {
			panic(r)
		}
	}()
	run()
}

// fakeLog holds the records of one stream. Records before first have expired.
type fakeLog struct {
	records []logEntry
	first   int
	// unavailableUntil is when the log becomes available again.
	unavailableUntil time.Duration
	// state is the state of a reader without faults.
	state *state
}

// attemptOpen reports whether the attempt is open according to the log.
func (l *fakeLog) attemptOpen(c platform.Command) bool {
	j := l.state.jobs[c.Task.Job]
	if j == nil {
		return false
	}
	t := &j.tasks[c.Task.Index]
	return t.active() && t.attempt == c.Attempt
}

type logEntry struct {
	envelope *recordv1.Envelope
	at       time.Duration
}

func (s *sim) append(batch []*recordv1.Envelope) {
	for _, env := range batch {
		s.recordBytes += proto.Size(env)
		s.log.records = append(s.log.records, logEntry{envelope: env, at: s.now})
		if s.log.state.apply(int64(len(s.log.records)-1), env).fenceResult == fence.Claimed {
			s.arbiter.onClaim(s)
		}
	}
	for s.now-s.log.records[s.log.first].at > s.opts.Retention {
		s.log.first++
	}
}

// arbiter grants ownership leases that never overlap in simulated time.
type arbiter struct {
	epoch spec.Epoch
	// leaseEnd is the simulated time at which the last lease ends.
	leaseEnd time.Duration
	// holder is the node that got the last lease.
	holder *node
	// claimedAt is when the last takeover was attempted.
	claimedAt     time.Duration
	withheldUntil time.Duration
	// abandonedEpoch is the last epoch that an owner abandoned.
	abandonedEpoch spec.Epoch
}

// onClaim records a new owner. Sometimes the old owner's lease ends immediately.
func (a *arbiter) onClaim(s *sim) {
	old := a.holder
	reachable := old != nil && old.core != nil && s.now >= old.pausedUntil
	if reachable && s.chance(s.faults.immediateStop) {
		epoch := a.epoch
		old.step(OwnershipLeaseChanged{Epoch: epoch})
		a.leaseEnd = s.now
	}
	a.epoch = s.log.state.fence.Epoch
	a.holder = nil
}

// update extends the owner's lease, or has another node claim the group.
func (a *arbiter) update(s *sim) {
	owner := s.runningNode(s.log.state.fence.Owner, s.log.state.fence.Incarnation)
	if s.fault(0.004) {
		a.withheldUntil = s.now + s.upTo(4*time.Second)
	}
	stuck := owner == nil || s.now < owner.pausedUntil || a.abandonedEpoch == s.log.state.fence.Epoch
	if (stuck || s.fault(s.faults.takeover)) && s.now-a.claimedAt > 1500*time.Millisecond {
		a.claimedAt = s.now
		s.claimGroup(owner)
		return
	}
	if stuck || s.now < a.withheldUntil || a.holder == nil && s.now < a.leaseEnd {
		return
	}
	a.holder = owner
	lease := time.Duration(float64(s.opts.OwnershipLease) * 0.999)
	until := owner.clock() + lease
	a.leaseEnd = s.now + time.Duration(float64(lease)/owner.rate) + time.Nanosecond
	owner.step(OwnershipLeaseChanged{Epoch: a.epoch, Until: until})
}

func (s *sim) claimGroup(owner *node) {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if n == owner || n.core == nil || s.now < n.pausedUntil {
		return
	}
	n.enqueue(&recordv1.Envelope{Body: &recordv1.Envelope_Group{Group: &recordv1.GroupRecord{
		Kind: &recordv1.GroupRecord_Claim{Claim: &recordv1.Claim{
			Owner:            string(n.name),
			OwnerIncarnation: uint64(n.incarnation),
			ReplacesEpoch:    uint64(s.log.state.fence.Epoch),
		}},
	}}})
}

func (s *sim) runningNode(name spec.InstanceID, incarnation spec.Incarnation) *node {
	for _, n := range s.nodes {
		if n.name == name && n.incarnation == incarnation && n.core != nil {
			return n
		}
	}
	return nil
}
