package jobs

// Memory in bytes that accepted jobs take, as upper bounds. The leader takes the
// most: it holds the tasks of the occurrences that are due beside what every
// instance holds of the log.
const (
	// jobBytes is for a job's entry, its progress and the leader's own state of it,
	// endedJobBytes for the entry of a job that is final.
	jobBytes      = 2400
	endedJobBytes = 1000
	// stepBytes is for a step, in the log's copy of the job and the leader's.
	stepBytes = 1100
	// endedStepBytes is for a step of a job that is final.
	endedStepBytes = 320
	// taskBytes is for a task that waits for a worker.
	taskBytes = 240
	// earlyEndBytes is for an end of a run whose job is not known, at the log and at
	// the leader.
	earlyEndBytes = 140
	// rangeBytes is for a range of ended occurrences.
	rangeBytes = 16
	// progressFactor is the memory that progress takes, as a multiple of the size
	// of its record: it is held decoded by the log and by the leader.
	progressFactor = 4
)

// Footprint returns the memory that the leader needs for the job while one of its
// occurrences is open, in bytes.
func (j *Job) Footprint() int64 {
	return jobBytes + 2*j.textBytes() + int64(len(j.Steps))*stepBytes + j.OccurrenceFootprint()
}

// OccurrenceFootprint returns the memory that the leader needs for each open
// occurrence, in bytes.
func (j *Job) OccurrenceFootprint() int64 { return int64(j.tasksPerOccurrence()) * taskBytes }

// textBytes returns the size of the texts that the caller has chosen.
func (j *Job) textBytes() int64 {
	n := len(j.Queue) + len(j.Payload)
	for i := range j.Steps {
		n += j.Steps[i].textBytes()
	}
	return int64(n)
}

func (s *Step) textBytes() int {
	return len(s.Label) + len(s.Rack) + len(s.Image) + 8*len(s.After)
}

// footprint returns the memory that the entry takes at the instance that leads, in
// bytes.
func (e *Entry) footprint() int64 {
	size := int64(len(e.EarlyEnds)) * earlyEndBytes
	switch {
	case e.Job == nil:
		size += endedJobBytes
	case e.State().Final():
		size += endedJobBytes + e.Job.textBytes() + int64(len(e.Job.Steps))*endedStepBytes
	default:
		size += e.Job.Footprint()
	}
	return size + progressFactor*e.progressBytes
}

// release drops what nothing needs of a job that is final: readers need its state,
// and checks for second runs its shape.
func (e *Entry) release() {
	if e.Progress == nil || !e.Progress.State.Final() {
		return
	}
	e.Progress.Failures, e.Progress.Checkpoints, e.Progress.Partial = nil, nil, nil
	e.progressBytes = int64(len(e.Progress.Ended)) * rangeBytes
	for _, row := range e.Progress.Done {
		e.progressBytes += int64(len(row))
	}
	if e.Job != nil && e.Job.Payload != "" {
		// The leader may still hold the job as it was.
		job := *e.Job
		job.Payload = ""
		e.Job = &job
	}
}
