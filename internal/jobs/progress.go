package jobs

import (
	"maps"
	"math/bits"
	"slices"
)

// State is the state of a job as reported to callers.
type State string

// The states of a job. The last three are final.
const (
	Queued    State = "queued"
	Active    State = "active"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state is terminal.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Progress is the recorded execution state of a job. It holds everything that a
// new leader needs and cannot read from the workers.
type Progress struct {
	State State `json:"s"`
	// Done holds a bit for each finished task: one row for each step of each
	// occurrence, in order.
	Done [][]byte `json:"d,omitempty"`
	// Failures lists the failed runs of each task by run number, so that a
	// failure that is reported twice counts once.
	Failures map[string][]int `json:"f,omitempty"`
	// Checkpoints holds the newest checkpoint of each unfinished task.
	Checkpoints map[string]string `json:"c,omitempty"`
	// LastRun is an upper bound on the run numbers that the job's tasks have used.
	LastRun int `json:"r,omitempty"`
	// EndedMS is the time at which the job became final, in Unix milliseconds.
	EndedMS int64 `json:"e,omitempty"`
}

// NewProgress returns the progress of a job that has not started.
func NewProgress(job *Job) *Progress {
	p := &Progress{State: Queued}
	p.Fit(job)
	return p
}

// Fit gives the progress the shape of the job: one row for each step of each
// occurrence, with a bit for each task. The record of the progress may belong to
// another submission with the same ID, of which the log keeps the first.
func (p *Progress) Fit(job *Job) {
	rows := job.Occurrences() * len(job.Steps)
	p.Done = slices.Grow(p.Done[:min(rows, len(p.Done))], rows-min(rows, len(p.Done)))
	for i := range rows {
		count := job.Steps[i%len(job.Steps)].Count
		width := (count + 7) / 8
		if i == len(p.Done) {
			p.Done = append(p.Done, make([]byte, width))
			continue
		}
		row := p.Done[i]
		if len(row) != width {
			row = append(make([]byte, 0, width), row[:min(width, len(row))]...)[:width]
			p.Done[i] = row
		}
		if spare := width*8 - count; spare > 0 {
			row[width-1] &= 0xff >> spare
		}
	}
}

// Clone returns a deep copy.
func (p *Progress) Clone() *Progress {
	out := *p
	out.Done = make([][]byte, len(p.Done))
	for i, row := range p.Done {
		out.Done[i] = append([]byte(nil), row...)
	}
	out.Failures = make(map[string][]int, len(p.Failures))
	for name, runs := range p.Failures {
		out.Failures[name] = slices.Clone(runs)
	}
	out.Checkpoints = maps.Clone(p.Checkpoints)
	return &out
}

func rowIndex(job *Job, t Task) int { return t.Occurrence*len(job.Steps) + t.Step }

// IsDone reports whether the task has finished.
func (p *Progress) IsDone(job *Job, t Task) bool {
	r := rowIndex(job, t)
	return r < len(p.Done) && t.Index/8 < len(p.Done[r]) && p.Done[r][t.Index/8]&(1<<(t.Index%8)) != 0
}

// SetDone records that the task has finished.
func (p *Progress) SetDone(job *Job, t Task) {
	p.Done[rowIndex(job, t)][t.Index/8] |= 1 << (t.Index % 8)
	delete(p.Checkpoints, t.localName())
}

// DoneCount returns the number of finished tasks of a step.
func (p *Progress) DoneCount(job *Job, occurrence, step int) int {
	n := 0
	for _, b := range p.Done[occurrence*len(job.Steps)+step] {
		n += bits.OnesCount8(b)
	}
	return n
}

// FailuresOf returns the number of failed runs of a task.
func (p *Progress) FailuresOf(t Task) int { return len(p.Failures[t.localName()]) }

// AddFailure records a failed run of a task. A run counts only once.
func (p *Progress) AddFailure(t Task, run int) {
	if p.Failures == nil {
		p.Failures = map[string][]int{}
	}
	name := t.localName()
	if !slices.Contains(p.Failures[name], run) {
		p.Failures[name] = append(p.Failures[name], run)
	}
}

// CheckpointOf returns the newest recorded checkpoint of a task, or "".
func (p *Progress) CheckpointOf(t Task) string { return p.Checkpoints[t.localName()] }

// SetCheckpoint records a checkpoint of a task.
func (p *Progress) SetCheckpoint(t Task, checkpoint string) {
	if p.Checkpoints == nil {
		p.Checkpoints = map[string]string{}
	}
	p.Checkpoints[t.localName()] = checkpoint
}
