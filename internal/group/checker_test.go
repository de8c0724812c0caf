package group

import (
	"fmt"
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/platform"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// checker records what ran on the workers and which replies callers got, and
// checks the guarantees against that.
type checker struct {
	running       map[spec.TaskID]spec.WorkerID
	starts        map[attemptKey]int
	ranBefore     map[spec.TaskID]bool
	finished      map[spec.TaskID]int
	jobs          map[spec.JobID]*recordv1.JobSpec
	accepted      map[spec.JobID]bool
	cancelled     map[spec.JobID]bool
	jobOrder      []spec.JobID
	requests      map[Request]func(Reply)
	lastRequest   Request
	laterAttempts int
}

func newChecker() checker {
	return checker{
		running:   make(map[spec.TaskID]spec.WorkerID),
		starts:    make(map[attemptKey]int),
		ranBefore: make(map[spec.TaskID]bool),
		finished:  make(map[spec.TaskID]int),
		jobs:      make(map[spec.JobID]*recordv1.JobSpec),
		accepted:  make(map[spec.JobID]bool),
		cancelled: make(map[spec.JobID]bool),
		requests:  make(map[Request]func(Reply)),
	}
}

// checkStart checks a start on a worker against all earlier runs.
func (c *checker) checkStart(s *sim, w *fakeWorker, cmd platform.Command) {
	key := attemptKey{task: cmd.Task, attempt: cmd.Attempt}
	c.starts[key]++
	if other, ok := c.running[cmd.Task]; ok {
		s.fail("P2: %s runs on %s and starts on %s", cmd.Task, other, w.worker.ID)
	}
	if c.starts[key] > 1 {
		s.fail("P3: attempt %d of %s starts again", cmd.Attempt, cmd.Task)
	}
	retryable := c.jobs[cmd.Task.Job].GetRestartFromStart() || cmd.Checkpoint != ""
	if c.ranBefore[cmd.Task] && !retryable {
		s.fail("P6: %s runs again without a checkpoint", cmd.Task)
	}
	if !s.log.attemptOpen(cmd) {
		s.fail("P3: attempt %d of %s starts but is not open in the log", cmd.Attempt, cmd.Task)
	}
	if c.cancelled[cmd.Task.Job] {
		s.fail("P2: %s starts after its cancellation was confirmed", cmd.Task)
	}
	if cmd.Attempt > 1 {
		c.laterAttempts++
	}
	c.running[cmd.Task] = w.worker.ID
	c.ranBefore[cmd.Task] = true
}

// checkWorker checks that a worker is not overcommitted.
func (c *checker) checkWorker(s *sim, w *fakeWorker) {
	used := w.used
	used.Slots += w.urgentRequests
	if !used.Fits(w.worker.Capacity) {
		s.fail("P1: worker %s uses %+v of %+v", w.worker.ID, used, w.worker.Capacity)
	}
}

func (c *checker) request(onReply func(Reply)) Request {
	c.lastRequest++
	c.requests[c.lastRequest] = onReply
	return c.lastRequest
}

func (c *checker) reply(r Reply) {
	onReply := c.requests[r.Request]
	delete(c.requests, r.Request)
	if onReply != nil {
		onReply(r)
	}
}

// submitNewJob submits a new job. resubmit retries it until it is accepted.
func (s *sim) submitNewJob() {
	id := spec.JobID{Team: "desk", Name: fmt.Sprintf("job%d", len(s.checker.jobOrder))}
	job := &recordv1.JobSpec{
		Id:    jobRef(id),
		Class: uint32(spec.Deadline),
		Tasks: 1 + uint32(s.rng.IntN(5)),
		PerTask: &recordv1.Resources{
			MilliCpu: 1000 + s.rng.Int64N(9000), MemoryMib: 1000, Slots: 1 + s.rng.Int64N(3), Connections: 1,
		},
		RunTimeMs:        500 + s.rng.Int64N(9000) + s.faults.extraRunTime.Milliseconds(),
		RestartFromStart: s.chance(0.5),
	}
	s.checker.jobs[id] = job
	s.checker.jobOrder = append(s.checker.jobOrder, id)
	s.submit(id)
}

func (s *sim) submit(id spec.JobID) {
	request := s.checker.request(func(r Reply) {
		if r.Code == code.OK {
			s.checker.accepted[id] = true
		}
	})
	s.pickNode().step(Submit{Request: request, Job: s.checker.jobs[id], Actor: "desk"})
}

// resubmit retries the first submission that is not accepted yet.
func (s *sim) resubmit() {
	for _, id := range s.checker.jobOrder {
		if !s.checker.accepted[id] {
			s.submit(id)
			return
		}
	}
}

func (s *sim) cancelRecentJob() {
	if len(s.checker.jobOrder) == 0 {
		return
	}
	recent := s.checker.jobOrder[max(0, len(s.checker.jobOrder)-12):]
	id := recent[s.rng.IntN(len(recent))]
	request := s.checker.request(func(r Reply) {
		if r.Code == code.OK {
			s.checker.cancelled[id] = true
		}
	})
	s.pickNode().step(Cancel{Request: request, Job: id, Actor: "desk"})
}

// pickNode returns the owner or, sometimes or if there is none, a random node.
func (s *sim) pickNode() *node {
	owner := s.runningNode(s.log.state.fence.Owner, s.log.state.fence.Incarnation)
	if owner == nil || s.fault(0.1) {
		return s.nodes[s.rng.IntN(len(s.nodes))]
	}
	return owner
}

// fakeEntry runs urgent requests on workers within its grants.
type fakeEntry struct {
	sim         *sim
	name        spec.InstanceID
	sequence    uint64
	wantedSlots uint32
	grants      map[spec.WorkerID]*fakeGrant
}

type fakeGrant struct {
	granted int64
	epoch   uint64
	until   time.Duration
	inUse   int64
}

func (s *sim) entryNames() []spec.InstanceID {
	var out []spec.InstanceID
	for _, e := range s.entries {
		out = append(out, e.name)
	}
	return out
}

func (e *fakeEntry) renewGrants() {
	s := e.sim
	e.sequence++
	if s.chance(0.05) {
		e.wantedSlots = uint32(s.rng.IntN(5))
	}
	if s.faultsOff {
		e.wantedSlots = 0
	}
	req := &schedv1.RenewGrantsRequest{Entry: string(e.name), EntryIncarnation: 1, Sequence: e.sequence}
	req.RunningMs = uint64(s.now.Milliseconds())
	for _, w := range s.workers {
		g := e.grants[w.worker.ID]
		h := &schedv1.Holding{Worker: string(w.worker.ID), InUse: uint32(g.inUse), Want: e.wantedSlots, Epoch: g.epoch, Connections: uint32(g.inUse)}
		if s.now < g.until {
			h.HeldSlots = uint32(g.granted)
			h.HeldConnections = uint32(g.granted)
		}
		req.Holdings = append(req.Holdings, h)
	}
	sentAt, sequence := s.now, e.sequence
	request := s.checker.request(func(r Reply) {
		s.after(s.messageDelay(), func() { e.applyGrants(r.Grants, sentAt, sequence) })
	})
	s.after(s.messageDelay(), func() { s.pickNode().step(RenewGrants{Request: request, Renewal: req}) })
}

// applyGrants applies a response unless a later request has been sent.
func (e *fakeEntry) applyGrants(grants []*schedv1.Grant, sentAt time.Duration, sequence uint64) {
	if sequence != e.sequence {
		return
	}
	for _, g := range grants {
		held := e.grants[spec.WorkerID(g.GetWorker())]
		held.epoch = max(held.epoch, g.GetEpoch())
		if g.GetSlots() == 0 {
			continue
		}
		held.granted = int64(g.GetSlots())
		held.until = sentAt + time.Duration(float64(g.GetValidMs())*0.998*float64(time.Millisecond))
	}
}

// startRequests starts urgent requests within the grants.
func (e *fakeEntry) startRequests() {
	s := e.sim
	for _, w := range s.workers {
		g := e.grants[w.worker.ID]
		if s.now >= g.until || g.inUse >= min(g.granted, int64(e.wantedSlots)) {
			continue
		}
		g.inUse++
		w.urgentRequests++
		w.advance()
		s.checker.checkWorker(s, w)
		limit := time.Duration(float64(s.opts.Grants.UrgentLimit) * 0.998)
		s.after(s.upTo(limit), func() {
			g.inUse--
			w.urgentRequests--
		})
	}
}
