package audit_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"redwingvale/internal/audit"
	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
	"redwingvale/internal/platform"
)

// fakeLog is an in-memory log. Its first records may have expired, and one
// stream may be unreadable.
type fakeLog struct {
	streams    map[platform.Stream][]platform.LogRecord
	first      map[platform.Stream]int64
	unreadable platform.Stream
}

func (t *fakeLog) Append(context.Context, platform.Stream, [][]byte) error {
	return errors.New("read only")
}

func (t *fakeLog) Read(_ context.Context, stream platform.Stream, from int64, _ int, _ time.Duration) (platform.ReadResult, error) {
	if stream == t.unreadable {
		return platform.ReadResult{}, errors.New("down")
	}
	all := t.streams[stream]
	// Each read returns one record, so that Read must continue reading.
	at := max(from, t.first[stream])
	end := min(at+1, int64(len(all)))
	return platform.ReadResult{Records: all[at:end], First: t.first[stream], Next: end, AtTail: end == int64(len(all))}, nil
}

func (t *fakeLog) Streams(context.Context, string) ([]platform.Stream, error) {
	return []platform.Stream{"members", "group/g1", "config"}, nil
}

func (t *fakeLog) add(stream platform.Stream, env *recordv1.Envelope) {
	env.UnixMs = int64(len(t.streams["members"])+len(t.streams["group/g1"])+len(t.streams["config"])+1) * 1000
	data, _ := proto.Marshal(env)
	t.streams[stream] = append(t.streams[stream], platform.LogRecord{Offset: int64(len(t.streams[stream])), Data: data})
}

func group(instance string, epoch, sequence uint64, record *recordv1.GroupRecord) *recordv1.Envelope {
	return &recordv1.Envelope{Instance: instance, Incarnation: 1, Sequence: sequence, Epoch: epoch, Body: &recordv1.Envelope_Group{Group: record}}
}

func claim(instance string, replaces uint64) *recordv1.GroupRecord {
	return &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_Claim{Claim: &recordv1.Claim{Owner: instance, OwnerIncarnation: 1, ReplacesEpoch: replaces}}}
}

func cancel(job string) *recordv1.GroupRecord {
	return &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_JobCancelled{JobCancelled: &recordv1.JobCancelled{Job: &recordv1.JobRef{Team: "desk", Name: job}}}}
}

func apply(id string, base uint64) *recordv1.Envelope {
	doc := []byte("team = \"desk\"\nservice = \"s\"\nregion = \"r\"\ndata_centres = [\"a\"]\n[urgent]\ntime_limit_ms = 100\nqueue_limit = 1\n")
	change := &recordv1.Apply{ApplyId: id, Team: "desk", Service: "s", BaseRevision: base, Document: doc, Author: "ana", Reason: "launch"}
	return &recordv1.Envelope{Instance: "rwctl:" + id, Incarnation: 1, Sequence: 1, Body: &recordv1.Envelope_Config{Config: &recordv1.ConfigRecord{Kind: &recordv1.ConfigRecord_Apply{Apply: change}}}}
}

func sampleLog() *fakeLog {
	t := &fakeLog{streams: map[platform.Stream][]platform.LogRecord{}, first: map[platform.Stream]int64{}}
	t.add("members", &recordv1.Envelope{Instance: "i1", Incarnation: 1, Sequence: 1, Body: &recordv1.Envelope_Members{Members: &recordv1.MembersRecord{Kind: &recordv1.MembersRecord_Join{Join: &recordv1.Join{Member: &recordv1.Member{Instance: "i1"}}}}}})
	t.add("group/g1", group("i1", 0, 1, claim("i1", 0)))
	t.add("group/g1", group("i1", 1, 2, cancel("a")))
	t.add("group/g1", group("i1", 1, 2, cancel("a")))
	t.add("group/g1", group("i2", 0, 1, claim("i2", 1)))
	t.add("group/g1", group("i1", 1, 3, cancel("b")))
	t.add("config", apply("x", 0))
	t.add("config", apply("x", 0))
	t.add("config", apply("y", 0))
	return t
}

func read(c *qt.C, log platform.Log, q audit.Query) audit.Result {
	out, err := audit.Read(context.Background(), log, q)
	c.Assert(err, qt.IsNil)
	return out
}

// TestStandings guards against a trail that shows a duplicate, a record of a
// replaced owner or a conflicting change as if it had taken effect.
func TestStandings(t *testing.T) {
	c := qt.New(t)
	var got []string
	for _, e := range read(c, sampleLog(), audit.Query{WithVoid: true}).Entries {
		got = append(got, e.Kind+" "+string(e.Standing))
	}
	c.Assert(got, qt.DeepEquals, []string{
		"join recorded", "claim valid", "job_cancelled valid", "job_cancelled void", "claim valid",
		"job_cancelled void", "apply valid", "apply void", "apply void",
	})
	visible := read(c, sampleLog(), audit.Query{Actor: "ana"}).Entries
	c.Assert(visible, qt.HasLen, 1)
	c.Assert(visible[0].Why, qt.Equals, "launch")
	c.Assert(visible[0].What, qt.Contains, "accepted as revision 1")
}

// TestFilters guards against a query that returns entries that it does not
// select.
func TestFilters(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		query audit.Query
		want  int
	}{
		{audit.Query{}, 5},
		{audit.Query{Team: "desk"}, 2},
		{audit.Query{Job: "a"}, 1},
		{audit.Query{Kind: "claim"}, 2},
		{audit.Query{Actor: "i2"}, 1},
		{audit.Query{Worker: "w9"}, 0},
		{audit.Query{Since: time.UnixMilli(2000), Until: time.UnixMilli(5000)}, 2},
	} {
		c.Check(read(c, sampleLog(), test.query).Entries, qt.HasLen, test.want, qt.Commentf("%+v", test.query))
	}
	for limit := 1; limit <= 5; limit++ {
		limited := read(c, sampleLog(), audit.Query{Limit: limit})
		c.Assert(limited.Entries, qt.HasLen, limit)
		c.Assert(limited.Omitted, qt.Equals, 5-limit)
		c.Assert(limited.Entries[limit-1].Kind, qt.Equals, "apply")
	}
}

// TestGapsAreReported guards against expired, unreadable or undecodable records
// that are not reported, and against a standing that does not follow from the
// remaining records.
func TestGapsAreReported(t *testing.T) {
	c := qt.New(t)
	log := sampleLog()
	log.first["group/g1"] = 2
	log.unreadable = "config"
	log.streams["members"] = append(log.streams["members"], platform.LogRecord{Offset: 1, Data: []byte{0xff}})
	out := read(c, log, audit.Query{WithVoid: true})
	c.Assert(out.Gaps, qt.HasLen, 3)
	c.Check(out.Gaps[0].Unread, qt.Equals, "down")
	c.Check(out.Gaps[1].Expired, qt.Equals, int64(2))
	c.Check(out.Gaps[1].OldestKept.UnixMilli(), qt.Equals, int64(4000))
	c.Check(out.Gaps[2].Damaged, qt.Equals, 1)
	c.Check(out.Notes, qt.HasLen, 4)
	var got []audit.Standing
	for _, e := range out.Entries[1:] {
		got = append(got, e.Standing)
	}
	c.Assert(got, qt.DeepEquals, []audit.Standing{audit.Recorded, audit.Recorded, audit.Recorded})
}

// TestVoidSnapshotDoesNotHideTheOwner guards against a snapshot of a replaced
// owner that makes the records of the current owner appear void, when the claim
// between them has expired.
func TestVoidSnapshotDoesNotHideTheOwner(t *testing.T) {
	c := qt.New(t)
	log := &fakeLog{streams: map[platform.Stream][]platform.LogRecord{}, first: map[platform.Stream]int64{"group/g1": 1}}
	snapshot := func(instance string, epoch, sequence uint64) *recordv1.Envelope {
		kind := &recordv1.GroupRecord_Snapshot{Snapshot: &recordv1.GroupSnapshot{Epoch: epoch, Owner: instance, OwnerIncarnation: 1}}
		return group(instance, epoch, sequence, &recordv1.GroupRecord{Kind: kind})
	}
	log.add("group/g1", group("i2", 0, 1, claim("i2", 5)))
	log.add("group/g1", snapshot("i1", 5, 1))
	log.add("group/g1", group("i2", 6, 2, cancel("a")))
	log.add("group/g1", snapshot("i2", 6, 3))
	log.add("group/g1", group("i2", 6, 4, cancel("b")))
	var got []audit.Standing
	for _, e := range read(c, log, audit.Query{Streams: "group/", Kind: "job_cancelled", WithVoid: true}).Entries {
		got = append(got, e.Standing)
	}
	c.Assert(got, qt.DeepEquals, []audit.Standing{audit.Recorded, audit.Valid})
}
