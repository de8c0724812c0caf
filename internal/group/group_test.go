package group

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"redwingvale/internal/code"
	"redwingvale/internal/policy/firstfit"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// lone is a core that owns its group; each record is read back at once.
type lone struct {
	core     *Core
	log      []*recordv1.Envelope
	now      time.Duration
	replies  map[Request]Reply
	handOffs []HandOff
}

// newLone returns the owner of a group over an existing log or none.
func newLone(group spec.GroupID, cores int64, peers ...Peer) *lone {
	opts := DefaultOptions()
	opts.Group, opts.Instance, opts.Incarnation = group, "i0", 1
	l := &lone{core: New(opts, firstfit.New()), replies: make(map[Request]Reply)}
	worker := spec.Worker{ID: spec.WorkerID(group) + "-w", Capacity: spec.Resources{MilliCPU: cores * 1000, MemoryMiB: 1000}}
	l.step(SetWorkers{Workers: []WorkerInfo{{Worker: worker}}})
	l.step(SetPeers{Peers: peers})
	l.write(&recordv1.Envelope{Body: &recordv1.Envelope_Group{Group: &recordv1.GroupRecord{
		Kind: &recordv1.GroupRecord_Claim{Claim: &recordv1.Claim{Owner: "i0", OwnerIncarnation: 1}},
	}}})
	return l
}

func (l *lone) write(env *recordv1.Envelope) {
	l.log = append(l.log, env)
	env.Instance, env.Incarnation, env.Sequence = "i0", 1, uint64(len(l.log))
	l.step(RecordRead{Offset: int64(len(l.log) - 1), Envelope: env, Fresh: true})
}

func (l *lone) step(e Event) {
	for _, effect := range append([]Effect(nil), l.core.Step(l.now, e)...) {
		switch e := effect.(type) {
		case Write:
			l.write(e.Envelope)
		case Reply:
			l.replies[e.Request] = e
		case HandOff:
			l.handOffs = append(l.handOffs, e)
		}
	}
}

// pass lets time pass with the right to decide.
func (l *lone) pass(d time.Duration) {
	for end := l.now + d; l.now < end; l.now += 500 * time.Millisecond {
		l.step(RightChanged{Epoch: 1, Until: l.now + time.Second})
		l.step(Tick{})
	}
}

func (l *lone) count(match func(*recordv1.GroupRecord) bool) int {
	n := 0
	for _, env := range l.log {
		if match(env.GetGroup()) {
			n++
		}
	}
	return n
}

func smallJob(name string, tasks uint32, cores int64) *recordv1.JobSpec {
	return &recordv1.JobSpec{
		Id: &recordv1.JobRef{Team: "desk", Name: name}, Class: uint32(spec.Deadline), Tasks: tasks,
		PerTask: &recordv1.Resources{MilliCpu: cores * 1000}, RestartFromStart: true,
	}
}

// Guards against a job that is recorded twice by its new group, or that its
// first group no longer finds, when the answer to a hand-off is lost; and
// against a job that no worker can run being accepted.
func TestHandOffIsRecordedOnce(t *testing.T) {
	c := qt.New(t)
	source := newLone("rack1", 4, Peer{Group: "rack2", Largest: spec.Resources{MilliCPU: 32000}})
	target := newLone("rack2", 32)
	source.pass(time.Second)
	target.pass(time.Second)
	source.step(Submit{Request: 1, Job: smallJob("huge", 1, 40)})
	c.Assert(source.replies[1].Code, qt.Equals, code.NeverRunnable)
	c.Assert(source.replies[1].Response.GetDetail(), qt.Contains, "milli_cpu")
	source.step(Submit{Request: 2, Job: smallJob("large", 2, 16)})
	source.pass(4 * time.Second)
	c.Assert(len(source.handOffs) >= 2, qt.IsTrue)
	for i, offer := range source.handOffs {
		target.step(ReceiveJob{Request: Request(10 + i), Job: offer.Job})
		c.Assert(target.replies[Request(10+i)].Code, qt.Equals, code.OK)
	}
	received := target.count(func(r *recordv1.GroupRecord) bool { return r.GetJobReceived() != nil })
	c.Assert(received, qt.Equals, 1)
	source.step(HandOffAnswered{Job: spec.JobID{Team: "desk", Name: "large"}, Hop: 1, Recorded: true})
	source.step(Cancel{Request: 3, Job: spec.JobID{Team: "desk", Name: "large"}})
	c.Assert(source.replies[3].Forward, qt.Equals, spec.GroupID("rack2"))
}

// Guards against a wave of cancellations whose records grow with the tasks.
func TestCancelWritesOneRecordForAnyNumberOfTasks(t *testing.T) {
	c := qt.New(t)
	l := newLone("rack1", 4)
	l.pass(time.Second)
	l.step(Submit{Request: 1, Job: smallJob("wide", 5000, 1)})
	before := len(l.log)
	l.step(Cancel{Request: 2, Job: spec.JobID{Team: "desk", Name: "wide"}})
	c.Assert(l.replies[2].Code, qt.Equals, code.OK)
	l.pass(20 * time.Second)
	c.Assert(len(l.log)-before, qt.Equals, 2)
	c.Assert(l.core.Status(l.now).Waiting, qt.Equals, 0)
}

// Guards against a reader that joins late and takes a snapshot although it has
// missed records that followed it, and against parts beyond the bound.
func TestReaderWaitsForSnapshotThatReachesItsFirstRecord(t *testing.T) {
	c := qt.New(t)
	var s stream
	s.claim("i0", 0)
	for n := range 2000 {
		s.job(n)
	}
	known := newState(Options{})
	for i, env := range s.envelopes {
		known.apply(int64(i), env)
	}
	var records []*recordv1.Envelope
	for _, part := range known.snapshot(DefaultOptions().MaxPartBytes) {
		s.add(&recordv1.GroupRecord{Kind: &recordv1.GroupRecord_Snapshot{Snapshot: part}})
		env := s.envelopes[len(s.envelopes)-1]
		c.Assert(proto.Size(env) <= DefaultOptions().MaxPartBytes, qt.IsTrue)
		records = append(records, env)
	}
	c.Assert(len(records) > 1, qt.IsTrue)
	for _, missing := range []int64{0, 1} {
		reader := newFollower(Options{})
		for i, env := range records {
			reader.read(0, RecordRead{Offset: known.applied + 1 + missing + int64(i), Envelope: env})
		}
		c.Assert(reader.complete, qt.Equals, missing == 0)
	}
}
