package ownership

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"redwingvale/internal/fence"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// TestStoppedOnlyAfterStart guards against a claimer that, while still waiting for
// the lease of an older owner to end, confirms to the next claimer that the
// ownership has stopped.
func TestStoppedOnlyAfterStart(t *testing.T) {
	c := quicktest.New(t)
	core := New(DefaultSettings("a", 1, "dc"))
	core.Step(0, GroupsKnown{Groups: []Group{{ID: "g"}}})
	core.follow(core.groups["g"])
	ownFence := fence.Fence{Epoch: 4, Owner: "a", Incarnation: 1, Previous: fence.Previous{Owner: "o"}}
	core.Step(time.Second, GroupFence{Group: "g", Fence: ownFence})
	claim := HeartbeatReceived{Request: &schedv1.HeartbeatRequest{
		Instance: "b", Claims: []*schedv1.OwnedGroup{{Id: "g", Epoch: 5}},
	}}
	response := core.Step(time.Second, claim)
	c.Assert(response[len(response)-1].(Respond).Response.GetStopped(), quicktest.HasLen, 0)

	core.groups["g"].startedEpoch = 4
	response = core.Step(time.Second, claim)
	c.Assert(response[len(response)-1].(Respond).Response.GetStopped(), quicktest.HasLen, 1)
}

// TestOtherIncarnation guards against counting promises of an incarnation that the
// members stream does not show yet, or no longer shows.
func TestOtherIncarnation(t *testing.T) {
	c := quicktest.New(t)
	core := New(DefaultSettings("a", 1, "dc"))
	for i, id := range []string{"a", "b"} {
		join := &recordv1.Join{Member: &recordv1.Member{Instance: id, Incarnation: 1}}
		core.Step(0, MembersRecord{Offset: int64(i), Envelope: &recordv1.Envelope{
			Instance: id, Incarnation: 1, Sequence: 1,
			Body: &recordv1.Envelope_Members{Members: &recordv1.MembersRecord{Kind: &recordv1.MembersRecord_Join{Join: join}}},
		}})
	}
	response := &schedv1.HeartbeatResponse{Instance: "b", Incarnation: 2, Promised: []*schedv1.OwnedGroup{{Id: "g", Epoch: 1}}}
	core.Step(0, HeartbeatAnswered{To: "b", Response: response})
	c.Assert(core.peers["b"].promises, quicktest.HasLen, 0)
	response.Incarnation = 1
	core.Step(0, HeartbeatAnswered{To: "b", Response: response})
	c.Assert(core.peers["b"].promises, quicktest.HasLen, 1)
}

// TestSnapshotAfterExpiry guards against a late reader, whose first records have
// expired, that ends with other members or another version than a reader of all
// records.
func TestSnapshotAfterExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full, late := newMembership(), newMembership()
		late.requireSnapshot()
		first := rapid.IntRange(1, 10).Draw(t, "first")
		snapshot := rapid.IntRange(first, 20).Draw(t, "snapshot")
		var taken *recordv1.MembersSnapshot
		for offset := range 40 {
			record := drawMembersRecord(t, full)
			if offset == first {
				taken = full.snapshot()
			}
			if offset == snapshot {
				record = &recordv1.MembersRecord{Kind: &recordv1.MembersRecord_Snapshot{Snapshot: taken}}
			}
			e := MembersRecord{Offset: int64(offset), Envelope: &recordv1.Envelope{
				Instance: "w", Sequence: uint64(offset + 1), Body: &recordv1.Envelope_Members{Members: record},
			}}
			full.apply(0, e)
			if offset >= first {
				late.apply(0, e)
			}
		}
		if !proto.Equal(full.snapshot(), late.snapshot()) {
			t.Fatalf("all records: %v, from the snapshot on: %v", full.snapshot(), late.snapshot())
		}
	})
}

func drawMembersRecord(t *rapid.T, m *membership) *recordv1.MembersRecord {
	id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")
	base := m.version - min(m.version, rapid.Uint64Range(0, 1).Draw(t, "stale"))
	incarnation := m.find(spec.InstanceID(id)).GetIncarnation()
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		return &recordv1.MembersRecord{Kind: &recordv1.MembersRecord_Join{Join: &recordv1.Join{
			Member: &recordv1.Member{Instance: id, Incarnation: incarnation + 1},
		}}}
	case 1:
		return &recordv1.MembersRecord{Kind: &recordv1.MembersRecord_Activate{Activate: &recordv1.Activate{
			Instances: []string{id}, BaseVersion: base,
		}}}
	default:
		return &recordv1.MembersRecord{Kind: &recordv1.MembersRecord_Remove{Remove: &recordv1.Remove{
			Instance: id, Incarnation: incarnation, BaseVersion: base,
		}}}
	}
}

// TestAssign guards against assignments that exceed the limit per member or omit a
// group.
func TestAssign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var groups []Group
		for i := range rapid.IntRange(0, 60).Draw(t, "groups") {
			groups = append(groups, Group{ID: spec.GroupID(instanceID(i)), DataCentre: dataCentre(i)})
		}
		var members []assignee
		for i := range rapid.IntRange(1, 9).Draw(t, "members") {
			members = append(members, assignee{id: instanceID(i), dc: dataCentre(rapid.IntRange(0, 2).Draw(t, "dc"))})
		}
		count := make(map[spec.InstanceID]int)
		owners := assign(groups, members)
		for _, owner := range owners {
			count[owner]++
			if count[owner] > (len(groups)+len(members)-1)/len(members)+1 {
				t.Fatalf("%s owns %d of %d groups", owner, count[owner], len(groups))
			}
		}
		if len(owners) != len(groups) {
			t.Fatalf("%d of %d groups are assigned", len(owners), len(groups))
		}
	})
}
