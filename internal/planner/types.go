// Package planner is the leader's decision core: which task runs on which
// worker, under which lease, and what is recorded before what is
// acknowledged. It is pure: Step takes an event and returns effects, and the
// same events give the same effects.
package planner

import (
	"redwingvale/internal/jobs"
)

// Time is the moment of an event on two clocks.
type Time struct {
	// MS is a steady clock that also counts time in which the instance is
	// suspended, in milliseconds.
	MS int64
	// UnixMS is the time of day in milliseconds.
	UnixMS int64
}

// WorkerID names one life of a worker.
type WorkerID string

// Room is an amount of a worker's resources.
type Room struct {
	CPUMilli int
	MemoryMB int
	GPU      int
}

func (r Room) fits(in Room) bool {
	return r.CPUMilli <= in.CPUMilli && r.MemoryMB <= in.MemoryMB && r.GPU <= in.GPU
}

func (r Room) plus(o Room) Room {
	return Room{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

func (r Room) minus(o Room) Room {
	return Room{r.CPUMilli - o.CPUMilli, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// WorkerInfo is what the directory says of a worker.
type WorkerInfo struct {
	ID         WorkerID
	Address    string
	Service    string
	DataCentre string
	Capacity   Room
	Labels     []string
	// BornMS is the Unix time of the worker's start; it tells two lives under
	// one id apart.
	BornMS   int64
	Draining bool
	// LeavesInMS is the least time left while the worker drains; 0 if unknown.
	LeavesInMS int64
}

// Queue is a queue of jobs and its policy.
type Queue struct {
	Name string
	jobs.Policy
}

// Event is something the core learns of.
type Event interface{ event() }

// Events.
type (
	// Tick lets time pass.
	Tick struct{}
	// QueuesChanged replaces the queues.
	QueuesChanged struct{ Queues []Queue }
	// WorkersChanged replaces what the directory says of all workers.
	WorkersChanged struct{ Workers []WorkerInfo }
	// SubmitRequested asks to record and run a job. Ticket comes back in Reply.
	SubmitRequested struct {
		Ticket  uint64
		ID      jobs.ID
		Encoded []byte
	}
	// CancelRequested asks to cancel a job. Ticket comes back in Reply.
	CancelRequested struct {
		Ticket uint64
		ID     jobs.ID
	}
	// RecordsRead are records of the log that another instance wrote; the book
	// holds them already.
	RecordsRead struct{ Jobs []jobs.ID }
	// WriteDone says that a Write is recorded and that the book holds it.
	WriteDone struct{ Seq uint64 }
	// WriteRejected says that the log will never take a Write as it is, and that
	// nothing of it is recorded.
	WriteRejected struct{ Seq uint64 }
	// Suspended holds all orders back until LeadershipConfirmed: the instance
	// may have been deposed without noticing.
	Suspended struct{}
	// LeadershipConfirmed says that the log holds no newer claim.
	LeadershipConfirmed struct{}
	// HoldDone is the answer to a Hold.
	HoldDone struct {
		Worker  WorkerID
		Address string
		Token   uint64
		SentMS  int64
		Outcome Outcome
		Report  Report
	}
	// StartDone is the answer to a Start.
	StartDone struct {
		Worker  WorkerID
		Address string
		Task    jobs.Task
		Run     int
		Token   uint64
		Outcome Outcome
	}
	// StopDone is the answer to a Stop.
	StopDone struct {
		Worker  WorkerID
		Address string
		Task    jobs.Task
		Run     int
		Outcome Outcome
	}
	// PaceDone is the answer to a Pace.
	PaceDone struct {
		Worker  WorkerID
		Task    jobs.Task
		Run     int
		Percent int
		Outcome Outcome
	}
	// AdviceDone is the answer to an Advise.
	AdviceDone struct {
		Step       StepID
		Outcome    Outcome
		Tickets    map[WorkerID]string
		ValidityMS int64
	}
)

func (Tick) event()                {}
func (QueuesChanged) event()       {}
func (WorkersChanged) event()      {}
func (SubmitRequested) event()     {}
func (CancelRequested) event()     {}
func (RecordsRead) event()         {}
func (WriteDone) event()           {}
func (WriteRejected) event()       {}
func (Suspended) event()           {}
func (LeadershipConfirmed) event() {}
func (HoldDone) event()            {}
func (StartDone) event()           {}
func (StopDone) event()            {}
func (PaceDone) event()            {}
func (AdviceDone) event()          {}

// Outcome is how a call to a worker ended.
type Outcome int

// Outcomes of calls. All but Unsure and Done mean that nothing was done.
const (
	Done Outcome = iota
	// Unsure: no answer; the call may be carried out, also later.
	Unsure
	// Fenced: the worker has seen a higher token.
	Fenced
	// OldRun: the run number is not higher than one that has ended there.
	OldRun
	// Late: the lease would end before it begins.
	Late
	// NoRoom: the worker has no room for the task.
	NoRoom
	// NoTicket: the adviser's permission is missing or has expired.
	NoTicket
	// Refused: the worker answered that it is not healthy.
	Refused
	// Invalid: the worker does not accept the call.
	Invalid
	// OtherWorker: another life of a worker has the address.
	OtherWorker
	// Unreached: the connection was never made.
	Unreached
)

var outcomeNames = [...]string{"done", "unsure", "fenced", "old_run", "late", "no_room", "no_ticket", "refused", "invalid", "other_worker", "unreached"}

// String returns the outcome's name in log lines.
func (o Outcome) String() string { return outcomeNames[o] }

// EndKind says how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndLapsed  EndKind = "lapsed"
	EndBroken  EndKind = "broken"
	EndAlone   EndKind = "alone"
)

// Report is what a worker says of its runs.
type Report struct {
	BornMS  int64
	ClockMS int64
	Running []RunningTask
	Ended   []EndedTask
}

// RunningTask is one run on a worker.
type RunningTask struct {
	Task       jobs.Task
	Run        int
	Checkpoint string
	// Percent is the share of the work that is done; for a long-running task
	// 100 means at work.
	Percent int
	// Usage is a figure for the last half second: the tail of the response
	// times in milliseconds for a serving task, processor use in thousandths
	// of a core for any other.
	Usage int
}

// EndedTask is the end of a run. Number rises within one life of a worker.
type EndedTask struct {
	Number     int64
	Task       jobs.Task
	Run        int
	Kind       EndKind
	Checkpoint string
}

// StepID names a step of one occurrence of a job.
type StepID struct {
	Job        jobs.ID
	Occurrence int
	Step       int
}

// Effect is something the core wants done.
type Effect interface{ effect() }

// Effects.
type (
	// Hold renews the lease of everything on a worker, acknowledges ends and
	// asks for the worker's report.
	Hold struct {
		Worker  WorkerID
		Address string
		Token   uint64
		// AckNumber is the last end that is recorded.
		AckNumber int64
		// LeaseEndMS is on the worker's clock; 0 leaves the lease alone.
		LeaseEndMS int64
		// WaitMS lets the worker wait for an end before it answers.
		WaitMS int64
	}
	// Start starts a task.
	Start struct {
		Worker     WorkerID
		Address    string
		Token      uint64
		Task       jobs.Task
		Run        int
		Payload    string
		LeaseEndMS int64
		Checkpoint string
		Ticket     string
	}
	// Stop stops a run, or prevents one that has not arrived yet.
	Stop struct {
		Worker  WorkerID
		Address string
		Token   uint64
		Task    jobs.Task
		Run     int
	}
	// Pace sets the share of its speed at which a task works.
	Pace struct {
		Worker  WorkerID
		Address string
		Token   uint64
		Task    jobs.Task
		Run     int
		Percent int
	}
	// Advise asks the placement adviser which workers may run a step.
	Advise struct {
		Step    StepID
		Workers []WorkerID
	}
	// Write records; WriteDone answers it. At most one is outstanding.
	Write struct {
		Seq     uint64
		Records []jobs.Record
	}
	// Reply answers a SubmitRequested or CancelRequested.
	Reply struct {
		Ticket   uint64
		Accepted bool
		// Known is false when a cancelled job does not exist.
		Known bool
		// TooLarge is set when the log does not take a submission of this size,
		// Rejected when it has rejected this one. Nothing of it is recorded; after
		// Rejected, Started says whether tasks had been started.
		TooLarge, Rejected, Started bool
		// RetryAfterMS advises the caller of a refused submission.
		RetryAfterMS int64
	}
	// Deposed says that a worker has seen a token of a newer leader. The core
	// sends no order until LeadershipConfirmed.
	Deposed struct{ Worker WorkerID }
	// Decision is a line for the log.
	Decision struct {
		Event  string
		Job    jobs.ID
		Task   string
		Run    int
		Worker WorkerID
		Reason string
		// AgeMS is the age of the input that decided.
		AgeMS int64
	}
	// NotRecorded says that a record is left out of the log for good.
	NotRecorded struct {
		Key    string
		Bytes  int
		Reason string
	}
)

func (Hold) effect()        {}
func (Start) effect()       {}
func (Stop) effect()        {}
func (Pace) effect()        {}
func (Advise) effect()      {}
func (Write) effect()       {}
func (Reply) effect()       {}
func (Deposed) effect()     {}
func (Decision) effect()    {}
func (NotRecorded) effect() {}
