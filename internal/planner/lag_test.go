package planner

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// ticks passes a number of ticks with a lag and returns the events of decisions.
func (h *harness) ticks(n int, lagMS int64) (events []string) {
	for range n {
		h.now += 20
		for _, w := range h.core.sortedWorkers {
			w.reportedMS = h.now
		}
		for _, e := range h.step(Tick{LagMS: lagMS}) {
			if d, ok := e.(Decision); ok {
				events = append(events, d.Event)
			}
		}
	}
	return events
}

// Guards against a leader that falls behind without a word, and against one that
// keeps telling.
func TestLagIsLoggedOnce(t *testing.T) {
	c := qt.New(t)
	h, _ := newIdleSite(2)
	c.Assert(h.ticks(50, 20), qt.HasLen, 0)
	c.Assert(h.ticks(1, 400), qt.HasLen, 0, qt.Commentf("a single late event"))
	c.Assert(h.ticks(50, 20), qt.HasLen, 0)
	c.Assert(h.ticks(100, 300), qt.DeepEquals, []string{"behind"})
	c.Assert(h.ticks(100, 60), qt.HasLen, 0, qt.Commentf("nearly caught up"))
	c.Assert(h.ticks(100, 5), qt.DeepEquals, []string{"caught_up"})
}

// Guards against a leader that spends the little processor time it has on passes:
// behind, it must make fewer of them and still start everything that fits, the
// most urgent first.
func TestBehindPlacesInFewerPasses(t *testing.T) {
	c := qt.New(t)
	starts := func(lagMS int64) (passes int64, first jobs.ID) {
		h, _ := newIdleSite(4)
		h.step(QueuesChanged{Queues: []Queue{
			{Name: "q", Policy: jobs.Policy{Service: "s", Priority: 2, Stretch: 2}},
			{Name: "urgent", Policy: jobs.Policy{Service: "s", Stretch: 2}},
		}})
		h.ticks(100, lagMS)
		before := h.core.Work().Passes
		total := 0
		for i := range 50 {
			h.now += minPassIntervalMS
			for _, w := range h.core.sortedWorkers {
				w.reportedMS = h.now
			}
			queue := "q"
			if i%2 == 1 {
				queue = "urgent"
			}
			encoded, err := jobs.EncodeJob(&jobs.Job{Queue: queue, Steps: []jobs.Step{{Count: 1, CPUMilli: 100, EstimateMS: 900}}})
			c.Assert(err, qt.IsNil)
			for _, e := range h.step(SubmitRequested{RequestID: 1, ID: jobs.ID(fmt.Sprintf("%s%02d", queue, i)), Encoded: encoded}) {
				if s, ok := e.(Start); ok {
					total++
					if first == "" && i > 1 {
						first = s.Task.Job
					}
				}
			}
		}
		h.now += 200
		for _, w := range h.core.sortedWorkers {
			w.reportedMS = h.now
		}
		for _, e := range h.step(Tick{LagMS: lagMS}) {
			if _, ok := e.(Start); ok {
				total++
			}
		}
		c.Check(total, qt.Equals, 50, qt.Commentf("lag %d", lagMS))
		return h.core.Work().Passes - before, first
	}
	onTime, _ := starts(0)
	behind, first := starts(400)
	c.Check(behind*4 < onTime, qt.IsTrue, qt.Commentf("%d passes on time, %d behind", onTime, behind))
	c.Check(first[:6], qt.Equals, jobs.ID("urgent"))
}
