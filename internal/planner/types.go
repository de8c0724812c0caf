// Package planner implements the scheduling decisions of the leader: which task
// runs on which worker, under which lease, and what must be recorded before it
// is acknowledged. It is pure: Step takes an event and returns effects, and the
// same sequence of events gives the same effects.
package planner

import (
	"redwingvale/internal/jobs"
)

// Time is the time of an event on two clocks.
type Time struct {
	// MS is the time in milliseconds on a monotonic clock that also advances
	// while the instance is suspended.
	MS int64
	// UnixMS is the Unix time in milliseconds.
	UnixMS int64
}

// WorkerID identifies a worker. A worker may keep its ID over a restart;
// StartedMS distinguishes the incarnations.
type WorkerID string

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	CPUMilli int
	MemoryMB int
	GPU      int
}

func (r Resources) fits(in Resources) bool {
	return r.CPUMilli <= in.CPUMilli && r.MemoryMB <= in.MemoryMB && r.GPU <= in.GPU
}

func (r Resources) plus(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

func (r Resources) minus(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// WorkerInfo is the directory's entry of a worker.
type WorkerInfo struct {
	ID         WorkerID
	Address    string
	Service    string
	DataCentre string
	Capacity   Resources
	Labels     []string
	// StartedMS is the Unix time at which the worker started; it distinguishes
	// two incarnations with the same ID.
	StartedMS int64
	Draining  bool
	// RemainingMS is the minimum time that a draining worker still has; 0 if
	// unknown.
	RemainingMS int64
	// ColdRemainingMS is how long a worker that has returned remains cold; 0 if it is
	// not.
	ColdRemainingMS int64
}

// Queue is a queue of jobs and its policy.
type Queue struct {
	Name string
	jobs.Policy
}

// Event is an input of the core.
type Event interface{ event() }

// Events.
type (
	// Tick advances the time.
	Tick struct {
		// LagMS is how long events wait at present before the planner gets them.
		LagMS int64
		// HandledMS is the time up to which everything received has been handled; 0
		// if nothing waits.
		HandledMS int64
	}
	// QueuesChanged replaces the queues.
	QueuesChanged struct{ Queues []Queue }
	// WorkersChanged replaces the directory's entries of all workers.
	WorkersChanged struct {
		Workers []WorkerInfo
		// ReadMS is when the directory was read; 0 if unknown.
		ReadMS int64
	}
	// SubmitRequested requests that a job be recorded and run. Reply carries
	// its RequestID.
	SubmitRequested struct {
		RequestID uint64
		ID        jobs.ID
		Encoded   []byte
		// CaughtUp is set if the log was read to its end after an earlier request
		// for the same job had been refused.
		CaughtUp bool
		// WaitMS is the time after which the submission is withdrawn if nothing of it
		// has been sent or started; 0: never.
		WaitMS int64
	}
	// CancelRequested requests the cancellation of a job. Reply carries its
	// RequestID.
	CancelRequested struct {
		RequestID uint64
		ID        jobs.ID
		// RecordUnknown records the cancellation also if no such job is known: its
		// submission may still be recorded.
		RecordUnknown bool
	}
	// RecordsRead reports records of the log that another instance wrote; the
	// state machine has applied them already.
	RecordsRead struct{ Jobs []jobs.ID }
	// WriteDone reports that a Write is recorded and applied to the state
	// machine.
	WriteDone struct{ Seq uint64 }
	// WriteRejected reports that the log will never accept a Write as it is,
	// and that no part of it is recorded.
	WriteRejected struct{ Seq uint64 }
	// EvacuationsChanged replaces the data centres in which nothing starts.
	EvacuationsChanged struct{ DataCentres []string }
	// JobMemoryChanged changes the memory that accepted jobs may take; 0 if it is not
	// limited.
	JobMemoryChanged struct{ MaxBytes int64 }
	// Suspended withholds all commands until LeadershipConfirmed: the instance
	// may have been deposed without noticing.
	Suspended struct{}
	// LeadershipConfirmed reports that the log holds no newer claim.
	LeadershipConfirmed struct{}
	// LeadershipAsOf reports evidence that no newer leader had begun its term at
	// the given time.
	LeadershipAsOf struct{ MS int64 }
	// HoldDone is the outcome of a Hold.
	HoldDone struct {
		Worker  WorkerID
		Address string
		Token   uint64
		SentMS  int64
		// ReceivedMS is when the outcome arrived, which may be long before the
		// planner gets it; 0 if it has just arrived.
		ReceivedMS int64
		// Late is set if the call has been reported as OutcomeUnknown before. Its
		// outcome is Done.
		Late    bool
		Outcome Outcome
		Report  Report
	}
	// StartDone is the outcome of a Start.
	StartDone struct {
		Worker  WorkerID
		Address string
		Task    jobs.Task
		Run     int
		Token   uint64
		Outcome Outcome
	}
	// StopDone is the outcome of a Stop.
	StopDone struct {
		Worker  WorkerID
		Address string
		Task    jobs.Task
		Run     int
		Outcome Outcome
	}
	// PaceDone is the outcome of a Pace.
	PaceDone struct {
		Worker  WorkerID
		Task    jobs.Task
		Run     int
		Token   uint64
		Percent int
		Outcome Outcome
	}
	// AdviceDone is the outcome of an Advise.
	AdviceDone struct {
		Step    StepID
		Outcome Outcome
		Tickets map[WorkerID]string
		// ValidityMS is how long the tickets are valid from the response on; 0 if the
		// response does not say.
		ValidityMS int64
		// ReceivedMS is when the response arrived, which may be long before the
		// planner gets it; 0 if it has just arrived.
		ReceivedMS int64
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
func (EvacuationsChanged) event()  {}
func (JobMemoryChanged) event()    {}
func (Suspended) event()           {}
func (LeadershipConfirmed) event() {}
func (LeadershipAsOf) event()      {}
func (HoldDone) event()            {}
func (StartDone) event()           {}
func (StopDone) event()            {}
func (PaceDone) event()            {}
func (AdviceDone) event()          {}

// Outcome is how a call to a worker ended.
type Outcome int

// Outcomes of calls. Every outcome except Done and OutcomeUnknown means that
// the call had no effect.
const (
	Done Outcome = iota
	// OutcomeUnknown: no response; the worker may have carried out the call or
	// may still do so.
	OutcomeUnknown
	// Fenced: the worker has seen a higher token.
	Fenced
	// StaleRun: the worker has already ended a run with this number or a higher
	// one.
	StaleRun
	// LeaseExpired: the lease had expired on the worker's clock when the call
	// arrived.
	LeaseExpired
	// NoRoom: the worker has no room for the task.
	NoRoom
	// NoTicket: the placement adviser's ticket is missing or has expired.
	NoTicket
	// Refused: the worker responded that it is unhealthy.
	Refused
	// Invalid: the worker rejects the call as invalid.
	Invalid
	// WrongWorker: a different worker or incarnation responded at the address.
	WrongWorker
	// Unreachable: the connection could not be established.
	Unreachable
	// Evacuated: the call was not made because the worker's data centre is being
	// evacuated.
	Evacuated
)

var outcomeNames = [...]string{"done", "unsure", "fenced", "old_run", "late", "no_room", "no_ticket", "refused", "invalid", "other_worker", "unreached", "evacuated"}

// Valid reports whether o is one of the outcomes.
func (o Outcome) Valid() bool { return o >= 0 && int(o) < len(outcomeNames) }

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

// Report is a worker's list of its runs.
type Report struct {
	StartedMS int64
	ClockMS   int64
	Running   []RunningTask
	Ended     []EndedTask
	// MoreEnded states that Ended may lack further ends: workers list a limited
	// number of them until the first ones are acknowledged.
	MoreEnded bool
}

// RunningTask is one run on a worker.
type RunningTask struct {
	Task       jobs.Task
	Run        int
	Checkpoint string
	// Percent is the share of the work that is done; for a long-running task
	// 100 means that it is serving.
	Percent int
	// Usage covers the last half second: the tail latency in milliseconds for a
	// serving task, processor use in thousandths of a core for any other task.
	Usage int
}

// EndedTask is the end of a run. Number increases within one incarnation of a
// worker.
type EndedTask struct {
	Number     int64
	Task       jobs.Task
	Run        int
	Kind       EndKind
	Checkpoint string
}

// Detail is a named text or, if Text is empty, a number.
type Detail struct {
	Name   string
	Text   string
	Number int64
}

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job        jobs.ID
	Occurrence int
	Step       int
}

// Effect is an action that the core's caller has to carry out.
type Effect interface{ effect() }

// Effects.
type (
	// Hold renews the leases of all runs on a worker, acknowledges ends and
	// requests the worker's report.
	Hold struct {
		Worker  WorkerID
		Address string
		Token   uint64
		// AckNumber is the number of the last recorded end.
		AckNumber int64
		// LeaseEndMS is the lease end on the worker's clock; 0 leaves the lease
		// unchanged.
		LeaseEndMS int64
		// WaitMS is how long the worker may wait for an end before it responds.
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
		// DataCentre is the worker's.
		DataCentre string
	}
	// Stop stops a run, or prevents one whose start has not arrived yet.
	Stop struct {
		Worker  WorkerID
		Address string
		Token   uint64
		Task    jobs.Task
		Run     int
	}
	// Pace limits a run to a percentage of its full speed.
	Pace struct {
		Worker  WorkerID
		Address string
		Token   uint64
		Task    jobs.Task
		Run     int
		Percent int
	}
	// Advise queries the placement adviser which workers may run a step.
	Advise struct {
		Step    StepID
		Workers []WorkerID
		// TimeoutMS is how long to wait for the response.
		TimeoutMS int64
	}
	// Write appends records to the log; WriteDone or WriteRejected follows. At
	// most one is outstanding.
	Write struct {
		Seq     uint64
		Records []jobs.Record
	}
	// Reply is the response to a SubmitRequested or CancelRequested.
	Reply struct {
		RequestID uint64
		Accepted  bool
		// Known is false if the job to cancel does not exist.
		Known bool
		// TooLarge is set if the submission exceeds the log's limits, Rejected
		// if the log has rejected it. No part of it is recorded; with Rejected,
		// Started says whether tasks had been started.
		TooLarge, Rejected, Started bool
		// Unsent is set if the term has ended, or had not begun, and nothing of the
		// request is in an append that was sent or has been started.
		Unsent bool
		// Withdrawn is set if the log has not taken the submission in time. Nothing of
		// it has been sent or started.
		Withdrawn bool
		// Full is set if there is no memory for the job now. No part of it is
		// recorded.
		Full bool
		// Overloaded is set if there is no capacity for the job in time. No part of it
		// is recorded or started. Without CaughtUp the refusal is provisional.
		Overloaded bool
		// RetryAfterMS is the suggested delay before a refused submission is
		// repeated.
		RetryAfterMS int64
	}
	// JobStateChanged reports a state that callers may see from now on.
	JobStateChanged struct {
		Job   jobs.ID
		State jobs.State
	}
	// Deposed reports that a worker has seen the token of a newer leader. The
	// core sends no commands until LeadershipConfirmed.
	Deposed struct{ Worker WorkerID }
	// Decision is a scheduling decision to be logged.
	Decision struct {
		Event  string
		Job    jobs.ID
		Task   string
		Run    int
		Worker WorkerID
		Reason string
		// AgeMS is the age of the input on which the decision is based.
		AgeMS int64
		// WaitedMS is how long that input has waited for the planner.
		WaitedMS int64
		// Warn is set if the line is a warning.
		Warn bool
		// Details are further fields of the log line.
		Details []Detail
	}
	// NotRecorded reports a record that is permanently left out of the log.
	NotRecorded struct {
		Key    string
		Bytes  int
		Reason string
	}
)

func (Hold) effect()            {}
func (Start) effect()           {}
func (Stop) effect()            {}
func (Pace) effect()            {}
func (Advise) effect()          {}
func (Write) effect()           {}
func (Reply) effect()           {}
func (Deposed) effect()         {}
func (JobStateChanged) effect() {}
func (Decision) effect()        {}
func (NotRecorded) effect()     {}
