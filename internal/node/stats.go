package node

import (
	"time"

	"github.com/uber-go/tally/v4"

	"redwingvale/internal/planner"
)

// stats are the counters and histograms of an instance.
type stats struct {
	scope     tally.Scope
	submitted tally.Counter
	accepted  tally.Counter
	refused   tally.Counter
	unsure    tally.Counter
	logErrors tally.Counter
	// rejected counts appends, notRecorded the records that were given up.
	rejected    tally.Counter
	notRecorded tally.Counter
	elections   tally.Counter
	writes      tally.Counter
	records     tally.Counter
	starts      tally.Counter
	stops       tally.Counter
	looks       tally.Counter
	failed      tally.Counter
	accept      tally.Histogram
	append      tally.Histogram
	start       tally.Histogram
}

func newStats(scope tally.Scope) stats {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)
	return stats{
		scope:       scope,
		submitted:   scope.Counter("jobs_received"),
		accepted:    scope.Counter("jobs_accepted"),
		refused:     scope.Counter("jobs_refused"),
		unsure:      scope.Counter("jobs_unsure"),
		logErrors:   scope.Counter("log_errors"),
		rejected:    scope.Counter("log_appends_rejected"),
		notRecorded: scope.Counter("log_records_given_up"),
		elections:   scope.Counter("elections_won"),
		writes:      scope.Counter("log_appends"),
		records:     scope.Counter("log_records"),
		starts:      scope.Counter("task_starts"),
		stops:       scope.Counter("task_stops"),
		looks:       scope.Counter("worker_looks"),
		failed:      scope.Counter("worker_calls_failed"),
		accept:      scope.Histogram("accept_seconds", buckets),
		append:      scope.Histogram("append_seconds", buckets),
		start:       scope.Histogram("start_seconds", buckets),
	}
}

func (s *stats) call(outcome planner.Outcome) {
	if outcome != planner.Done {
		s.failed.Inc(1)
	}
}
