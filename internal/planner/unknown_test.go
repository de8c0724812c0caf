package planner

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

var testQueue = Queue{Name: "q", Service: "s", MaxAttempts: 4, Stretch: 2, TargetLatencyMS: 1000}

// successor is the leader of the next term on the same log, before it has read
// the configuration.
func (d *direct) successor() *direct {
	config := d.core.config
	config.FirstTerm, config.PriorLeaseMS = false, config.LeaseMS
	next := &direct{now: d.now + 1000}
	next.core = New(config, d.core.book, d.core.epoch+1, next.time())
	next.confirm(next.step(WorkersChanged{Workers: []WorkerInfo{testWorker}}))
	return next
}

// Guards against jobs shown as failed after one failed run: a leader that has
// not read the configuration yet does not know how many attempts a queue has.
func TestFailureBeforeConfigurationEndsNoJob(t *testing.T) {
	c := qt.New(t)
	first := newDirect(safeguards{})
	first.step(QueuesChanged{Queues: []Queue{testQueue}})
	first.join(testWorker)
	first.confirm(first.submit(t, "j", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	first.confirm(first.wait(200))

	second := first.successor()
	failed := Report{BornMS: 7, ClockMS: 2000, Ended: []EndedTask{{Number: 1, Task: jobs.Task{Job: "j"}, Run: 1, Kind: EndFailed}}}
	second.confirm(second.report(testWorker, failed))
	second.confirm(second.wait(500))
	state, _ := second.core.State("j")
	c.Assert(state, qt.Equals, jobs.Active)

	effects := second.step(QueuesChanged{Queues: []Queue{testQueue}})
	_, started := find[Start](append(effects, second.wait(500)...))
	c.Assert(started, qt.IsTrue)
}

// ackBoundMS is the users' bound for the acknowledgement of an end after a
// disturbance is over.
const ackBoundMS = 4000

// Guards against ends that are not acknowledged within the users' bound: the
// end of a job whose submission never reached the log holds back every later
// end of its worker.
func TestEndOfUnknownJobHoldsBackNoOther(t *testing.T) {
	c := qt.New(t)
	d := newDirect(safeguards{})
	d.join(testWorker)
	d.confirm(d.submit(t, "known", jobs.Step{Count: 1, CPUMilli: 100, EstimateMS: 900}))
	d.confirm(d.wait(100))
	d.confirm(d.report(testWorker, Report{BornMS: 7, ClockMS: 300, Ended: []EndedTask{
		{Number: 1, Task: jobs.Task{Job: "unknown"}, Run: 1, Kind: EndDone},
		{Number: 2, Task: jobs.Task{Job: "known"}, Run: 1, Kind: EndDone},
	}}))
	begun := d.now
	for d.core.workers["w"].acked < 2 {
		d.confirm(d.wait(20))
		c.Assert(d.now-begun <= ackBoundMS, qt.IsTrue, qt.Commentf("acknowledged up to %d after %d ms", d.core.workers["w"].acked, d.now-begun))
	}
}
