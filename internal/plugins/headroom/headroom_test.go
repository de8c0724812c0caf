package headroom

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/framework"
	"redwingvale/internal/spec"
)

// Guards against filling slots that urgent requests held recently and are likely
// to need again, and against keeping them free indefinitely.
func TestScoreKeepsTheRecentPeakFree(t *testing.T) {
	c := qt.New(t)
	w := &framework.Worker{Worker: spec.Worker{Capacity: spec.Resources{Slots: 8}}}
	w.Reserved.Slots = 4
	cluster := &framework.Cluster{Workers: []*framework.Worker{w}}
	p := New(framework.Config{}).(*Plugin)
	item := &framework.TaskInfo{Need: spec.Resources{Slots: 1}}
	grant := func(at time.Duration, slots int64) float64 {
		cluster.Now = at
		granted := spec.Resources{Slots: slots}
		p.OnGrantChange(cluster, w, granted)
		w.Granted = granted
		return p.Score(cluster, item, w)
	}
	before := grant(0, 1)
	c.Assert(grant(time.Minute, 4), qt.Equals, 0.25)
	c.Assert(grant(2*time.Minute, 1) < before, qt.IsTrue)
	grant(8*time.Minute, 1)
	c.Assert(grant(14*time.Minute, 1), qt.Equals, before)
}
