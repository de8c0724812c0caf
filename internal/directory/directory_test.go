package directory

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

const deskDocument = `team = "desk"
service = "drafts"
region = "mu-north"
data_centres = ["a"]
never_lose = ["revision"]
[quota]
milli_cpu = 4000
slots = 2
[[deadline]]
kind = "revision"
milli_cpu = 1000
slots = 2
run_time_s = 60
restart = "from_start"
posting_deadline = "06:00"
`

func deskRevision(revision uint64) *recordv1.ServiceRevision {
	return &recordv1.ServiceRevision{Team: "desk", Service: "drafts", Revision: revision, Document: []byte(deskDocument)}
}

// Guards against reporting a service as unknown (404) because this entry, or the
// rwsched that its view comes from, has not read the configuration yet.
func TestNothingIsReportedUnknownBeforeTheConfigurationIsRead(t *testing.T) {
	c := qt.New(t)
	d := New()
	assertConfigUnread := func() {
		_, err := d.Resolve("desk")
		c.Check(code.Of(err), qt.Equals, code.ConfigUnread)
		_, err = d.Service("desk", "drafts")
		c.Check(code.Of(err), qt.Equals, code.ConfigUnread)
	}
	assertConfigUnread()
	d.Update(&schedv1.GetViewResponse{})
	assertConfigUnread()
	// A partly read configuration may contain a revision that was replaced later.
	d.Update(&schedv1.GetViewResponse{Services: []*recordv1.ServiceRevision{deskRevision(1)}})
	assertConfigUnread()

	d.Update(&schedv1.GetViewResponse{Services: []*recordv1.ServiceRevision{deskRevision(2)}, ServicesKnown: true})
	settings, err := d.Service("desk", "drafts")
	c.Assert(err, qt.IsNil)
	c.Assert(settings.QuotaSlots, qt.Equals, 2)
	_, err = d.Service("desk", "other")
	c.Assert(code.Of(err), qt.Equals, code.UnknownService)
	_, err = d.Resolve("rival")
	c.Assert(code.Of(err), qt.Equals, code.UnknownTeam)

	// A view from an rwsched that has just started removes nothing.
	d.Update(&schedv1.GetViewResponse{})
	_, err = d.Service("desk", "drafts")
	c.Assert(err, qt.IsNil)
}
