package planner

import "redwingvale/internal/jobs"

// Config holds the times and limits of the planner. The platform's bounds
// come from the settings; the others have defaults.
type Config struct {
	// LeaseMS is how long a worker keeps its runs without a renewal.
	LeaseMS int64
	// MaxLeaseMS is the longest lease that a worker grants.
	MaxLeaseMS int64
	// PriorLeaseMS is the longest lease that a predecessor has asked for;
	// MaxLeaseMS if it is not known.
	PriorLeaseMS int64
	// GangTimeoutMS is how long a gang member waits for the others.
	GangTimeoutMS int64
	// InterferenceMS is how long a serving task may be over its target because
	// of what fills beside it.
	InterferenceMS int64
	// StopTimeoutMS is how long a stop takes at most, RestoreMS how long a task
	// takes to resume from a checkpoint.
	StopTimeoutMS, RestoreMS int64
	// StatusMS is how long the state of a final job is kept.
	StatusMS int64
	// Log holds the limits of the log; a write never exceeds them.
	Log jobs.Limits
	// OptimisticStart starts tasks before the submission is recorded.
	OptimisticStart bool
	// FirstTerm is set for the first leader of a new deployment: no
	// predecessor can have started anything.
	FirstTerm bool
}

// Times and limits that follow from the round trip of some 10 ms to a worker
// and from the rate limits of the store.
const (
	// holdWaitMS bounds a waiting look, so that a silent connection is noticed
	// and leases are renewed well within LeaseMS.
	holdWaitMS = 1000
	// holdPollMS is the pause between looks at a worker whose ends are not
	// recorded yet; such looks return at once.
	holdPollMS = 150
	// holdRetryMS is the pause after a look without an answer.
	holdRetryMS = 250
	// writeGapMS is the least time between two writes of job ends: it groups
	// them into some 40 appends a second.
	writeGapMS = 25
	// clockSlack is the share by which a worker's clock may be slow (2%), with
	// as much again for rounding.
	clockSlack = 1.03
	// deposedLeaderMS is how long a predecessor that lives may renew leases until a
	// worker refuses it: each is looked at once a second.
	deposedLeaderMS = 1200
	// leaseMarginMS is added to the computed end of a lease.
	leaseMarginMS = 60
	// runsPerTerm separates the run numbers of two leaders: a new leader does
	// not know which numbers its predecessor used last.
	runsPerTerm = 1000
	// tokenShift leaves room for 2^20 raises of a worker's token in one term.
	tokenShift = 20
	// deadHoldIntervalMS is the pause between looks at a worker that the directory lists
	// although another one has answered at its address: the answer may have been
	// a stray one.
	deadHoldIntervalMS = 2000
	// unresponsiveMS without an answer takes a worker out of placement.
	unresponsiveMS = 1600
	// noRoomPauseMS keeps tasks away from a worker that had no room although
	// the book said so, until its next report.
	noRoomPauseMS = 300
	// maxRecordsPerWrite bounds the records of one append, so that the log, which
	// takes some 20 MB/s, has them within tens of milliseconds.
	maxRecordsPerWrite = 400
	// maxWorkersPerWrite leaves most of an append to the jobs: 3,000 new workers
	// are recorded in 30 writes, within some seconds.
	maxWorkersPerWrite = 100
	// maxDropsPerWrite is the same for jobs that are removed, of four records each.
	maxDropsPerWrite = 25
)
