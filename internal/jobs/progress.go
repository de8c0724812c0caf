package jobs

import (
	"maps"
	"math/bits"
	"slices"
	"strconv"
	"strings"
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
	// Done holds a bit for each finished task of a job without a schedule: one row
	// for each step. In records of earlier releases it holds the rows of all
	// occurrences of a schedule, in order.
	Done [][]byte `json:"d,omitempty"`
	// Partial holds the same rows for each occurrence of a schedule of which some
	// tasks, but not all, have finished.
	Partial map[int][][]byte `json:"o,omitempty"`
	// Ended holds the occurrences of a schedule whose tasks have all finished.
	Ended Ranges `json:"x,omitempty"`
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

// Fit gives the progress the shape of the job. The record of the progress may
// belong to another submission with the same ID, of which the log keeps the first,
// or to an earlier release.
func (p *Progress) Fit(job *Job) {
	if job.Repeat == 0 {
		p.Done, p.Partial, p.Ended = fitRows(job, p.Done), nil, nil
		return
	}
	former, steps := p.Done, len(job.Steps)
	p.Done = nil
	p.Ended = p.Ended.within(job.Occurrences())
	for occurrence, rows := range p.Partial {
		if occurrence < 0 || occurrence >= job.Occurrences() || p.Ended.Contains(occurrence) {
			delete(p.Partial, occurrence)
			continue
		}
		p.setRows(job, occurrence, fitRows(job, rows))
	}
	for occurrence := 0; occurrence < job.Occurrences() && occurrence*steps < len(former); occurrence++ {
		if rows := former[occurrence*steps : min((occurrence+1)*steps, len(former))]; anySet(rows) && !p.Ended.Contains(occurrence) {
			p.setRows(job, occurrence, fitRows(job, rows))
		}
	}
}

// fitRows returns one row for each step of the job, with a bit for each task.
func fitRows(job *Job, rows [][]byte) [][]byte {
	out := make([][]byte, len(job.Steps))
	for i := range out {
		count := job.Steps[i].Count
		width := (count + 7) / 8
		row := make([]byte, width)
		if i < len(rows) {
			copy(row, rows[i])
		}
		if spare := width*8 - count; spare > 0 {
			row[width-1] &= 0xff >> spare
		}
		out[i] = row
	}
	return out
}

func anySet(rows [][]byte) bool {
	for _, row := range rows {
		for _, b := range row {
			if b != 0 {
				return true
			}
		}
	}
	return false
}

// setRows replaces the rows of an occurrence of a schedule. Of an occurrence that
// has ended nothing is kept but that.
func (p *Progress) setRows(job *Job, occurrence int, rows [][]byte) {
	for i := range job.Steps {
		if countSet(rows[i]) < job.Steps[i].Count {
			if p.Partial == nil {
				p.Partial = map[int][][]byte{}
			}
			p.Partial[occurrence] = rows
			return
		}
	}
	delete(p.Partial, occurrence)
	p.Ended = p.Ended.add(occurrence)
	prefix := strconv.Itoa(occurrence) + "."
	maps.DeleteFunc(p.Failures, func(name string, _ []int) bool { return strings.HasPrefix(name, prefix) })
	maps.DeleteFunc(p.Checkpoints, func(name, _ string) bool { return strings.HasPrefix(name, prefix) })
}

func countSet(row []byte) int {
	n := 0
	for _, b := range row {
		n += bits.OnesCount8(b)
	}
	return n
}

// Clone returns a deep copy.
func (p *Progress) Clone() *Progress {
	out := *p
	out.Done = cloneRows(p.Done)
	out.Partial = make(map[int][][]byte, len(p.Partial))
	for occurrence, rows := range p.Partial {
		out.Partial[occurrence] = cloneRows(rows)
	}
	out.Ended = slices.Clone(p.Ended)
	out.Failures = make(map[string][]int, len(p.Failures))
	for name, runs := range p.Failures {
		out.Failures[name] = slices.Clone(runs)
	}
	out.Checkpoints = maps.Clone(p.Checkpoints)
	return &out
}

func cloneRows(rows [][]byte) [][]byte {
	out := make([][]byte, len(rows))
	for i, row := range rows {
		out[i] = slices.Clone(row)
	}
	return out
}

// rows returns the rows of an occurrence; nil if none of its tasks has finished or
// all have.
func (p *Progress) rows(job *Job, occurrence int) [][]byte {
	if job.Repeat == 0 {
		return p.Done
	}
	return p.Partial[occurrence]
}

// HasEnded reports whether all tasks of an occurrence of a schedule have finished.
func (p *Progress) HasEnded(occurrence int) bool { return p.Ended.Contains(occurrence) }

// IsDone reports whether the task has finished.
func (p *Progress) IsDone(job *Job, t Task) bool {
	if job.Repeat > 0 && p.HasEnded(t.Occurrence) {
		return true
	}
	rows := p.rows(job, t.Occurrence)
	return t.Step < len(rows) && t.Index/8 < len(rows[t.Step]) && rows[t.Step][t.Index/8]&(1<<(t.Index%8)) != 0
}

// SetDone records that the task has finished.
func (p *Progress) SetDone(job *Job, t Task) {
	delete(p.Checkpoints, t.localName())
	if job.Repeat > 0 && p.HasEnded(t.Occurrence) {
		return
	}
	rows := p.rows(job, t.Occurrence)
	if rows == nil {
		rows = fitRows(job, nil)
	}
	rows[t.Step][t.Index/8] |= 1 << (t.Index % 8)
	if job.Repeat > 0 {
		p.setRows(job, t.Occurrence, rows)
	}
}

// DoneCount returns the number of finished tasks of a step.
func (p *Progress) DoneCount(job *Job, occurrence, step int) int {
	if job.Repeat > 0 && p.HasEnded(occurrence) {
		return job.Steps[step].Count
	}
	if rows := p.rows(job, occurrence); step < len(rows) {
		return countSet(rows[step])
	}
	return 0
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
