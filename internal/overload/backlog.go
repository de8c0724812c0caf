package overload

import "math"

// Job is the model's part of an accepted job.
type Job struct {
	queue   *queue
	service *service
	size    Size
	// work is the estimated work in all, open that of tasks that are neither done
	// nor running.
	work, open int64
	// holds are the processors that its long-running tasks hold until it ends.
	holds int64
}

// Step is the model's part of a step of an accepted job. All of its tasks are alike.
type Step struct {
	job   *Job
	queue *queue
	size  Size
	kind  Kind
	// work and cpu are those of one task.
	work, cpu int64
	// inTimeMS is the last time of a start with which the job meets its objective,
	// valuableMS that with which its result still has value.
	inTimeMS, valuableMS int64
	waiting              int64
	lateness             lateness
	// position is the step's index in Model.moving, or -1.
	position int
}

// AddJob counts an accepted job.
func (m *Model) AddJob(j *Job, s *Submission) {
	q := m.queue(s.Queue, s.Policy)
	if q == nil {
		return
	}
	*j = Job{queue: q, service: q.service, size: q.sizeOf(s.Work), work: s.Work, holds: s.Holds}
	q.jobs++
	q.works.add(s.Work)
	if s.Holds > 0 {
		q.holds.add(s.Holds)
	}
	if s.WidestTask > 0 {
		q.widestTasks.add(s.WidestTask)
		widest := s.WidestStep
		if j.service != nil && j.service.workers > 0 {
			widest = min(widest, s.WidestTask*j.service.workers)
		}
		q.widestSteps.add(widest)
	}
	if j.service != nil {
		j.service.committed += j.holds
	}
}

// RemoveJob removes a job that has ended. Its runs may still end later.
func (m *Model) RemoveJob(j *Job) {
	if j.queue == nil {
		return
	}
	j.queue.jobs--
	if j.service != nil {
		j.service.committed -= j.holds
		j.service.released += j.holds
	}
	j.holds, j.queue = 0, nil
}

// AddStep initializes a step of a job; open is the number of its tasks that are not
// done.
func (m *Model) AddStep(s *Step, j *Job, kind Kind, work, cpu int64, open int) {
	*s = Step{job: j, queue: j.queue, size: j.size, kind: kind, work: work, cpu: cpu, inTimeMS: math.MaxInt64, valuableMS: math.MaxInt64, position: -1}
	j.open += work * int64(open)
}

// SetDeadlines sets the last times of a start with which the job meets its objective
// and with which its result still has value.
func (m *Model) SetDeadlines(s *Step, inTimeMS, valuableMS, nowMS int64) {
	if s.queue == nil {
		return
	}
	s.count(-1)
	s.inTimeMS, s.valuableMS = inTimeMS, valuableMS
	m.recount(s, nowMS)
}

// Wait counts one more task of a step that waits for a worker.
func (m *Model) Wait(s *Step, nowMS int64) { m.addWaiting(s, 1, nowMS) }

// Unwait counts one task less.
func (m *Model) Unwait(s *Step, nowMS int64) { m.addWaiting(s, -1, nowMS) }

func (m *Model) addWaiting(s *Step, tasks, nowMS int64) {
	if s.queue == nil {
		return
	}
	s.count(-1)
	s.waiting += tasks
	m.recount(s, nowMS)
}

func (m *Model) recount(s *Step, nowMS int64) {
	s.classify(max(nowMS, m.nowMS))
	s.count(1)
	m.place(s)
}

// Begin counts a run of a step's task that reserves or uses processors from now on.
func (m *Model) Begin(s *Step) {
	if s.queue == nil {
		return
	}
	s.job.open -= s.work
	s.queue.running[s.kind] += s.cpu
	s.queue.runs++
}

// End counts a run that no longer uses processors.
func (m *Model) End(s *Step) {
	if s.queue == nil {
		return
	}
	s.job.open += s.work
	s.queue.running[s.kind] -= s.cpu
	s.queue.runs--
}

// Done counts a task that is done.
func (m *Model) Done(s *Step) {
	if s.job != nil {
		s.job.open -= s.work
	}
}

// NoteEnd notes that some run has ended.
func (m *Model) NoteEnd(nowMS int64) {
	if !m.endSeen {
		m.endSeen, m.firstEndMS = true, nowMS
	}
}

// Finished counts the work of a run that has ended as done. ratio is that of its
// actual to its estimated duration; 0 if it is unknown.
func (m *Model) Finished(s *Step, ratio float64) {
	q := s.queue
	if q == nil || s.kind == LongRunning {
		return
	}
	q.finished[s.kind] += s.work
	if ratio > 0 {
		q.ends++
		q.ratio.add(ratio, max(1/float64(q.ends), ratioWeight))
	}
}

// changesMS is the time after which the step's lateness changes.
func (s *Step) changesMS() int64 {
	switch s.lateness {
	case inTime:
		return s.inTimeMS
	case worthless:
		return math.MaxInt64
	}
	return s.valuableMS
}

// classify determines the lateness of a step that starts now.
func (s *Step) classify(nowMS int64) {
	switch {
	case nowMS <= s.inTimeMS:
		s.lateness = inTime
	case nowMS > s.valuableMS:
		s.lateness = worthless
	case float64(s.job.open) <= lateShare*float64(s.job.work):
		s.lateness = lateAhead
	default:
		s.lateness = lateBehind
	}
}

// count adds the step's waiting tasks to the queue's sums, or subtracts them.
func (s *Step) count(sign int64) {
	a := &s.queue.waiting[s.size][s.kind][s.lateness]
	a.tasks += sign * s.waiting
	a.work += sign * s.waiting * s.work
	a.cpu += sign * s.waiting * s.cpu
}
