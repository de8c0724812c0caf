package group

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"redwingvale/internal/code"
	"redwingvale/internal/platform"
	"redwingvale/internal/policy/firstfit"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// init fixes the seed of rapid, which otherwise differs in each run.
func init() { _ = flag.Set("rapid.seed", "1") }

// singleOwner runs a core that owns its group. Each record is read back
// immediately.
type singleOwner struct {
	group          spec.GroupID
	cores          int64
	peers          []Peer
	workers        []WorkerInfo
	core           *Core
	log            []*recordv1.Envelope
	now            time.Duration
	replies        map[Request]Reply
	handOffs       []HandOff
	sends          []Send
	runningTasks   []platform.TaskReport
	forgetRequests []SendForgetMovedJob
}

// newSingleOwner returns the owner of a group.
func newSingleOwner(group spec.GroupID, cores int64, peers ...Peer) *singleOwner {
	o := &singleOwner{group: group, cores: cores, peers: peers, replies: make(map[Request]Reply)}
	o.restart()
	o.appendRecord(&recordv1.Envelope{Body: &recordv1.Envelope_Group{Group: &recordv1.GroupRecord{
		Kind: &recordv1.GroupRecord_Claim{Claim: &recordv1.Claim{Owner: "i0", OwnerIncarnation: 1}},
	}}})
	return o
}

// restart replaces the core by a new one that reads the log.
func (o *singleOwner) restart() {
	opts := DefaultOptions()
	opts.Group, opts.Instance, opts.Incarnation = o.group, "i0", 1
	o.core = New(opts, firstfit.New())
	capacity := spec.Resources{MilliCPU: o.cores * 1000, MemoryMiB: 1000}
	if o.workers == nil {
		o.workers = []WorkerInfo{{Worker: spec.Worker{ID: "w", Capacity: capacity}}}
	}
	o.step(SetWorkers{Workers: o.workers})
	o.step(SetPeers{Peers: o.peers})
	o.step(SetServices{Known: true})
	for i, env := range o.log {
		o.step(RecordRead{Offset: int64(i), Envelope: env})
	}
}

func (o *singleOwner) appendRecord(env *recordv1.Envelope) {
	o.log = append(o.log, env)
	env.Instance, env.Incarnation, env.Sequence = "i0", 1, uint64(len(o.log))
	o.step(RecordRead{Offset: int64(len(o.log) - 1), Envelope: env, Fresh: true})
}

func (o *singleOwner) step(e Event) {
	for _, effect := range append([]Effect(nil), o.core.Step(o.now, e)...) {
		switch e := effect.(type) {
		case Write:
			o.appendRecord(e.Envelope)
		case Reply:
			o.replies[e.Request] = e
		case Send:
			o.sends = append(o.sends, e)
		case HandOff:
			o.handOffs = append(o.handOffs, e)
		case SendForgetMovedJob:
			o.forgetRequests = append(o.forgetRequests, e)
		}
	}
}

// advance advances the time by d while the core holds the ownership lease.
func (o *singleOwner) advance(d time.Duration) {
	for end := o.now + d; o.now < end; o.now += 500 * time.Millisecond {
		o.step(OwnershipLeaseChanged{Epoch: 1, Until: o.now + time.Second})
		o.step(Tick{})
	}
}

func (o *singleOwner) countRecords(match func(*recordv1.GroupRecord) bool) int {
	n := 0
	for _, env := range o.log {
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

// Guards against the acceptance of a job that no worker can run.
func TestNeverRunnableNamesTheDimension(t *testing.T) {
	c := qt.New(t)
	owner := newSingleOwner("rack1", 4, Peer{Group: "rack2", Largest: spec.Resources{MilliCPU: 32000}})
	owner.advance(time.Second)
	owner.step(Submit{Request: 1, Job: smallJob("huge", 1, 40)})
	c.Assert(owner.replies[1].Code, qt.Equals, code.NeverRunnable)
	c.Assert(owner.replies[1].Response.GetDetail(), qt.Contains, "milli_cpu")
}

// Guards against a job that is open in both groups or in none, when requests and
// responses of a hand-off are lost, duplicated or late and either owner restarts.
func TestHandOffIsRecordedOnce(t *testing.T) {
	id := spec.JobID{Team: "desk", Name: "large"}
	rapid.Check(t, func(t *rapid.T) {
		source := newSingleOwner("rack1", 4, Peer{Group: "rack2", Largest: spec.Resources{MilliCPU: 32000}})
		target := newSingleOwner("rack2", 32)
		source.advance(time.Second)
		target.advance(time.Second)
		source.step(Submit{Request: 2, Job: smallJob("large", 2, 16)})
		deliver := func(last HandOff) bool {
			target.replies = make(map[Request]Reply)
			target.step(ReceiveJob{Request: 9, Job: last.Job})
			return target.replies[9].Code == code.OK
		}
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			offer := max(len(source.handOffs)-1, 0)
			switch rapid.SampledFrom([]string{"offer", "answer", "source", "target", "time"}).Draw(t, "step") {
			case "offer":
				if len(source.handOffs) > 0 {
					deliver(source.handOffs[rapid.IntRange(0, offer).Draw(t, "offer")])
				}
			case "answer":
				if len(source.handOffs) > 0 && deliver(source.handOffs[offer]) {
					source.step(HandOffAnswered{Job: id, Hop: 1, Recorded: true})
				}
			case "source":
				source.restart()
			case "target":
				target.restart()
			case "time":
				source.advance(2 * time.Second)
				target.advance(2 * time.Second)
			}
		}
		source.advance(3 * time.Second)
		target.advance(time.Second)
		if !deliver(source.handOffs[len(source.handOffs)-1]) {
			t.Fatalf("the target refuses the job")
		}
		if n := target.countRecords(func(r *recordv1.GroupRecord) bool { return r.GetJobReceived() != nil }); n != 1 {
			t.Fatalf("received %d times", n)
		}
		if source.core.state().jobs[id].open() || !target.core.state().jobs[id].open() {
			t.Fatalf("the job is open in the wrong group")
		}
	})
}

// Guards against a job that moved and ended and is never forgotten in one of the
// groups, and against the new group forgetting it while the hand-off may be
// repeated.
func TestMovedJobIsForgottenInBothGroups(t *testing.T) {
	c := qt.New(t)
	id := spec.JobID{Team: "desk", Name: "large"}
	source := newSingleOwner("rack1", 4, Peer{Group: "rack2", Largest: spec.Resources{MilliCPU: 32000}})
	target := newSingleOwner("rack2", 32)
	source.advance(time.Second)
	target.advance(time.Second)
	source.step(Submit{Request: 1, Job: smallJob("large", 2, 16)})
	source.advance(2 * time.Second)
	target.step(ReceiveJob{Request: 2, Job: source.handOffs[0].Job})
	source.step(HandOffAnswered{Job: id, Hop: 1, Recorded: true})
	target.step(Cancel{Request: 3, Job: id})
	target.advance(62 * time.Minute)
	c.Assert(len(target.forgetRequests) > 0, qt.IsTrue)
	c.Assert(target.core.Status(target.now).Jobs, qt.Equals, 1)
	source.step(ForgetMovedJob{Request: 4, Job: id, Hop: target.forgetRequests[0].Hop})
	c.Assert(source.replies[4].Code, qt.Equals, code.OwnerUnknown)
	source.advance(2 * time.Second)
	source.step(ForgetMovedJob{Request: 5, Job: id, Hop: target.forgetRequests[0].Hop})
	c.Assert(source.replies[5].Code, qt.Equals, code.OK)
	target.step(MovedJobForgotten{Job: id, Hop: 1})
	target.advance(2 * time.Second)
	c.Assert(source.core.Status(source.now).Jobs+target.core.Status(target.now).Jobs, qt.Equals, 0)
}

// Guards against cancellations whose number of records grows with the tasks.
func TestCancelWritesOneRecordForAnyNumberOfTasks(t *testing.T) {
	c := qt.New(t)
	owner := newSingleOwner("rack1", 4)
	owner.advance(time.Second)
	owner.step(Submit{Request: 1, Job: smallJob("wide", 5000, 1)})
	before := len(owner.log)
	owner.step(Cancel{Request: 2, Job: spec.JobID{Team: "desk", Name: "wide"}})
	c.Assert(owner.replies[2].Code, qt.Equals, code.OK)
	owner.advance(20 * time.Second)
	c.Assert(len(owner.log)-before, qt.Equals, 2)
	c.Assert(owner.core.Status(owner.now).Waiting, qt.Equals, 0)
}

// Guards against a reader that joins late and restores a snapshot although it has
// missed records after the snapshot, and against parts larger than MaxPartBytes.
func TestReaderWaitsForSnapshotThatReachesItsFirstRecord(t *testing.T) {
	c := qt.New(t)
	var b logBuilder
	b.claim("i0", 0)
	for n := range 2000 {
		b.job(n)
	}
	replayed := newState(Options{})
	for i, env := range b.envelopes {
		replayed.apply(int64(i), env)
	}
	var records []*recordv1.Envelope
	for _, part := range replayed.snapshot(DefaultOptions().MaxPartBytes) {
		b.add(&recordv1.GroupRecord{Kind: &recordv1.GroupRecord_Snapshot{Snapshot: part}})
		env := b.envelopes[len(b.envelopes)-1]
		c.Assert(proto.Size(env) <= DefaultOptions().MaxPartBytes, qt.IsTrue)
		records = append(records, env)
	}
	c.Assert(len(records) > 1, qt.IsTrue)
	for _, missing := range []int64{0, 1} {
		reader := newFollower(Options{})
		for i, env := range records {
			reader.read(0, RecordRead{Offset: replayed.appliedOffset + 1 + missing + int64(i), Envelope: env})
		}
		c.Assert(reader.complete, qt.Equals, missing == 0)
	}
}

// Guards against a new owner that stops a running task because its instance list
// is older than the task's worker. If the list shows the worker as leaving, the
// task must be stopped.
func TestUnlistedWorkerKeepsItsTasks(t *testing.T) {
	c := qt.New(t)
	owner := newSingleOwner("rack1", 4)
	owner.advance(time.Second)
	owner.step(Submit{Request: 1, Job: smallJob("j", 1, 1)})
	for range 3 {
		owner.respondToBatches()
		owner.advance(time.Second)
	}
	task := func() *task { return &owner.core.state().jobs[spec.JobID{Team: "desk", Name: "j"}].tasks[0] }
	c.Assert(task().state, qt.Equals, taskRunning)
	stops := func() int {
		return owner.countRecords(func(r *recordv1.GroupRecord) bool { return r.GetTaskStopping() != nil })
	}
	listed := owner.workers
	owner.workers = []WorkerInfo{{Worker: spec.Worker{ID: "other", Capacity: listed[0].Worker.Capacity}}}
	owner.restart()
	owner.advance(5 * time.Second)
	c.Assert(task().state, qt.Equals, taskRunning)
	c.Assert(stops(), qt.Equals, 0)

	leaving := listed[0]
	leaving.Leaving = true
	owner.step(SetWorkers{Workers: append(owner.workers, leaving)})
	owner.advance(5 * time.Second)
	c.Assert(stops(), qt.Equals, 1)
}
