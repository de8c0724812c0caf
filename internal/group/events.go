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

// RecordRead is the next record of the group's stream in log order. Fresh
// states that the reader had been at the tail before it read the record, so
// that the record's age is known.
type RecordRead struct {
	Offset   int64
	Envelope *recordv1.Envelope
	Fresh    bool
}

// RecordsExpired states that records after the last one read have expired.
// The state is rebuilt from the next snapshot.
type RecordsExpired struct{}

// OwnershipLeaseChanged tells the owner's right to decide in an epoch. Until is on the
// owner's monotonic clock and zero when the right is lost.
type OwnershipLeaseChanged struct {
	Epoch spec.Epoch
	Until time.Duration
}

// WriteRejected states that a Write was refused and will never be in the log.
type WriteRejected struct {
	Token Token
	Code  code.Code
}

// Submit asks to accept a job. Job is what the caller sent; a repeat must send
// the same. Filled is what is recorded, or nil for Job itself. Refusal, if
// set, refuses the job unless it is known already.
type Submit struct {
	Request Request
	Job     *recordv1.JobSpec
	Filled  *recordv1.JobSpec
	Refusal error
	Actor   string
}

// Cancel asks to cancel a job.
type Cancel struct {
	Request Request
	Job     spec.JobID
	Actor   string
}

// QueryJob asks for the state of a job.
type QueryJob struct {
	Request Request
	Job     spec.JobID
}

// ReceiveJob asks to record a job that another group hands over.
type ReceiveJob struct {
	Request Request
	Job     *recordv1.JobReceived
}

// HandOffAnswered is the destination's answer to a HandOff effect.
type HandOffAnswered struct {
	Job      spec.JobID
	Hop      uint32
	Recorded bool
}

// ForgetMovedJob states that a job has ended in the group to which it moved, or
// further on, and may be forgotten. Reply has code OK when it is forgotten.
type ForgetMovedJob struct {
	Request Request
	Job     spec.JobID
	Hop     uint32
}

// MovedJobForgotten states that the group from which a job came has forgotten it,
// so that no hand-off of it can be repeated.
type MovedJobForgotten struct {
	Job spec.JobID
	Hop uint32
}

// RenewGrants asks for slot grants. The answer is a Reply with Grants.
type RenewGrants struct {
	Request Request
	Renewal *schedv1.RenewGrantsRequest
}

// WorkerAnswered is the answer to the Send with the same serial. Times are on
// the owner's monotonic clock.
type WorkerAnswered struct {
	Serial     uint64
	Report     *platform.WorkerReport
	SentAt     time.Duration
	ReceivedAt time.Duration
}

// WorkerFailed states that the Send with this serial got no answer. Its
// commands may or may not have been carried out, or may be carried out later.
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

// SetServices replaces the services. Known states that the whole configuration
// has been read, so that a service that is not among them has no document.
// Until then no task is placed and no job is handed off: without its document a
// job would have no quota and be allowed in every data centre.
type SetServices struct {
	Services []policy.Service
	Known    bool
}

// SetEntries replaces the active entry instances.
type SetEntries struct{ Entries []spec.InstanceID }

// Peer is another group. Largest holds its largest worker in each dimension.
// An empty DataCentre is unknown and counts as allowed.
type Peer struct {
	Group      spec.GroupID
	Largest    spec.Resources
	DataCentre spec.DataCentre
}

// SetPeers replaces the groups to which a job can be handed off, in the order
// of preference.
type SetPeers struct{ Peers []Peer }

// Tick lets time pass. It is due every Options.TickEvery.
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
