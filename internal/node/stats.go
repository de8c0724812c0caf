package node

import (
	"time"

	"github.com/uber-go/tally/v4"

	"redwingvale/internal/planner"
)

// stats are the counters and histograms of an instance.
type stats struct {
	scope          tally.Scope
	submitted      tally.Counter
	accepted       tally.Counter
	refused        tally.Counter
	outcomeUnknown tally.Counter
	// withdrawn counts the submissions that this instance refused as the leader,
	// because the log had not taken them in time.
	withdrawn tally.Counter
	logErrors tally.Counter
	// rejected counts rejected appends, notRecorded counts records that were
	// permanently left out of the log.
	rejected    tally.Counter
	notRecorded tally.Counter
	elections   tally.Counter
	writes      tally.Counter
	records     tally.Counter
	starts      tally.Counter
	stops       tally.Counter
	holds       tally.Counter
	callsFailed tally.Counter
	// delegatedCalls counts the calls made for a leader, delegatesFailed the
	// delegates that failed during this instance's terms.
	delegatedCalls  tally.Counter
	delegatesFailed tally.Counter
	// reportsUnusable counts the reports that were a difference to another one
	// than the leader held.
	reportsUnusable tally.Counter
	// looksAtDelegate and looksAtLeader count the looks at jobs that this instance
	// has passed on.
	looksAtDelegate tally.Counter
	looksAtLeader   tally.Counter
	acceptTime      tally.Histogram
	appendTime      tally.Histogram
	startTime       tally.Histogram
	// endWait is the time from the arrival of a report to the handling of an end
	// that it lists.
	endWait tally.Histogram
	// runsTwice counts the second runs of tasks that this instance has noticed.
	runsTwice tally.Counter
	// jobBytes is the memory that jobs take, jobBytesLimit what they may take; 0
	// without a limit.
	jobBytes, jobBytesLimit tally.Gauge
	// evacuationsInForce is the number of data centres under evacuation,
	// evacuatedRuns that of the runs left there, as the leader knows them.
	evacuationsInForce, evacuatedRuns tally.Gauge
	// evacuationMoves counts the runs that this instance has stopped as the leader
	// to move them off such a data centre, startsDeclined the starts there that it
	// has declined.
	evacuationMoves, startsDeclined tally.Counter

	overload overloadStats
}

func newStats(scope tally.Scope) stats {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)
	return stats{
		scope:          scope,
		submitted:      scope.Counter("jobs_received"),
		accepted:       scope.Counter("jobs_accepted"),
		refused:        scope.Counter("jobs_refused"),
		outcomeUnknown: scope.Counter("jobs_unsure"),
		withdrawn:      scope.Counter("jobs_withdrawn"),
		logErrors:      scope.Counter("log_errors"),
		rejected:       scope.Counter("log_appends_rejected"),
		notRecorded:    scope.Counter("log_records_given_up"),
		elections:      scope.Counter("elections_won"),
		writes:         scope.Counter("log_appends"),
		records:        scope.Counter("log_records"),
		starts:         scope.Counter("task_starts"),
		stops:          scope.Counter("task_stops"),
		holds:          scope.Counter("worker_looks"),
		callsFailed:    scope.Counter("worker_calls_failed"),

		delegatedCalls:  scope.Counter("delegated_calls"),
		delegatesFailed: scope.Counter("delegates_failed"),
		reportsUnusable: scope.Counter("reports_unusable"),
		looksAtDelegate: scope.Counter("looks_at_delegate"),
		looksAtLeader:   scope.Counter("looks_at_leader"),
		acceptTime:      scope.Histogram("accept_seconds", buckets),
		appendTime:      scope.Histogram("append_seconds", buckets),
		startTime:       scope.Histogram("start_seconds", buckets),
		endWait:         scope.Histogram("end_wait_seconds", buckets),
		runsTwice:       scope.Counter("runs_twice"),
		jobBytes:        scope.Gauge("job_memory_bytes"),
		jobBytesLimit:   scope.Gauge("job_memory_limit_bytes"),

		evacuationsInForce: scope.Gauge("evacuations_in_force"),
		evacuatedRuns:      scope.Gauge("evacuated_runs"),
		evacuationMoves:    scope.Counter("evacuation_moves"),
		startsDeclined:     scope.Counter("evacuated_starts_declined"),
		overload:           newOverloadStats(scope),
	}
}

func (s *stats) countCall(outcome planner.Outcome) {
	if outcome != planner.Done {
		s.callsFailed.Inc(1)
	}
}
