package group

import (
	"time"

	"redwingvale/internal/code"
	"redwingvale/internal/platform"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// Event is an input of Core.Step.
type Event interface{ event() }

// Request identifies a caller's request within the process.
type Request uint64

// Token identifies one Write effect.
type Token uint64

// RecordRead is the next record of the group's stream in log order. Fresh is
// set if the reader was at the tail before it read the record, so that the
// record's age is known.
type RecordRead struct {
	Offset   int64
	Envelope *recordv1.Envelope
	Fresh    bool
}

// RecordsExpired reports that records after the last one read have expired. The
// state is rebuilt from the next snapshot.
type RecordsExpired struct{}

// OwnershipLeaseChanged sets the lease under which the owner may decide in an
// epoch. Until is on the owner's monotonic clock and zero if the lease is lost.
type OwnershipLeaseChanged struct {
	Epoch spec.Epoch
	Until time.Duration
}

// WriteRejected reports that a Write was rejected and will never be in the log.
type WriteRejected struct {
	Token Token
	Code  code.Code
}

// Submit submits a job. Job is what the caller sent; a retry must send the same.
// Filled is what is recorded, or nil to record Job itself. Refusal, if set, is
// the error with which the job is refused unless it has been accepted before.
type Submit struct {
	Request Request
	Job     *recordv1.JobSpec
	Filled  *recordv1.JobSpec
	Refusal error
	Actor   string
}

// Cancel cancels a job.
type Cancel struct {
	Request Request
	Job     spec.JobID
	Actor   string
}

// QueryJob requests the state of a job.
type QueryJob struct {
	Request Request
	Job     spec.JobID
}

// ReceiveJob records a job that another group hands off to this one.
type ReceiveJob struct {
	Request Request
	Job     *recordv1.JobReceived
}

// HandOffAnswered is the destination's response to a HandOff effect.
type HandOffAnswered struct {
	Job      spec.JobID
	Hop      uint32
	Recorded bool
}

// ForgetMovedJob reports that a job has ended in the group to which it moved, or
// in a later one, and may be forgotten. Its Reply has code OK once this group has
// forgotten the job.
type ForgetMovedJob struct {
	Request Request
	Job     spec.JobID
	Hop     uint32
}

// MovedJobForgotten reports that the group from which a job came has forgotten
// it, so that its hand-off cannot be repeated.
type MovedJobForgotten struct {
	Job spec.JobID
	Hop uint32
}

// RenewGrants requests slot grants. Its Reply carries the Grants.
type RenewGrants struct {
	Request Request
	Renewal *schedv1.RenewGrantsRequest
}

// WorkerAnswered is the worker's response to the Send with the same serial.
// SentAt and ReceivedAt are on the owner's monotonic clock.
type WorkerAnswered struct {
	Serial     uint64
	Report     *platform.WorkerReport
	SentAt     time.Duration
	ReceivedAt time.Duration
}

// WorkerFailed reports that the Send with this serial got no response. Its
// commands may have been executed, may be executed later, or never.
type WorkerFailed struct {
	Serial uint64
	Worker spec.WorkerID
}

// WorkerInfo is one worker of the group.
type WorkerInfo struct {
	Worker spec.Worker
	// Leaving workers get no new work.
	Leaving bool
}

// SetWorkers replaces the workers of the group. Largest holds the largest
// capacity of any known worker in each dimension, of all groups; a zero value
// means that only this group's workers are known.
type SetWorkers struct {
	Workers []WorkerInfo
	Largest spec.Resources
}

// SetServices replaces the services. Known is set once the complete
// configuration has been read, so that a service that is not in Services has no
// document. Until then no task is placed and no job is handed off: without its
// document a job would have no quota and be allowed in every data centre.
type SetServices struct {
	Services []policy.Service
	Known    bool
}

// SetEntries replaces the active entry instances.
type SetEntries struct{ Entries []spec.InstanceID }

// Peer is another group. Largest holds the largest capacity of its workers in
// each dimension. An empty DataCentre is unknown and counts as allowed.
type Peer struct {
	Group      spec.GroupID
	Largest    spec.Resources
	DataCentre spec.DataCentre
}

// SetPeers replaces the groups to which a job can be handed off, in the order
// of preference.
type SetPeers struct{ Peers []Peer }

// Tick runs the periodic work. It is due every Options.TickEvery.
type Tick struct{}

func (RecordRead) event()            {}
func (RecordsExpired) event()        {}
func (OwnershipLeaseChanged) event() {}
func (WriteRejected) event()         {}
func (Submit) event()                {}
func (Cancel) event()                {}
func (QueryJob) event()              {}
func (ReceiveJob) event()            {}
func (HandOffAnswered) event()       {}
func (ForgetMovedJob) event()        {}
func (MovedJobForgotten) event()     {}
func (RenewGrants) event()           {}
func (WorkerAnswered) event()        {}
func (WorkerFailed) event()          {}
func (SetWorkers) event()            {}
func (SetServices) event()           {}
func (SetEntries) event()            {}
func (SetPeers) event()              {}
func (Tick) event()                  {}
