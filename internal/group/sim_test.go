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
// simulated time. The workers and entries keep the truth.
type sim struct {
	rng    *rand.Rand
	now    time.Duration
	agenda agenda
	order  int
	// quiet ends all faults.
	quiet   bool
	opts    Options
	nodes   []*node
	workers []*fakeWorker
	entries []*fakeEntry
	log     fakeLog
	arbiter arbiter
	truth   truth
	steps   int
	failure string
	// recordBytes and moves measure the run.
	recordBytes int
	faults      faults
}

// faults are chances, each per message or per look.
type faults struct {
	// late messages take up to 12 s.
	late float64
	// cutOff workers answer nobody for a while, restarting ones lose all.
	cutOff  float64
	restart float64
	// claim lets another node take the group over, and atOnce states how often
	// the old owner stops so that the new one need not wait.
	claim  float64
	atOnce float64
	// lateBatch is how often a cut-off worker still gets a batch, late.
	lateBatch float64
	// longer is added to each task's run time.
	longer time.Duration
}

var usualFaults = faults{late: 0.01, cutOff: 0.015, restart: 0.006, claim: 0.005, atOnce: 0.5, lateBatch: 0.3}

type planned struct {
	at    time.Duration
	order int
	run   func()
}

type agenda []planned

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(planned)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.agenda, planned{at: s.now + d, order: s.order, run: run})
}

// every runs f again and again, with some jitter.
func (s *sim) every(d time.Duration, f func()) {
	s.after(d/2+s.span(d), func() {
		f()
		s.every(d, f)
	})
}

func (s *sim) chance(p float64) bool { return s.rng.Float64() < p }

// fault is a chance that is zero in the quiet phase.
func (s *sim) fault(p float64) bool { return !s.quiet && s.chance(p) }

func (s *sim) span(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d) + 1)) }

// transit is the time of one message: mostly short, sometimes very long.
func (s *sim) transit() time.Duration {
	switch {
	case s.fault(s.faults.late):
		return s.span(12 * time.Second)
	case s.fault(0.05):
		return s.span(1500 * time.Millisecond)
	default:
		return time.Millisecond + s.span(8*time.Millisecond)
	}
}

func (s *sim) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("at %s: ", s.now) + fmt.Sprintf(format, args...)
	}
}

// run carries out the agenda until the time or the first violation.
func (s *sim) run(until time.Duration) {
	for s.failure == "" && s.now < until && len(s.agenda) > 0 {
		next := heap.Pop(&s.agenda).(planned)
		s.now = next.at
		s.guarded(next.run)
	}
}

// guarded turns a failed invariant into a failure of the run.
func (s *sim) guarded(run func()) {
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

// fakeLog keeps the records of one stream. Records before first have expired.
type fakeLog struct {
	records []logged
	first   int
	// downTill is when the log answers again.
	downTill time.Duration
	// state is what a reader without faults knows.
	state *state
}

// open reports whether the log states that the attempt may start.
func (l *fakeLog) open(c platform.Command) bool {
	j := l.state.jobs[c.Task.Job]
	if j == nil {
		return false
	}
	t := &j.tasks[c.Task.Index]
	return t.active() && t.attempt == c.Attempt
}

type logged struct {
	envelope *recordv1.Envelope
	at       time.Duration
}

func (s *sim) append(batch []*recordv1.Envelope) {
	for _, env := range batch {
		s.recordBytes += proto.Size(env)
		s.log.records = append(s.log.records, logged{envelope: env, at: s.now})
		if s.log.state.apply(int64(len(s.log.records)-1), env).verdict == fence.Claimed {
			s.arbiter.claimed(s)
		}
	}
	for s.now-s.log.records[s.log.first].at > s.opts.Retention {
		s.log.first++
	}
}

// arbiter gives rights that never overlap in true time.
type arbiter struct {
	epoch spec.Epoch
	// until is the true time at which the last right given has ended.
	until time.Duration
	// holder had the last right.
	holder *node
	// claimedAt is when the last takeover was tried.
	claimedAt     time.Duration
	withheldUntil time.Duration
	// abandoned is the epoch that its owner gave up.
	abandoned spec.Epoch
}

// claimed notes a new owner. Sometimes the old one stops at once, on request.
func (a *arbiter) claimed(s *sim) {
	old := a.holder
	reachable := old != nil && old.core != nil && s.now >= old.pausedUntil
	if reachable && s.chance(s.faults.atOnce) {
		epoch := a.epoch
		old.step(RightChanged{Epoch: epoch})
		a.until = s.now
	}
	a.epoch = s.log.state.fence.Epoch
	a.holder = nil
}

// tend extends the owner's right, or has another node claim the group.
func (a *arbiter) tend(s *sim) {
	owner := s.nodeRun(s.log.state.fence.Owner, s.log.state.fence.Incarnation)
	if s.fault(0.004) {
		a.withheldUntil = s.now + s.span(4*time.Second)
	}
	stuck := owner == nil || s.now < owner.pausedUntil || a.abandoned == s.log.state.fence.Epoch
	if (stuck || s.fault(s.faults.claim)) && s.now-a.claimedAt > 1500*time.Millisecond {
		a.claimedAt = s.now
		s.claim(owner)
		return
	}
	if stuck || s.now < a.withheldUntil || a.holder == nil && s.now < a.until {
		return
	}
	a.holder = owner
	lease := time.Duration(float64(s.opts.OwnershipLease) * 0.999)
	until := owner.clock() + lease
	a.until = s.now + time.Duration(float64(lease)/owner.rate) + time.Nanosecond
	owner.step(RightChanged{Epoch: a.epoch, Until: until})
}

func (s *sim) claim(owner *node) {
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

func (s *sim) nodeRun(name spec.InstanceID, incarnation spec.Incarnation) *node {
	for _, n := range s.nodes {
		if n.name == name && n.incarnation == incarnation && n.core != nil {
			return n
		}
	}
	return nil
}
