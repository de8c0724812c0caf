package laxity_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/framework"
	"redwingvale/internal/plugins/laxity"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Guards against an order that ignores progress or the run time, against
// forecasting a miss for tasks that can still be on time, and against a forecast
// only after the deadline.
func TestOrderAndForecast(t *testing.T) {
	const minute = time.Minute
	running := &framework.Worker{}
	for _, test := range []struct {
		name   string
		task   policy.Task
		worker *framework.Worker
		short  time.Duration
		latest time.Duration
		late   bool
	}{
		{"deadline", policy.Task{Deadline: 60 * minute}, nil, 0, 49 * minute, false},
		{"half done", policy.Task{Deadline: 60 * minute, Progress: 0.5}, nil, 0, 54*minute + 30*time.Second, false},
		{"no deadline", policy.Task{Submitted: 2 * minute}, nil, 0, 12 * minute, false},
		{"long-running", policy.Task{Class: spec.LongRunning}, nil, 0, framework.NoLatestStart, false},
		{"too late", policy.Task{Deadline: 24 * minute}, nil, 5 * minute, 13 * minute, true},
		{"just in time", policy.Task{Deadline: 25 * minute}, nil, 5 * minute, 14 * minute, false},
		{"running long enough", policy.Task{Deadline: 24 * minute}, running, 5 * minute, 13 * minute, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := laxity.New(framework.Config{}).(laxity.Plugin)
			item := &framework.TaskInfo{
				Task: test.task, Predicted: 10 * minute, Shortest: test.short,
				Worker: test.worker, StartedAt: 17 * minute,
			}
			c.Check(p.LatestStart(nil, item), qt.Equals, test.latest)
			c.Check(p.MissesDeadline(&framework.Cluster{Now: 20 * minute}, item), qt.Equals, test.late)
		})
	}
}
