package group

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"redwingvale/internal/code"
	"redwingvale/internal/platform"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// configureService sets the data centres and the ceiling of the service "s" of
// the team "desk".
func (o *singleOwner) configureService(ceiling spec.Resources, names ...string) {
	o.step(SetServices{Services: []policy.Service{
		{Team: "desk", ID: "s", Ceiling: ceiling, DataCentres: policy.NewDataCentres(names)},
	}, Known: true})
}

func serviceJob(name string, cores int64) *recordv1.JobSpec {
	job := smallJob(name, 1, cores)
	job.Service = "s"
	return job
}

// Guards against a resubmission that conflicts with the recorded job, is
// refused, or changes that job because the document has changed in the meantime.
func TestResubmissionMatchesAfterDocumentChange(t *testing.T) {
	c := qt.New(t)
	owner := newSingleOwner("rack1", 8)
	owner.advance(time.Second)
	sent := smallJob("j", 1, 0)
	owner.step(Submit{Request: 1, Job: sent, Filled: smallJob("j", 1, 2)})
	owner.step(Submit{Request: 2, Job: sent, Filled: smallJob("j", 1, 4)})
	owner.step(Submit{Request: 3, Job: sent, Refusal: code.New(code.BadRequest, "the kind is gone")})
	for request := Request(1); request <= 3; request++ {
		c.Assert(owner.replies[request].Code, qt.Equals, code.OK)
		c.Assert(owner.replies[request].Response.GetJob().GetPerTask().GetMilliCpu(), qt.Equals, int64(2000))
	}
	other := proto.CloneOf(sent)
	other.Payload = []byte("x")
	owner.step(Submit{Request: 4, Job: other, Filled: smallJob("j", 1, 2)})
	c.Assert(owner.replies[4].Code, qt.Equals, code.JobConflict)
	owner.step(Submit{Request: 5, Job: smallJob("new", 1, 0), Refusal: code.New(code.BadRequest, "the kind is gone")})
	c.Assert(owner.replies[5].Code, qt.Equals, code.BadRequest)
}

// Guards against a job that stays in a group outside its data centres or is
// handed off to one, and against the acceptance of a job that no group may run.
func TestHandOffFollowsTheDataCentres(t *testing.T) {
	c := qt.New(t)
	large := spec.Resources{MilliCPU: 32000, MemoryMiB: 1000}
	owner := newSingleOwner("rack1", 8, Peer{Group: "rack2", Largest: large, DataCentre: "dc2"},
		Peer{Group: "rack3", Largest: large, DataCentre: "dc3"}, Peer{Group: "rack4", Largest: large, DataCentre: "dc4"})
	owner.step(SetWorkers{Workers: []WorkerInfo{{Worker: spec.Worker{ID: "w", DataCentre: "dc1", Capacity: large}}}})
	owner.configureService(spec.Resources{}, "dc4", "dc3")
	owner.advance(time.Second)
	owner.step(Submit{Request: 1, Job: serviceJob("j", 1)})
	c.Assert(owner.replies[1].Code, qt.Equals, code.OK)
	owner.advance(3 * time.Second)
	c.Assert(len(owner.handOffs) > 0, qt.IsTrue)
	c.Assert(owner.handOffs[0].Group, qt.Equals, spec.GroupID("rack4"))
	owner.configureService(spec.Resources{})
	owner.step(Submit{Request: 2, Job: serviceJob("k", 1)})
	owner.configureService(spec.Resources{}, "dc9")
	owner.advance(3 * time.Second)
	for _, offer := range owner.handOffs {
		c.Assert(offer.Job.GetJob().GetId().GetName(), qt.Equals, "j")
	}
	owner.step(Submit{Request: 3, Job: serviceJob("m", 1)})
	c.Assert(owner.replies[3].Code, qt.Equals, code.NeverRunnable)
	c.Assert(owner.replies[3].Response.GetDetail(), qt.Contains, "datacentre")
}

// Guards against accepted jobs whose problem is not reported: the quota is lowered
// below one task, the decider reports a task as overdue, or the outcome of a task
// is unknown.
func TestJobProblems(t *testing.T) {
	c := qt.New(t)
	owner := newSingleOwner("rack1", 8)
	owner.advance(time.Second)
	job := serviceJob("j", 4)
	job.Kind = "night"
	owner.step(Submit{Request: 1, Job: job})
	owner.advance(5 * time.Second)
	c.Assert(owner.core.JobProblems(), qt.HasLen, 0)
	want := JobProblem{Job: spec.JobID{Team: "desk", Name: "j"}, Service: "s", Kind: "night"}
	owner.configureService(spec.Resources{MilliCPU: 1000})
	want.NeverRunnable = "milli_cpu"
	c.Assert(owner.core.JobProblems(), qt.DeepEquals, []JobProblem{want})
	owner.core.owner.overdue = map[spec.TaskID]bool{{Job: want.Job}: true}
	want.WillMissDeadline = true
	c.Assert(owner.core.JobProblems(), qt.DeepEquals, []JobProblem{want})
	task := &owner.core.state().jobs[want.Job].tasks[0]
	task.finish(code.JobOutcomeUnknown)
	c.Assert(owner.core.JobProblems()[0].UnknownOutcome, qt.IsTrue)
}

// respondToBatches responds to the batches in flight. Started tasks keep running.
func (o *singleOwner) respondToBatches() {
	sends := o.sends
	o.sends = nil
	for _, e := range sends {
		for _, command := range e.Batch.Commands {
			if command.Kind == platform.CommandStart {
				started := platform.TaskReport{Task: command.Task, Attempt: command.Attempt, State: platform.TaskRunning}
				o.runningTasks = append(o.runningTasks, started)
			}
		}
		report := &platform.WorkerReport{Worker: e.Worker.ID, Boot: "b", Epoch: e.Batch.Epoch, Clock: o.now, Tasks: o.runningTasks}
		o.step(OwnershipLeaseChanged{Epoch: 1, Until: o.now + time.Second})
		o.step(WorkerAnswered{Serial: e.Serial, Report: report, SentAt: o.now, ReceivedAt: o.now})
	}
}

// Guards against an owner that places or hands off jobs before it has read the
// service's document: a task could start beyond its quota or outside its data
// centres, or a job could be handed off to a group outside of them.
func TestNothingIsPlacedBeforeTheServicesAreKnown(t *testing.T) {
	c := qt.New(t)
	large := spec.Resources{MilliCPU: 32000, MemoryMiB: 1000}
	owner := newSingleOwner("rack1", 8, Peer{Group: "rack2", Largest: large, DataCentre: "dc2"})
	owner.step(SetServices{})
	owner.advance(time.Second)
	owner.step(Submit{Request: 1, Job: serviceJob("small", 1)})
	owner.step(Submit{Request: 2, Job: serviceJob("large", 16)})
	c.Assert(owner.replies[1].Code, qt.Equals, code.OK)
	c.Assert(owner.replies[2].Code, qt.Equals, code.OK)
	intents := func() int {
		return owner.countRecords(func(r *recordv1.GroupRecord) bool { return r.GetTaskIntent() != nil })
	}
	// Ten seconds with a worker that responds.
	for range 10 {
		owner.respondToBatches()
		owner.advance(time.Second)
	}
	c.Assert(intents(), qt.Equals, 0)
	c.Assert(owner.handOffs, qt.HasLen, 0)
	owner.configureService(spec.Resources{})
	owner.respondToBatches()
	owner.advance(2 * time.Second)
	c.Assert(intents(), qt.Equals, 1)
	c.Assert(len(owner.handOffs) > 0, qt.IsTrue)
}
