package entry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"redwingvale/internal/code"
)

// latencyBuckets are the bounds of the latency histogram.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// metrics holds the counters of the request path.
type metrics struct {
	scope      tally.Scope
	latency    tally.Histogram
	retries    tally.Counter
	hedges     tally.Counter
	forwards   tally.Counter
	streamsCut tally.Counter
	byCode     sync.Map
}

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &metrics{
		scope:      scope,
		latency:    scope.Histogram("urgent_latency", latencyBuckets),
		retries:    scope.Counter("urgent_retries"),
		hedges:     scope.Counter("urgent_hedges"),
		forwards:   scope.Counter("urgent_forwards"),
		streamsCut: scope.Counter("urgent_streams_cut"),
	}
}

// recordResponse counts a response by its code and records its latency.
func (m *metrics) recordResponse(c code.Code, took time.Duration) {
	counter, ok := m.byCode.Load(c)
	if !ok {
		tagged := m.scope.Tagged(map[string]string{"code": c.String()})
		counter, _ = m.byCode.LoadOrStore(c, tagged.Counter("urgent_answers"))
	}
	counter.(tally.Counter).Inc(1)
	m.latency.RecordDuration(took)
}
