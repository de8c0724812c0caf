package spread

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/framework"
	"redwingvale/internal/spec"
)

// Guards against tasks of one job that concentrate in one rack or data centre,
// and against counts that remain after a task has ended.
func TestScoreDecreasesWithTasksInRack(t *testing.T) {
	c := qt.New(t)
	p := New(framework.Config{}).(*Plugin)
	at := func(dc, rack string) *framework.Worker {
		return &framework.Worker{Worker: spec.Worker{DataCentre: spec.DataCentre(dc), Rack: spec.Rack(rack)}}
	}
	item := &framework.TaskInfo{}
	item.ID.Job = spec.JobID{Team: "t", Name: "j"}
	p.Reserve(nil, item, at("a", "1"))
	for _, test := range []struct {
		dc, rack string
		want     float64
	}{
		{"a", "1", 0.5}, {"a", "2", 0.85}, {"b", "1", 1},
	} {
		c.Check(p.Score(nil, item, at(test.dc, test.rack)), qt.Equals, test.want)
	}
	p.Unreserve(nil, item, at("a", "1"))
	c.Assert(p.Score(nil, item, at("a", "1")), qt.Equals, 1.0)
	c.Assert(p.jobs, qt.HasLen, 0)
}
