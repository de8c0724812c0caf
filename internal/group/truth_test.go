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

// truth is what happened on the workers and what callers were told.
type truth struct {
	running   map[spec.TaskID]spec.WorkerID
	starts    map[attemptKey]int
	ranBefore map[spec.TaskID]bool
	finished  map[spec.TaskID]int
	jobs      map[spec.JobID]*recordv1.JobSpec
	accepted  map[spec.JobID]bool
	cancelled map[spec.JobID]bool
	order     []spec.JobID
	requests  map[Request]func(Reply)
	next      Request
	moves     int
}

func newTruth() truth {
	return truth{
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

// started checks a start on a worker against everything that ran before.
func (t *truth) started(s *sim, w *fakeWorker, c platform.Command) {
	key := attemptKey{task: c.Task, attempt: c.Attempt}
	t.starts[key]++
	if other, ok := t.running[c.Task]; ok {
		s.fail("P2: %s runs on %s and starts on %s", c.Task, other, w.worker.ID)
	}
	if t.starts[key] > 1 {
		s.fail("P3: attempt %d of %s starts again", c.Attempt, c.Task)
	}
	repeatable := t.jobs[c.Task.Job].GetRestartFromStart() || c.Checkpoint != ""
	if t.ranBefore[c.Task] && !repeatable {
		s.fail("P6: %s runs again without a checkpoint", c.Task)
	}
	if !s.log.open(c) {
		s.fail("P3: attempt %d of %s starts but is not open in the log", c.Attempt, c.Task)
	}
	if t.cancelled[c.Task.Job] {
		s.fail("P2: %s starts after its cancellation was confirmed", c.Task)
	}
	if c.Attempt > 1 {
		t.moves++
	}
	t.running[c.Task] = w.worker.ID
	t.ranBefore[c.Task] = true
}

// checkWorker checks that a worker is not overcommitted.
func (t *truth) checkWorker(s *sim, w *fakeWorker) {
	used := w.used
	used.Slots += w.urgent
	if !used.Fits(w.worker.Capacity) {
		s.fail("P1: worker %s uses %+v of %+v", w.worker.ID, used, w.worker.Capacity)
	}
}

func (t *truth) request(answer func(Reply)) Request {
	t.next++
	t.requests[t.next] = answer
	return t.next
}

func (t *truth) reply(r Reply) {
	answer := t.requests[r.Request]
	delete(t.requests, r.Request)
	if answer != nil {
		answer(r)
	}
}

// newJob submits a new job; unanswered ones are submitted again later.
func (s *sim) newJob() {
	id := spec.JobID{Team: "desk", Name: fmt.Sprintf("job%d", len(s.truth.order))}
	job := &recordv1.JobSpec{
		Id:    jobRef(id),
		Class: uint32(spec.Deadline),
		Tasks: 1 + uint32(s.rng.IntN(5)),
		PerTask: &recordv1.Resources{
			MilliCpu: 1000 + s.rng.Int64N(9000), MemoryMib: 1000, Slots: 1 + s.rng.Int64N(3), Connections: 1,
		},
		RunTimeMs:        500 + s.rng.Int64N(9000) + s.faults.longer.Milliseconds(),
		RestartFromStart: s.chance(0.5),
	}
	s.truth.jobs[id] = job
	s.truth.order = append(s.truth.order, id)
	s.submit(id)
}

func (s *sim) submit(id spec.JobID) {
	request := s.truth.request(func(r Reply) {
		if r.Code == code.OK {
			s.truth.accepted[id] = true
		}
	})
	s.pick().step(Submit{Request: request, Job: s.truth.jobs[id], Actor: "desk"})
}

// resubmit repeats a submission that has no answer yet.
func (s *sim) resubmit() {
	for _, id := range s.truth.order {
		if !s.truth.accepted[id] {
			s.submit(id)
			return
		}
	}
}

func (s *sim) cancelOne() {
	if len(s.truth.order) == 0 {
		return
	}
	recent := s.truth.order[max(0, len(s.truth.order)-12):]
	id := recent[s.rng.IntN(len(recent))]
	request := s.truth.request(func(r Reply) {
		if r.Code == code.OK {
			s.truth.cancelled[id] = true
		}
	})
	s.pick().step(Cancel{Request: request, Job: id, Actor: "desk"})
}

// pick chooses mostly the owner and sometimes any node.
func (s *sim) pick() *node {
	owner := s.nodeRun(s.log.state.fence.Owner, s.log.state.fence.Incarnation)
	if owner == nil || s.fault(0.1) {
		return s.nodes[s.rng.IntN(len(s.nodes))]
	}
	return owner
}

// fakeEntry uses grants on workers for urgent requests.
type fakeEntry struct {
	sim      *sim
	name     spec.InstanceID
	sequence uint64
	want     uint32
	books    map[spec.WorkerID]*fakeBook
}

type fakeBook struct {
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

func (e *fakeEntry) renew() {
	s := e.sim
	e.sequence++
	if s.chance(0.05) {
		e.want = uint32(s.rng.IntN(5))
	}
	if s.quiet {
		e.want = 0
	}
	req := &schedv1.RenewGrantsRequest{Entry: string(e.name), EntryIncarnation: 1, Sequence: e.sequence}
	req.RunningMs = uint64(s.now.Milliseconds())
	for _, w := range s.workers {
		b := e.books[w.worker.ID]
		h := &schedv1.Holding{Worker: string(w.worker.ID), InUse: uint32(b.inUse), Want: e.want, Epoch: b.epoch, Connections: uint32(b.inUse)}
		if s.now < b.until {
			h.HeldSlots = uint32(b.granted)
			h.HeldConnections = uint32(b.granted)
		}
		req.Holdings = append(req.Holdings, h)
	}
	sentAt, sequence := s.now, e.sequence
	request := s.truth.request(func(r Reply) {
		s.after(s.transit(), func() { e.take(r.Grants, sentAt, sequence) })
	})
	s.after(s.transit(), func() { s.pick().step(RenewGrants{Request: request, Renewal: req}) })
}

// take uses an answer only when no later request was sent.
func (e *fakeEntry) take(grants []*schedv1.Grant, sentAt time.Duration, sequence uint64) {
	if sequence != e.sequence {
		return
	}
	for _, g := range grants {
		b := e.books[spec.WorkerID(g.GetWorker())]
		b.epoch = max(b.epoch, g.GetEpoch())
		if g.GetSlots() == 0 {
			continue
		}
		b.granted = int64(g.GetSlots())
		b.until = sentAt + time.Duration(float64(g.GetValidMs())*0.998*float64(time.Millisecond))
	}
}

// work starts requests within the grants.
func (e *fakeEntry) work() {
	s := e.sim
	for _, w := range s.workers {
		b := e.books[w.worker.ID]
		if s.now >= b.until || b.inUse >= min(b.granted, int64(e.want)) {
			continue
		}
		b.inUse++
		w.urgent++
		w.advance()
		s.truth.checkWorker(s, w)
		limit := time.Duration(float64(s.opts.Grants.UrgentLimit) * 0.998)
		s.after(s.span(limit), func() {
			b.inUse--
			w.urgent--
		})
	}
}
