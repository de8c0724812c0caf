package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// site drives a model as the planner would, with one service of 20 workers of 64
// cores.
type site struct {
	m     *Model
	nowMS int64
	// held and used are the long-running and all reserved processors of a worker.
	held, used int64
}

func newSite() *site {
	s := &site{m: New(0)}
	s.m.SetQueue("urgent", Policy{Service: "s", Priority: 0, Objective: true})
	s.m.SetQueue("serving", Policy{Service: "s", Priority: 0, Objective: true})
	s.m.SetQueue("batch", Policy{Service: "s", Priority: 2, Objective: true})
	return s
}

const (
	siteWorkers    = 20
	workerCapacity = 64_000
)

func (s *site) advance(ms int64) {
	for end := s.nowMS + ms; s.nowMS < end; {
		s.nowMS += 20
		s.m.Advance(s.nowMS)
		if !s.m.SampleDue(s.nowMS) {
			continue
		}
		for range siteWorkers {
			s.m.AddWorker("s", workerCapacity, s.held, s.used)
		}
		s.m.EndSample(s.nowMS)
	}
}

// ready passes the time in which a new leader refuses nothing.
func (s *site) ready() {
	s.m.NoteEnd(s.nowMS)
	s.advance(4000)
}

func batchJob(id string, tasks int64) *Submission {
	return &Submission{
		ID: id, Queue: "batch", Policy: Policy{Service: "s", Priority: 2, Objective: true},
		Work: tasks * 14_000, ChainMS: 2000, ObjectiveMS: 5000,
	}
}

func urgentJob(id string) *Submission {
	return &Submission{
		ID: id, Queue: "urgent", Policy: Policy{Service: "s", Objective: true}, Work: 80_000,
		WidestTask: 8000, NarrowestTask: 8000, WidestStep: 80_000, ChainMS: 1000, ObjectiveMS: 1750,
	}
}

func servingJob(id string, tasks int64) *Submission {
	return &Submission{
		ID: id, Queue: "serving", Policy: Policy{Service: "s", Objective: true}, Work: tasks * 3900,
		Holds: tasks * 13_000, ChainMS: 300, ObjectiveMS: 3160,
	}
}

// accept counts a job and lets its tasks wait.
func (s *site) accept(sub *Submission, tasks int, kind Kind, cpu int64) (*Job, *Step) {
	j, step := &Job{}, &Step{}
	s.m.AddJob(j, sub)
	s.m.AddStep(step, j, kind, sub.Work/int64(tasks), cpu, tasks)
	s.m.SetDeadlines(step, s.nowMS+sub.ObjectiveMS-sub.ChainMS, s.nowMS+lateFactor*sub.ObjectiveMS-sub.ChainMS, s.nowMS)
	for range tasks {
		s.m.Wait(step, s.nowMS)
	}
	return j, step
}

// overloadBatch lets batch jobs wait whose work takes far longer than any of them
// has value, while little is finished.
func (s *site) overloadBatch() {
	for i := range 100 {
		_, step := s.accept(batchJob(fmt.Sprint("old", i), 20), 20, BestEffort, 7000)
		if i < 5 {
			s.m.Unwait(step, s.nowMS)
			s.m.Begin(step)
		}
	}
	for range 20 {
		_, step := s.accept(batchJob("done", 1), 1, BestEffort, 7000)
		s.m.Unwait(step, s.nowMS)
		s.m.Finished(step, 1)
	}
}

// Guards against refusals for work that is not served before the submission: what
// has become late or worthless lets later work pass.
func TestOnlyWorkServedBeforeCounts(t *testing.T) {
	c := qt.New(t)
	s := newSite()
	s.ready()
	s.overloadBatch()
	s.advance(400)
	v := s.m.Check(batchJob("new", 20), s.nowMS)
	c.Assert(v.Refuse, qt.IsTrue)
	c.Assert(v.Reason, qt.Equals, Worthless)
	c.Assert(v.PredictedMS > v.LimitMS, qt.IsTrue)
	s.advance(3000)
	c.Assert(s.m.Check(batchJob("new", 20), s.nowMS).Refuse, qt.IsFalse)
	// Only the rest of the last job that has hardly anything left counts.
	statuses := s.m.Statuses(nil)
	c.Assert(statuses[0].Queue, qt.Equals, "batch")
	c.Assert(statuses[0].Tasks > 0, qt.IsTrue)
}

// Guards against refusals while the model knows too little, and against refusals of
// jobs for which capacity is free or that no worker serves.
func TestNothingIsRefusedWithoutKnowledge(t *testing.T) {
	c := qt.New(t)
	s := newSite()
	s.advance(2000)
	s.overloadBatch()
	s.advance(400)
	c.Check(s.m.Check(batchJob("a", 20), s.nowMS).Refuse, qt.IsFalse, qt.Commentf("first 3 s of a term"))
	s.advance(2000)
	c.Check(s.m.Check(batchJob("a", 20), s.nowMS).Refuse, qt.IsFalse, qt.Commentf("no ends seen"))
	s.m.NoteEnd(s.nowMS)
	s.advance(1980)
	c.Check(s.m.Check(batchJob("a", 20), s.nowMS).Refuse, qt.IsFalse, qt.Commentf("ends seen for less than 2 s"))

	s = newSite()
	s.ready()
	for i := range 40 {
		_, step := s.accept(urgentJob(fmt.Sprint(i)), 10, Reserved, 8000)
		if i == 0 {
			s.m.Unwait(step, s.nowMS)
			s.m.Begin(step)
		}
	}
	s.used = workerCapacity - 7000
	s.advance(400)
	c.Check(s.m.Check(urgentJob("b"), s.nowMS).Refuse, qt.IsTrue)
	s.used = workerCapacity - 8000
	s.advance(400)
	c.Check(s.m.Check(urgentJob("b"), s.nowMS).Refuse, qt.IsFalse, qt.Commentf("a worker has room"))
	other := urgentJob("b")
	other.Queue = "unknown"
	c.Check(s.m.Check(other, s.nowMS).Refuse, qt.IsFalse, qt.Commentf("unknown queue"))
	s.m.services["s"].workers = 0
	s.used = workerCapacity
	c.Check(s.m.Check(urgentJob("b"), s.nowMS).Refuse, qt.IsFalse, qt.Commentf("no usable worker"))
}

// fillWithServing submits long-running jobs until one is refused and returns how
// many were accepted.
func (s *site) fillWithServing(prefix string) int {
	for i := range 200 {
		sub := servingJob(fmt.Sprint(prefix, i), 4)
		v := s.m.Check(sub, s.nowMS)
		if v.Refuse {
			s.m.Refused(sub, &v, s.nowMS)
			return i
		}
		s.m.Accepted(sub, &v)
		s.m.AddJob(&Job{}, sub)
	}
	return 200
}

// Guards against long-running jobs that take the processors that urgent jobs need,
// and against capacity that is held back without a user.
func TestLongRunningJobsLeaveRoomForUrgentOnes(t *testing.T) {
	c := qt.New(t)
	alone := newSite()
	alone.ready()
	c.Assert(alone.fillWithServing("a"), qt.Equals, 200, qt.Commentf("no queue with an objective reserves anything"))

	s := newSite()
	s.ready()
	for i := range 2 {
		_, step := s.accept(urgentJob(fmt.Sprint(i)), 10, Reserved, 8000)
		for range 10 {
			s.m.Unwait(step, s.nowMS)
			s.m.Begin(step)
		}
	}
	s.advance(2000)
	// 160 cores are needed, 176 with the fragmentation, of 1,280; a job holds 52.
	c.Assert(s.fillWithServing("a"), qt.Equals, 21)
	// The demand is remembered for 20 s, and the widest step for longer.
	s.advance(25_000)
	committed := s.m.services["s"].committed
	c.Assert(float64(siteWorkers*workerCapacity-committed) >= fragmentation*160_000, qt.IsTrue)
}

// Guards against a need that grows without a bound: waiting tasks whose results have
// lost their value count no longer.
func TestNeedForgetsWorthlessWork(t *testing.T) {
	c := qt.New(t)
	s := newSite()
	s.ready()
	for i := range 30 {
		s.accept(urgentJob(fmt.Sprint(i)), 10, Reserved, 8000)
	}
	s.advance(1000)
	c.Assert(s.m.queues["urgent"].need, qt.Equals, int64(2_400_000))
	s.advance(25_000)
	// The widest step remains.
	c.Assert(s.m.queues["urgent"].need, qt.Equals, int64(80_000))
}

// Guards against refusing that sets in and ends with each submission, and against
// callers who return in their slot behind others who come for the first time.
func TestHysteresisAndReturns(t *testing.T) {
	c := qt.New(t)
	s := newSite()
	s.ready()
	s.accept(urgentJob("u"), 10, Reserved, 8000)
	s.advance(1000)
	c.Assert(s.fillWithServing("a") > 0, qt.IsTrue)
	first, again := servingJob("first", 4), servingJob("again", 4)
	v := s.m.Check(first, s.nowMS)
	c.Assert(v.Refuse, qt.IsTrue)
	retryMS := s.m.Refused(first, &v, s.nowMS)
	c.Assert(retryMS >= minRetryMS && retryMS <= maxRetryMS, qt.IsTrue)
	// Room for one job within the bound, but not below 0.8 of it.
	room := s.m.services["s"].committed - 20_000
	s.m.services["s"].committed = room
	c.Assert(s.m.Check(again, s.nowMS).Refuse, qt.IsTrue, qt.Commentf("while refusing"))
	c.Assert(s.m.Check(first, s.nowMS+retryMS/2).Refuse, qt.IsTrue, qt.Commentf("before its slot"))
	s.nowMS += retryMS
	c.Assert(s.m.Check(again, s.nowMS).Refuse, qt.IsTrue)
	v = s.m.Check(first, s.nowMS)
	c.Assert(v.Refuse, qt.IsFalse, qt.Commentf("in its slot"))
	s.m.Accepted(first, &v)
	c.Assert(s.m.queues["serving"].gates[headroomGate].refusing, qt.IsTrue)
	s.m.services["s"].committed = room - 200_000
	v = s.m.Check(again, s.nowMS)
	c.Assert(v.Refuse, qt.IsFalse)
	s.m.Accepted(again, &v)
	c.Assert(s.m.queues["serving"].gates[headroomGate].refusing, qt.IsFalse)
}

// Guards against callers who return together or out of turn.
func TestSlotsFollowTheOrderOfRefusal(t *testing.T) {
	c := qt.New(t)
	s := newSite()
	s.ready()
	s.overloadBatch()
	s.advance(400)
	last := int64(0)
	first := int64(0)
	for i := range 10 {
		sub := batchJob(fmt.Sprint("r", i), 20)
		v := s.m.Check(sub, s.nowMS)
		c.Assert(v.Refuse, qt.IsTrue)
		retryMS := s.m.Refused(sub, &v, s.nowMS)
		c.Assert(retryMS >= minRetryMS && retryMS <= maxRetryMS, qt.IsTrue)
		c.Assert(retryMS > last || retryMS == maxRetryMS, qt.IsTrue, qt.Commentf("%d after %d", retryMS, last))
		if last = retryMS; i == 0 {
			first = retryMS
		}
	}
	// An early return keeps its slot.
	s.nowMS += 200
	sub := batchJob("r0", 20)
	v := s.m.Check(sub, s.nowMS)
	c.Assert(s.m.Refused(sub, &v, s.nowMS), qt.Equals, max(first-200, minRetryMS))
}

// loaded is a job that a test has accepted.
type loaded struct {
	job  *Job
	step *Step
	// tasks are left to be served, until endMS.
	tasks int
	endMS int64
}

// admittedByClass submits jobs of 2, 8 and 24 tasks, 70, 20 and 10 of a hundred,
// every 40 ms, and returns how many were offered and admitted. serve advances what
// was accepted.
func (s *site) admittedByClass(jobs int, submission func(id string, tasks int64) *Submission, kind Kind, serve func([]*loaded) []*loaded) (offered, admitted [3]int) {
	rng := rand.New(rand.NewPCG(3, 4))
	var open []*loaded
	for i := range jobs {
		s.advance(40)
		open = serve(open)
		class, tasks := 0, int64(2)
		switch n := rng.IntN(100); {
		case n >= 90:
			class, tasks = 2, 24
		case n >= 70:
			class, tasks = 1, 8
		}
		sub := submission(fmt.Sprint("j", i), tasks)
		offered[class]++
		v := s.m.Check(sub, s.nowMS)
		if v.Refuse {
			s.m.Refused(sub, &v, s.nowMS)
			continue
		}
		s.m.Accepted(sub, &v)
		admitted[class]++
		j, step := s.accept(sub, int(tasks), kind, 7000)
		open = append(open, &loaded{j, step, int(tasks), s.nowMS + 6000})
	}
	return offered, admitted
}

// Guards against size classes that are refused much more often than their queue:
// under lasting overload each is admitted at least half as often.
func TestNoSizeClassStarves(t *testing.T) {
	check := func(t *testing.T, offered, admitted [3]int) {
		total := float64(admitted[0]+admitted[1]+admitted[2]) / float64(offered[0]+offered[1]+offered[2])
		t.Logf("admitted %v of %v", admitted, offered)
		qt.Check(t, total > 0 && total < 0.8, qt.IsTrue, qt.Commentf("%.2f admitted", total))
		for class := range 3 {
			share := float64(admitted[class]) / float64(offered[class])
			qt.Check(t, share >= 0.5*total, qt.IsTrue, qt.Commentf("class %d: %.2f of %.2f", class, share, total))
		}
	}
	t.Run("batch", func(t *testing.T) {
		s := newSite()
		s.ready()
		budget := int64(0)
		// A tenth of the submitted work is finished, first come, first served.
		offered, admitted := s.admittedByClass(6000, batchJob, BestEffort, func(open []*loaded) []*loaded {
			budget += 7500
			for len(open) > 0 {
				l := open[0]
				for l.tasks > 0 && budget >= l.step.work {
					budget -= l.step.work
					s.m.Unwait(l.step, s.nowMS)
					s.m.Done(l.step)
					s.m.Finished(l.step, 1)
					l.tasks--
				}
				if l.tasks > 0 {
					break
				}
				s.m.RemoveJob(l.job)
				open = open[1:]
			}
			return open
		})
		check(t, offered, admitted)
	})
	t.Run("serving", func(t *testing.T) {
		s := newSite()
		s.ready()
		s.accept(urgentJob("u"), 10, Reserved, 8000)
		offered, admitted := s.admittedByClass(6000, servingJob, LongRunning, func(open []*loaded) []*loaded {
			kept := open[:0]
			for _, l := range open {
				if s.nowMS < l.endMS {
					kept = append(kept, l)
					continue
				}
				for range l.tasks {
					s.m.Unwait(l.step, s.nowMS)
				}
				s.m.RemoveJob(l.job)
			}
			return kept
		})
		check(t, offered, admitted)
	})
}

// Guards against sums that drift: once everything has started and ended, nothing
// is left, in whatever order it happened.
func TestSumsReturnToZero(t *testing.T) {
	c := qt.New(t)
	s := newSite()
	rng := rand.New(rand.NewPCG(1, 2))
	type entry struct {
		job     *Job
		step    *Step
		waiting int
		running int
	}
	var entries []*entry
	for i := range 3000 {
		s.advance(20)
		switch n := rng.IntN(4); {
		case n == 0:
			j, step := s.accept(batchJob(fmt.Sprint(i), 5), 5, Kind(rng.IntN(int(kinds))), 700)
			entries = append(entries, &entry{j, step, 5, 0})
		case len(entries) == 0:
		default:
			e := entries[rng.IntN(len(entries))]
			switch {
			case n == 1 && e.waiting > 0:
				s.m.Unwait(e.step, s.nowMS)
				s.m.Begin(e.step)
				e.waiting, e.running = e.waiting-1, e.running+1
			case n == 2 && e.running > 0:
				s.m.End(e.step)
				s.m.Done(e.step)
				e.running--
			case n == 3 && e.running > 0:
				s.m.End(e.step)
				s.m.Wait(e.step, s.nowMS)
				e.waiting, e.running = e.waiting+1, e.running-1
			}
		}
	}
	for _, e := range entries {
		s.m.RemoveJob(e.job)
		for range e.waiting {
			s.m.Unwait(e.step, s.nowMS)
		}
		for range e.running {
			s.m.End(e.step)
		}
	}
	q := s.m.queues["batch"]
	c.Assert(q.waiting, qt.Equals, [sizes][kinds][latenesses]amount{})
	c.Assert(q.running, qt.Equals, [kinds]int64{})
	c.Assert(q.jobs, qt.Equals, 0)
	c.Assert(s.m.moving, qt.HasLen, 0)
	c.Assert(s.m.services["s"].committed, qt.Equals, int64(0))
}

// Guards against memory that grows with names that callers or configurations send.
func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	s := newSite()
	s.ready()
	for i := range 3 * maxQueues {
		sub := batchJob(fmt.Sprint("j", i), 1)
		sub.Queue, sub.Policy.Service = fmt.Sprint("q", i), fmt.Sprint("s", i)
		s.accept(sub, 1, BestEffort, 100)
		v := s.m.Check(sub, s.nowMS)
		s.m.Refused(sub, &v, s.nowMS)
	}
	c.Assert(len(s.m.queues) <= maxQueues, qt.IsTrue)
	c.Assert(len(s.m.services) <= maxServices, qt.IsTrue)

	s = newSite()
	s.ready()
	s.m.BeginConfiguration()
	s.m.SetQueue("batch", Policy{Service: "s"})
	s.advance(1000)
	c.Assert(s.m.queues, qt.HasLen, 1)
}
