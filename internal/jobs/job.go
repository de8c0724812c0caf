// Package jobs is the model of submitted work: jobs made of steps of tasks,
// their checks, and the replicated book that says what has been submitted,
// cancelled and finished.
package jobs

import (
	"strconv"
	"strings"

	"redwingvale/internal/code"
)

// Limits of a job. They bound the memory that one submission can take.
const (
	MaxPayloadBytes = 4000
	MaxSteps        = 64
	MaxTasksPerStep = 10_000
	// MaxTasks bounds the tasks of all occurrences: the leader keeps them in
	// memory, of which the smallest instances have 184 MB.
	MaxTasks = 100_000
)

// ID names a job. The caller chooses it.
type ID string

// Policy is what the operators' configuration says of a queue.
type Policy struct {
	Service  string `json:"s,omitempty"`
	Priority int    `json:"p,omitempty"`
	// MaxAttempts bounds the failed runs of a task; 0 is no bound.
	MaxAttempts     int     `json:"a,omitempty"`
	Stretch         float64 `json:"x,omitempty"`
	TargetLatencyMS int64   `json:"t,omitempty"`
	// Advised queues need the placement adviser's permission for a worker.
	Advised bool `json:"v,omitempty"`
}

// Job is one submission: what to run, in which order, and how often.
type Job struct {
	Queue   string `json:"q"`
	Payload string `json:"d,omitempty"`
	Steps   []Step `json:"s"`
	// Repeat is the number of scheduled occurrences; 0 for a job that runs once.
	Repeat int `json:"n,omitempty"`
	// StartAtMS is when the first occurrence is due, in Unix milliseconds.
	StartAtMS  int64 `json:"a,omitempty"`
	IntervalMS int64 `json:"i,omitempty"`
	// SubmittedMS is when the job was taken in, in Unix milliseconds.
	SubmittedMS int64 `json:"t,omitempty"`
	// Policy is the queue's policy under which the job was accepted. It stands in
	// for the configuration where that is not known or has dropped the queue.
	Policy *Policy `json:"p,omitempty"`
}

// Step is a set of equal tasks that start when the steps before it are done.
type Step struct {
	Count      int   `json:"c"`
	CPUMilli   int   `json:"u,omitempty"`
	MemoryMB   int   `json:"m,omitempty"`
	GPU        int   `json:"g,omitempty"`
	EstimateMS int   `json:"e,omitempty"`
	After      []int `json:"a,omitempty"`
	// Checkpointing tasks can be resumed from their last checkpoint.
	Checkpointing bool `json:"k,omitempty"`
	// Gang tasks run only while all of them run.
	Gang     bool `json:"gg,omitempty"`
	SameRack bool `json:"sr,omitempty"`
	// Label must be among the labels of the worker.
	Label string `json:"l,omitempty"`
	// Rack is where the step's data is; elsewhere the tasks run slower.
	Rack string `json:"r,omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker; 0 is no bound.
	MaxPerWorker int `json:"x,omitempty"`
	// Speculative tasks may run as several copies at once.
	Speculative bool `json:"sp,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool   `json:"lr,omitempty"`
	Image       string `json:"im,omitempty"`
	// TailTargetMS is the bound on the response time of a serving task.
	TailTargetMS int `json:"tt,omitempty"`
	// Fills marks tasks that use only the processor time others leave.
	Fills bool `json:"f,omitempty"`
	// MaxUnavailable bounds the long-running tasks that stops and moves may
	// take away at the same time.
	MaxUnavailable int `json:"mu,omitempty"`
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(j.Repeat, 1) }

// LongRunning reports whether the job runs until it is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// DueMS returns when an occurrence may start, in Unix milliseconds; 0 for a
// job without a schedule.
func (j *Job) DueMS(occurrence int) int64 {
	if j.Repeat == 0 {
		return 0
	}
	return j.StartAtMS + int64(occurrence)*j.IntervalMS
}

// Check returns an error with a result code for a job that cannot be taken.
func (j *Job) Check() error {
	if err := j.checkShape(); err != nil {
		return err
	}
	if j.Occurrences() > MaxTasks || j.tasks()*j.Occurrences() > MaxTasks {
		return code.New(code.BadRequest, "%d occurrences of %d tasks, at most %d in all", j.Occurrences(), j.tasks(), MaxTasks)
	}
	return nil
}

// checkShape returns an error for a job that no planner can handle. Records of
// accepted jobs have to pass it too, so it must not become stricter.
func (j *Job) checkShape() error {
	switch {
	case len(j.Payload) > MaxPayloadBytes:
		return code.New(code.BodyTooLarge, "payload of %d bytes, at most %d", len(j.Payload), MaxPayloadBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return code.New(code.BadRequest, "%d steps, want 1 to %d", len(j.Steps), MaxSteps)
	case j.Repeat < 0 || j.IntervalMS < 0 || j.StartAtMS < 0:
		return code.New(code.BadRequest, "negative schedule")
	}
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
	}
	return nil
}

// tasks returns the number of tasks of one occurrence.
func (j *Job) tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

func (s *Step) check(index int) error {
	if s.Count < 1 || s.Count > MaxTasksPerStep {
		return code.New(code.BadRequest, "step %d: %d tasks, want 1 to %d", index, s.Count, MaxTasksPerStep)
	}
	if s.CPUMilli < 0 || s.MemoryMB < 0 || s.GPU < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return code.New(code.BadResources, "step %d: negative amount", index)
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return code.New(code.BadRequest, "step %d: after %d, want an earlier step", index, before)
		}
	}
	return nil
}

// Task names one task of a job.
type Task struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name: ID.OCCURRENCE.STEP.INDEX.
func (t Task) String() string {
	return string(t.Job) + "." + t.local()
}

func (t Task) local() string {
	return strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTask reads a task's name.
func ParseTask(name string) (Task, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return Task{}, false
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return Task{}, false
		}
		numbers[i] = n
	}
	return Task{Job: ID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, true
}

// StepName returns the name of the task's step: ID.OCCURRENCE.STEP.
func (t Task) StepName() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}
