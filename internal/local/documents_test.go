package local_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"redwingvale/internal/code"
	"redwingvale/internal/loadgen"
	"redwingvale/internal/local"
	"redwingvale/internal/platform"

	operatorv1 "redwingvale/internal/gen/redwingvale/operator/v1"
	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

const archiveDocument = `team = "desk"
service = "archive"
region = "mu-north"
data_centres = ["kuma-b"]
[quota]
slots = 12
[[long_running]]
kind = "sweep"
milli_cpu = 100
slots = 1
`

// Guards against tasks outside the data centres of their document, jobs of
// undeclared kinds, and an explanation of a worker that differs between
// instances.
func TestDocumentRestrictsDataCentres(t *testing.T) {
	t.Parallel()
	c, cluster, ctx := startCluster(t)
	c.Assert(cluster.Apply(ctx, []byte(archiveDocument), "tester"), qt.IsNil)
	undeclared := &recordv1.JobSpec{
		Id: &recordv1.JobRef{Team: "desk", Name: "x"}, Service: "archive", Class: 2, Kind: "ghost", Tasks: 1,
	}
	first := cluster.Instances()[0].Sched
	response, err := first.SubmitJob(ctx, connect.NewRequest(&schedv1.SubmitJobRequest{Job: undeclared}))
	c.Assert(err, qt.IsNil)
	c.Assert(code.Code(response.Msg.GetCode()), qt.Equals, code.BadRequest, qt.Commentf("%s", response.Msg.GetDetail()))
	batch := loadgen.NewBatch("desk", cluster.ReadyEntries, cluster.Platform.Checker)
	c.Assert(batch.Submit(ctx, "sweep", loadgen.Job{Service: "archive", Class: "long_running", Kind: "sweep", Tasks: 12}), qt.IsNil)
	c.Assert(batch.Await(ctx), qt.Equals, 0)
	job, err := first.Explain(ctx, &operatorv1.ExplainRequest{Team: "desk", Job: "sweep"})
	c.Assert(err, qt.IsNil)
	c.Assert(job.GetItems(), qt.HasLen, 12)
	for _, instance := range cluster.Instances() {
		checkWorkers(ctx, c, instance, job.GetItems())
	}
}

// checkWorkers checks one instance's explanation of the worker of each task.
func checkWorkers(ctx context.Context, c *qt.C, instance *local.Instance, tasks []*operatorv1.Explanation) {
	for _, task := range tasks {
		worker, err := instance.Sched.Explain(ctx, &operatorv1.ExplainRequest{Worker: task.GetWorker()})
		c.Assert(err, qt.IsNil)
		c.Assert(strings.HasPrefix(worker.GetGroup(), "kuma-b"), qt.IsTrue, qt.Commentf("%s", worker.GetGroup()))
		c.Assert(worker.GetDetail(), qt.Contains, "reserved milli_cpu=")
		found := false
		for _, item := range worker.GetItems() {
			// The names of a job's parts start with the job's name.
			found = found || strings.HasPrefix(item.GetSubject(), "desk/sweep")
		}
		c.Assert(found, qt.IsTrue, qt.Commentf("%s", worker))
	}
}

// Guards against reporting success for the removal of an unknown incarnation,
// and against a drain whose record does not name the operator.
func TestOperatorMemberChanges(t *testing.T) {
	t.Parallel()
	c, cluster, ctx := startCluster(t)
	instance := cluster.Instances()[0]
	for _, request := range []*operatorv1.RemoveMemberRequest{
		{Instance: "e2", Incarnation: 1 << 60, Actor: "ann", Reason: "dead", Forced: true},
		{Instance: "e9", Incarnation: 1, Actor: "ann", Reason: "dead", Forced: true},
	} {
		_, err := instance.Sched.RemoveMember(ctx, request)
		c.Assert(code.Lookup(code.Of(err)).Outcome, qt.Equals, code.NotRun, qt.Commentf("%v", err))
	}
	_, err := instance.Sched.Drain(ctx, "ann", "new kernel")
	c.Assert(err, qt.IsNil)
	c.Assert(instance.Drain(ctx), qt.IsNil)
	result, err := cluster.Platform.Log.For("test").Read(ctx, platform.MembersStream, 0, 1000, time.Millisecond)
	c.Assert(err, qt.IsNil)
	last := &recordv1.Envelope{}
	for _, record := range result.Records {
		envelope := &recordv1.Envelope{}
		c.Assert(proto.Unmarshal(record.Data, envelope), qt.IsNil)
		if envelope.GetMembers().GetLeave() != nil {
			last = envelope
		}
	}
	c.Assert(last.GetActor(), qt.Equals, "ann")
	c.Assert(last.GetWhy(), qt.Contains, "new kernel")
}
