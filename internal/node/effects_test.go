package node

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"redwingvale/internal/planner"
	"redwingvale/internal/telemetry"
)

// TestSecondRunIsWarningAndCounted guards against second runs that no alert on the
// log's level or on the metrics shows, and against details that are left out.
func TestSecondRunIsWarningAndCounted(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	tele := telemetry.New("rwnode", "a", &out)
	defer tele.Close()
	n := New(DefaultConfig(), Deps{}, tele)
	scope := tally.NewTestScope("", nil)
	n.stats = newStats(scope)
	n.logDecision(&term{epoch: 3}, planner.Decision{Event: "run_twice", Warn: true, Task: "j.0.0.0", Run: 1, Details: []planner.Detail{{Name: "known_from", Text: "joined"}, {Name: "known_ms", Number: 0}}})
	n.logDecision(&term{epoch: 3}, planner.Decision{Event: "run_ended", WaitedMS: 1500})
	c.Assert(out.String(), qt.Contains, "level=warn event=run_twice")
	c.Assert(out.String(), qt.Contains, "task=j.0.0.0 run=1 known_from=joined known_ms=0\n")
	c.Assert(out.String(), qt.Contains, "waited_ms=1500\n")
	c.Assert(scope.Snapshot().Counters()["runs_twice+"].Value(), qt.Equals, int64(1))
	waits := int64(0)
	for bound, count := range scope.Snapshot().Histograms()["end_wait_seconds+"].Durations() {
		if bound.Seconds() > 1.5 {
			waits += count
		}
	}
	c.Assert(waits, qt.Equals, int64(1))
}
