package planner

import "redwingvale/internal/jobs"

// Config holds the times and limits of the planner. The platform's bounds come
// from the settings; the others have defaults.
type Config struct {
	// LeaseMS is how long a worker keeps its runs without a renewal.
	LeaseMS int64
	// MaxLeaseMS is the longest lease that a worker grants.
	MaxLeaseMS int64
	// PriorLeaseMS is the longest lease that a predecessor has requested; 0 if
	// unknown, in which case MaxLeaseMS applies.
	PriorLeaseMS int64
	// LeadershipLeaseMS is how long the leader may renew leases and start tasks
	// after the last time at which it is known that no newer leader had begun its
	// term; 0 means without limit.
	LeadershipLeaseMS int64
	// GangTimeoutMS is how long a gang member waits for the others.
	GangTimeoutMS int64
	// InterferenceMS is how long a serving task may exceed its target because
	// of the best-effort tasks beside it.
	InterferenceMS int64
	// StopTimeoutMS is the maximum time that a stop takes; RestoreMS is how
	// long a task takes to resume from a checkpoint.
	StopTimeoutMS, RestoreMS int64
	// StatusRetentionMS is how long the state of a final job is kept.
	StatusRetentionMS int64
	// MaxJobBytes is the memory that accepted jobs may take; 0 if it is not limited.
	MaxJobBytes int64
	// Log holds the limits of the log; a write never exceeds them.
	Log jobs.Limits
	// OptimisticStart starts tasks before the submission is recorded.
	OptimisticStart bool
	// EvacuateMS is the time within which the evacuation of a data centre must be in
	// force; 0 turns evacuations off.
	EvacuateMS int64
	// ColdOverage and ColdSlack limit the runs of a cold worker to ColdOverage times
	// the mean of the others plus ColdSlack; no limit unless both are above 0.
	ColdOverage, ColdSlack float64
	// FirstTerm is set for the first leader of a new deployment: no
	// predecessor can have started anything.
	FirstTerm bool
	// Overload turns on the overload control: admission by the backlog, the order of
	// waiting steps by value and the limits on stops in favour of other work.
	Overload bool
}

// Times and limits that follow from the round trip of some 10 ms to a worker
// and from the rate limits of the store.
const (
	// holdWaitMS is the maximum time that a hold call waits for an end, so that
	// an unresponsive connection is noticed and leases are renewed well within
	// LeaseMS.
	holdWaitMS = 1000
	// holdsPerLease is the number of hold calls that a lease lasts for at least, if
	// that is shorter than holdWaitMS each.
	holdsPerLease = 4
	// holdPollMS is the pause between hold calls to a worker whose ends are not
	// recorded yet; such calls return immediately.
	holdPollMS = 150
	// holdRetryMS is the pause after a hold call without a response.
	holdRetryMS = 250
	// writeGapMS is the minimum time between two writes. It groups the ends of
	// jobs into some 40 appends a second.
	writeGapMS = 25
	// clockSlack is the factor by which a lease may outlast its length: a worker's
	// clock may run 2% slow. The rest covers rounding.
	clockSlack = 1.03
	// DeposedLeaderMS is how long a deposed predecessor may continue to renew
	// leases. Its LeadershipLeaseMS must be shorter.
	DeposedLeaderMS = 1200
	// leaseMarginMS is added to the computed end of a lease.
	leaseMarginMS = 60
	// runsPerTerm is the distance between the first run numbers of two terms: a
	// new leader does not know the last numbers of its predecessor.
	runsPerTerm = 1000
	// lateCallMS is how late a call without a response may still be carried out.
	lateCallMS = 15_000
	// maxRun is the highest run number that a worker's row may have to count as
	// a run of this system; it leaves room for further runs below the limit of
	// the delegates' messages.
	maxRun = 1 << 30
	// tokenShift leaves room to raise a worker's token 2^20 times in one term.
	tokenShift = 20
	// deadHoldIntervalMS is the pause between hold calls to a worker that the
	// directory lists although a different one has responded at its address:
	// that response may have been a stray one.
	deadHoldIntervalMS = 2000
	// unresponsiveMS is the time without a report after which a worker gets no
	// new tasks.
	unresponsiveMS = 1600
	// noRoomPauseMS is the pause in placement after a worker rejected a task
	// for lack of room although the leader's accounting showed room.
	noRoomPauseMS = 300
	// maxRecordsPerWrite bounds the records of one append, so that the log,
	// which accepts some 20 MB/s, stores them within tens of milliseconds.
	maxRecordsPerWrite = 400
	// maxWorkersPerWrite leaves most of an append to the jobs: 3,000 new
	// workers are recorded in 30 writes, within some seconds.
	maxWorkersPerWrite = 100
	// maxDropsPerWrite is the same for removed jobs, each of which takes four
	// records.
	maxDropsPerWrite = 25
)
