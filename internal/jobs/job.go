// Package jobs defines submitted work: jobs made of steps of tasks, their
// validation, and the replicated state machine that records which jobs have
// been submitted, cancelled and finished.
package jobs

import (
	"math"
	"strconv"
	"strings"

	"redwingvale/internal/code"
)

// Limits of a job. They bound the memory that one submission can use.
const (
	MaxPayloadBytes = 4000
	MaxSteps        = 64
	MaxTasksPerStep = 10_000
	// MaxTasks bounds the tasks of all occurrences. The leader may have to keep all
	// of them in memory if they are due at once.
	MaxTasks = 100_000
)

// ID identifies a job. The caller chooses it.
type ID string

// Policy is the operators' configuration of a queue.
type Policy struct {
	Service  string `json:"s,omitempty"`
	Priority int    `json:"p,omitempty"`
	// MaxAttempts bounds the failed runs of a task; 0 means no limit.
	MaxAttempts     int     `json:"a,omitempty"`
	Stretch         float64 `json:"x,omitempty"`
	TargetLatencyMS int64   `json:"t,omitempty"`
	// Advised states that tasks of the queue need the placement adviser's
	// permission to run on a worker.
	Advised bool `json:"v,omitempty"`
	// Advice says how long the adviser takes for the queue.
	Advice Advice `json:"w,omitzero"`
}

// Advice describes the placement adviser's responses about one queue, in
// milliseconds; 0 if unknown.
type Advice struct {
	// DecisionMS is the time that a response takes, beside WorkerMS for each worker
	// that the request names.
	DecisionMS int64 `json:"d,omitempty"`
	WorkerMS   int64 `json:"w,omitempty"`
	// ValidityMS is how long a permission is valid.
	ValidityMS int64 `json:"v,omitempty"`
}

// Job is one submission: what to run, in which order and how many times.
type Job struct {
	Queue   string `json:"q"`
	Payload string `json:"d,omitempty"`
	Steps   []Step `json:"s"`
	// Repeat is the number of scheduled occurrences; 0 means that the job runs
	// once, without a schedule.
	Repeat int `json:"n,omitempty"`
	// StartAtMS is the time at which the first occurrence is due, in Unix
	// milliseconds.
	StartAtMS  int64 `json:"a,omitempty"`
	IntervalMS int64 `json:"i,omitempty"`
	// SubmittedMS is the time of acceptance, in Unix milliseconds.
	SubmittedMS int64 `json:"t,omitempty"`
	// Policy is the queue's policy at acceptance. It is used when the
	// configuration is not available or no longer contains the queue.
	Policy *Policy `json:"p,omitempty"`
}

// Step is a set of identical tasks that start when the steps in After are done.
type Step struct {
	Count      int   `json:"c"`
	CPUMilli   int   `json:"u,omitempty"`
	MemoryMB   int   `json:"m,omitempty"`
	GPU        int   `json:"g,omitempty"`
	EstimateMS int   `json:"e,omitempty"`
	After      []int `json:"a,omitempty"`
	// Checkpointing tasks can resume from their newest checkpoint.
	Checkpointing bool `json:"k,omitempty"`
	// Gang tasks run only if all tasks of the step run at the same time.
	Gang     bool `json:"gg,omitempty"`
	SameRack bool `json:"sr,omitempty"`
	// Label is a label that the worker must have.
	Label string `json:"l,omitempty"`
	// Rack is the rack that holds the step's data; the tasks run slower on others.
	Rack string `json:"r,omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker; 0 means no limit.
	MaxPerWorker int `json:"x,omitempty"`
	// Speculative tasks may run as several copies at the same time.
	Speculative bool `json:"sp,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool   `json:"lr,omitempty"`
	Image       string `json:"im,omitempty"`
	// TailTargetMS is the tail latency target of a serving task.
	TailTargetMS int `json:"tt,omitempty"`
	// BestEffort tasks use only the processor time that other tasks leave idle.
	BestEffort bool `json:"f,omitempty"`
	// MaxUnavailable bounds the long-running tasks that may be stopped or moved
	// at the same time.
	MaxUnavailable int `json:"mu,omitempty"`
}

// Occurrences returns the number of times that the steps run.
func (j *Job) Occurrences() int { return max(j.Repeat, 1) }

// HasStep reports whether the job has the step of the occurrence.
func (j *Job) HasStep(occurrence, step int) bool {
	return occurrence >= 0 && occurrence < j.Occurrences() && step >= 0 && step < len(j.Steps)
}

// LongRunning reports whether the job runs until it is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// DueMS returns the earliest start of an occurrence in Unix milliseconds, or 0
// for a job without a schedule.
func (j *Job) DueMS(occurrence int) int64 {
	if j.Repeat == 0 {
		return 0
	}
	if j.IntervalMS > 0 && int64(occurrence) > (math.MaxInt64-j.StartAtMS)/j.IntervalMS {
		return math.MaxInt64
	}
	return j.StartAtMS + int64(occurrence)*j.IntervalMS
}

// Check returns an error with a result code for a job that cannot be accepted.
func (j *Job) Check() error {
	if err := j.checkStructure(); err != nil {
		return err
	}
	if j.Occurrences() > MaxTasks || j.tasksPerOccurrence()*j.Occurrences() > MaxTasks {
		return code.New(code.BadRequest, "%d occurrences of %d tasks, at most %d in all", j.Occurrences(), j.tasksPerOccurrence(), MaxTasks)
	}
	return nil
}

// checkStructure returns an error for a job that the planner cannot process.
// Records of accepted jobs must pass it too, so it must not become stricter.
func (j *Job) checkStructure() error {
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

// tasksPerOccurrence returns the number of tasks of one occurrence.
func (j *Job) tasksPerOccurrence() int {
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
	for _, predecessor := range s.After {
		if predecessor < 0 || predecessor >= index {
			return code.New(code.BadRequest, "step %d: after %d, want an earlier step", index, predecessor)
		}
	}
	return nil
}

// Task identifies one task of a job.
type Task struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name: ID.OCCURRENCE.STEP.INDEX.
func (t Task) String() string {
	return string(t.Job) + "." + t.localName()
}

func (t Task) localName() string {
	return strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTask parses a task's name as returned by String.
func ParseTask(name string) (Task, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return Task{}, false
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 || n > math.MaxInt32 {
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
