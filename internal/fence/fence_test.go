package fence

import (
	"testing"

	qt "github.com/frankban/quicktest"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

func claim(replaces uint64, owner string, incarnation uint64) *recordv1.Envelope {
	return &recordv1.Envelope{Body: &recordv1.Envelope_Group{Group: &recordv1.GroupRecord{
		Kind: &recordv1.GroupRecord_Claim{Claim: &recordv1.Claim{ReplacesEpoch: replaces, Owner: owner, OwnerIncarnation: incarnation}},
	}}}
}

func record(epoch uint64, instance string, incarnation uint64) *recordv1.Envelope {
	return &recordv1.Envelope{Epoch: epoch, Instance: instance, Incarnation: incarnation, Body: &recordv1.Envelope_Group{
		Group: &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_TaskStarted{TaskStarted: &recordv1.TaskStarted{}}},
	}}
}

// TestClaims guards against a claim that takes effect although it does not
// replace the current epoch: of two claims the first in the log wins, and a
// late claim of an older epoch has no effect.
func TestClaims(t *testing.T) {
	c := qt.New(t)
	f := &Fence{}
	c.Assert(f.Apply(claim(0, "a", 1)), qt.Equals, Claimed)
	c.Assert(f.Apply(claim(0, "b", 1)), qt.Equals, Void)
	c.Assert(f.OwnedBy("a", 1), qt.IsTrue)
	c.Assert(f.Apply(claim(1, "b", 1)), qt.Equals, Claimed)
	c.Assert(f.Apply(claim(0, "c", 1)), qt.Equals, Void)
	c.Assert(f.Apply(claim(1, "c", 1)), qt.Equals, Void)
	c.Assert(f.Apply(claim(7, "c", 1)), qt.Equals, Void)
	c.Assert(f.OwnedBy("b", 1), qt.IsTrue)
	c.Assert(f.Previous, qt.Equals, Previous{Owner: "a", Incarnation: 1})
}

// TestRecordsOfOtherEpochs guards against an accepted record from an epoch that
// has ended, also when the same instance owns the group again.
func TestRecordsOfOtherEpochs(t *testing.T) {
	c := qt.New(t)
	f := &Fence{}
	f.Apply(claim(0, "a", 1))
	c.Assert(f.Apply(record(1, "a", 1)), qt.Equals, Valid)
	f.Apply(claim(1, "b", 1))
	f.Apply(claim(2, "a", 1))
	c.Assert(f.Apply(record(3, "a", 1)), qt.Equals, Valid)
	for _, stale := range []*recordv1.Envelope{
		record(1, "a", 1), record(2, "b", 1), record(4, "a", 1), record(3, "b", 1), record(3, "a", 2),
	} {
		c.Check(f.Apply(stale), qt.Equals, Void, qt.Commentf("%v", stale))
	}
}
