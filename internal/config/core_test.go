package config

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
	"redwingvale/internal/platform"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

func newApply(id, team string, base uint64, account string) *recordv1.Apply {
	key := Key{Team: spec.TeamID(team), Service: "s"}
	return &recordv1.Apply{
		ApplyId: id, Team: team, Service: "s", BaseRevision: base, Author: "author-of-" + id,
		Document: testDocument(key, account, 5, true),
	}
}

func readApplies(core *Core, now time.Duration, applies ...*recordv1.Apply) []Effect {
	result := platform.ReadResult{AtTail: true, Next: core.Next()}
	for _, apply := range applies {
		data := envelope("ctl", &recordv1.ConfigRecord{Kind: &recordv1.ConfigRecord_Apply{Apply: apply}})
		result.Records = append(result.Records, platform.LogRecord{Offset: result.Next, Data: data})
		result.Next++
	}
	return core.Step(now, ReadEvent{Result: result, Sent: now})
}

func outcomesOf(effects []Effect) []Outcome {
	var out []Outcome
	for _, effect := range effects {
		if decided, ok := effect.(ApplyDecided); ok {
			out = append(out, decided.Outcome)
		}
	}
	return out
}

// TestOutcomes guards against outcomes with missing or wrong details: the
// winner of a conflict, an earlier acceptance, and the owner of an account
// code.
func TestOutcomes(t *testing.T) {
	c := qt.New(t)
	core := NewCore(Options{})
	applies := []*recordv1.Apply{
		newApply("a", "north", 0, "F-1"), newApply("b", "north", 0, ""), newApply("a", "north", 0, "F-1"),
		newApply("c", "south", 0, "F-1"), newApply("d", "north", 1, ""), newApply("c", "south", 0, "F-1"), newApply("e", "south", 0, "F-1"),
		newApply("f", "north", 7, ""),
	}
	got := outcomesOf(readApplies(core, 0, applies...))
	var kinds []OutcomeKind
	for _, v := range got {
		kinds = append(kinds, v.Kind)
	}
	c.Assert(kinds, qt.DeepEquals, []OutcomeKind{AcceptedNow, Conflict, AlreadyAccepted, Refused, AcceptedNow, Refused, AcceptedNow, Refused})
	c.Assert(got[1].Winner.Author, qt.Equals, "author-of-a")
	c.Assert(got[1].Winner.Revision, qt.Equals, uint64(1))
	c.Assert(code.Of(got[3].Err), qt.Equals, code.AmbiguousAlias)
	team, err := core.State().Resolve("F-1")
	c.Assert(err, qt.IsNil)
	c.Assert(string(team), qt.Equals, "south")

	for i := range uint64(HistoryLength) {
		readApplies(core, 0, newApply(fmt.Sprintf("more%d", i), "north", 2+i, ""))
	}
	old := outcomesOf(readApplies(core, 0, newApply("b", "north", 0, ""), newApply("a", "north", 0, "")))
	c.Assert(old[0].Kind, qt.Equals, BaseTooOld)
	c.Assert(old[1].Kind, qt.Equals, BaseTooOld)
}

// TestRepublicationByRank guards against members that all write a snapshot at
// the same time, or that never write one when the member with the previous rank
// does not.
func TestRepublicationByRank(t *testing.T) {
	c := qt.New(t)
	options := DefaultOptions(4 * time.Hour)
	for rank, want := range []time.Duration{time.Hour, time.Hour + time.Minute, time.Hour + 2*time.Minute} {
		core := NewCore(options)
		core.Step(0, MembersEvent{Rank: rank})
		readApplies(core, 0, newApply("a", "north", 0, ""))
		// The core reads a snapshot of another member at the start.
		other := NewCore(options)
		readApplies(other, 0, newApply("a", "north", 0, ""))
		snapshot := envelope("i9", other.State().Snapshot(0, 0)[0])
		core.Step(0, ReadEvent{Result: platform.ReadResult{Records: []platform.LogRecord{{Offset: 1, Data: snapshot}}, Next: 2, AtTail: true}})
		first := time.Duration(0)
		for now := time.Second; first == 0 && now < 2*time.Hour; now += time.Second {
			for _, effect := range readApplies(core, now) {
				if _, ok := effect.(Publish); ok {
					first = now
				}
			}
		}
		c.Check(first, qt.Equals, want)
	}
	idle := NewCore(options)
	readApplies(idle, 0, newApply("a", "north", 0, ""))
	c.Assert(idle.Step(3*time.Hour, TickEvent{}), qt.HasLen, 0)
}

// TestDivergenceAndUndecodableRecordsAreReported guards against instances that
// have different configurations in force without reporting it, and against an
// undecodable record that stops a reader.
func TestDivergenceAndUndecodableRecordsAreReported(t *testing.T) {
	c := qt.New(t)
	one, two := NewCore(Options{}), NewCore(Options{})
	readApplies(one, 0, newApply("a", "north", 0, ""))
	readApplies(two, 0, newApply("b", "north", 0, ""))
	records := []platform.LogRecord{{Offset: 1, Data: []byte{0xff}}, {Offset: 2, Data: envelope("i2", two.State().Snapshot(0, 0)[0])}}
	effects := one.Step(0, ReadEvent{Result: platform.ReadResult{Records: records, Next: 3, AtTail: true}})
	c.Assert(effects, qt.HasLen, 2)
	c.Check(effects[0].(Unreadable).Offset, qt.Equals, int64(1))
	c.Check(effects[1].(Diverged).Key, qt.Equals, Key{"north", "s"})
	c.Check(one.State().Revision(Key{"north", "s"}), qt.Equals, uint64(1))
	c.Check(one.InForceOffset(), qt.Equals, int64(2))
}
