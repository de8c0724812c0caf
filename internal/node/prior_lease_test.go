package node

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// Guards against a task that runs twice after claims in quick succession while the
// lease is being changed: a worker may still hold the longer lease of a leader before
// the last one, and the new leader waits for the last one's only.
func TestLeasesOfEarlierLeadersCount(t *testing.T) {
	c := qt.New(t)
	n := newElectionNode(t, "self", nil, nil)
	for _, held := range []claim{
		{Epoch: 4, Instance: "a", LeaseMS: 6000},
		{Epoch: 5, Instance: "b", LeaseMS: 2000},
		{Epoch: 6, Instance: "self", LeaseMS: 2000},
	} {
		value, err := json.Marshal(held)
		c.Assert(err, qt.IsNil)
		n.applyRecord(jobs.Record{Key: claimKey, Value: value})
	}
	c.Assert(n.priorLeaseMS >= 6000, qt.IsTrue, qt.Commentf("%d ms", n.priorLeaseMS))
}
