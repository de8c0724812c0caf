package jobs

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// EarlyEnd is the end of a run whose job has no submission record in the log. A
// leader may start tasks while their submission is being recorded and fail
// before it is. The end counts once the caller repeats the submission.
type EarlyEnd struct {
	Occurrence int `json:"o,omitempty"`
	Step       int `json:"s,omitempty"`
	Index      int `json:"x,omitempty"`
	Run        int `json:"r"`
	// Done states that the task finished; otherwise the run failed.
	Done bool `json:"d,omitempty"`
}

// EarlyEndsRecord returns the record of all early ends of a job.
func EarlyEndsRecord(id ID, ends []EarlyEnd) (Record, error) {
	value, err := json.Marshal(ends)
	return Record{Key: earlyEndsPrefix + string(id), Value: value}, errors.Wrap(err, "encode early ends")
}

// AddEarlyEnds applies the ends to the progress of a job whose submission has
// arrived. Ends that were applied before change nothing, and ends of tasks that
// the job does not have are ignored.
func (p *Progress) AddEarlyEnds(id ID, job *Job, ends []EarlyEnd) {
	for _, e := range ends {
		if !job.HasStep(e.Occurrence, e.Step) || e.Index < 0 || e.Index >= job.Steps[e.Step].Count {
			continue
		}
		p.LastRun = max(p.LastRun, e.Run)
		step := &job.Steps[e.Step]
		task := Task{Job: id, Occurrence: e.Occurrence, Step: e.Step, Index: e.Index}
		switch {
		case step.LongRunning:
		case !e.Done:
			p.AddFailure(step.FailureTask(task), e.Run)
		case step.Gang:
			for i := range step.Count {
				task.Index = i
				p.SetDone(job, task)
			}
		default:
			p.SetDone(job, task)
		}
	}
}

// FailureTask returns the task under which a failure of t is counted: all
// failures of a gang are counted under its first task.
func (s *Step) FailureTask(t Task) Task {
	if s.Gang {
		t.Index = 0
	}
	return t
}
