package sched

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
	"redwingvale/internal/document"
	"redwingvale/internal/record"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

const documentTOML = `team = "desk"
service = "drafts"
region = "mu-north"
data_centres = ["a"]
never_lose = ["revision"]
[quota]
milli_cpu = 4000
[[deadline]]
kind = "revision"
milli_cpu = 1000
slots = 2
run_time_s = 60
restart = "from_start"
posting_deadline = "06:00"
[[long_running]]
kind = "watcher"
milli_cpu = 500
`

func parsedDocument(c *qt.C) *document.Document {
	doc, problems := document.Parse([]byte(documentTOML))
	c.Assert(problems, qt.HasLen, 0)
	return doc
}

func sentJob(class spec.Class, kind string) *recordv1.JobSpec {
	return &recordv1.JobSpec{
		Id:      &recordv1.JobRef{Team: "desk", Name: "j"},
		Service: "drafts", Class: uint32(class), Kind: kind, Tasks: 1,
	}
}

// Guards against a job whose absent fields do not get the document's values, or
// whose own values the document overwrites.
func TestJobIsFilledInFromItsDocument(t *testing.T) {
	c := qt.New(t)
	doc := parsedDocument(c)
	now := time.Date(2026, 3, 1, 7, 0, 0, 0, time.UTC)
	job, err := applyDocumentDefaults(doc, sentJob(spec.Deadline, "revision"), now.UnixMilli())
	c.Assert(err, qt.IsNil)
	c.Assert(record.ToResources(job.GetPerTask()), qt.Equals, spec.Resources{MilliCPU: 1000, Slots: 2})
	c.Assert(job.GetRunTimeMs(), qt.Equals, int64(60_000))
	c.Assert(job.GetRestartFromStart(), qt.IsTrue)
	c.Assert(job.GetDeadlineUnixMs(), qt.Equals, now.Add(23*time.Hour).UnixMilli())

	given := sentJob(spec.Deadline, "revision")
	given.PerTask = &recordv1.Resources{MilliCpu: 4000}
	given.RunTimeMs, given.DeadlineUnixMs, given.Restart = 5000, now.Add(time.Hour).UnixMilli(), "never"
	kept, err := applyDocumentDefaults(doc, given, now.UnixMilli())
	c.Assert(err, qt.IsNil)
	c.Assert(kept.String(), qt.Equals, given.String())

	part := fillFrom(job, sentJob(spec.Deadline, "revision"))
	c.Assert(part.String(), qt.Equals, job.String())
}

// Guards against accepting jobs of undeclared kinds, or with tasks that exceed
// the team's quota.
func TestJobsOutsideTheDocumentAreRefused(t *testing.T) {
	c := qt.New(t)
	doc := parsedDocument(c)
	huge := sentJob(spec.LongRunning, "watcher")
	huge.PerTask = &recordv1.Resources{MilliCpu: 4001}
	for _, test := range []struct {
		job  *recordv1.JobSpec
		want code.Code
	}{
		{sentJob(spec.Deadline, ""), code.BadRequest},
		{sentJob(spec.Deadline, "watcher"), code.BadRequest},
		{sentJob(spec.LongRunning, "revision"), code.BadRequest},
		{huge, code.NeverRunnable},
	} {
		_, err := applyDocumentDefaults(doc, test.job, 0)
		c.Check(code.Of(err), qt.Equals, test.want)
		c.Check(code.Lookup(code.Of(err)).Outcome, qt.Equals, code.NotRun)
	}
	_, err := applyDocumentDefaults(doc, sentJob(spec.Deadline, "ghost"), 0)
	c.Assert(detailOf(err), qt.Equals, "kind ghost is not declared by the document of desk/drafts")
}
