package datacentre_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/framework"
	"redwingvale/internal/plugins/datacentre"
	_ "redwingvale/internal/plugins/fit"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Guards against a task in a data centre that its document does not allow, a
// missing reason, a task that stays parked after the document was changed, and
// restricting another team's service of the same name.
func TestPlacesOnlyWhereTheDocumentAllows(t *testing.T) {
	c := qt.New(t)
	k, err := framework.New(framework.Config{Plugins: []string{"fit", datacentre.Name}})
	c.Assert(err, qt.IsNil)
	configure := func(now time.Duration, names ...string) {
		k.Configure(now, []policy.Service{
			{Team: "a", ID: "s", DataCentres: policy.NewDataCentres(names)},
			{Team: "b", ID: "s"},
		})
	}
	configure(0, "dc2")
	k.SetWorker(0, spec.Worker{ID: "w", DataCentre: "dc1", Capacity: spec.Resources{Slots: 8}})
	task := func(team spec.TeamID) policy.Task {
		id := spec.TaskID{Job: spec.JobID{Team: team, Name: "j"}}
		return policy.Task{ID: id, Service: "s", Class: spec.Deadline, Resources: spec.Resources{Slots: 1}}
	}
	k.Enqueue(0, task("a"))
	k.Enqueue(0, task("b"))
	placed := k.Schedule(0, 10)
	c.Assert(placed, qt.HasLen, 1)
	c.Assert(placed[0].Task, qt.Equals, task("b").ID)
	found := false
	for _, reason := range k.Explain(task("a").ID) {
		found = found || reason.Dimension == datacentre.Name && reason.Workers == 1
	}
	c.Assert(found, qt.IsTrue)
	configure(time.Second, "dc3", "dc1")
	c.Assert(k.Schedule(time.Second, 10), qt.HasLen, 1)
}
