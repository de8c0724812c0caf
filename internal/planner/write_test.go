package planner

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// platformLimits are the published limits of the platform's store.
var platformLimits = jobs.Limits{Record: 256 << 10, Request: 2 << 20}

func manyWorkers(count int) []WorkerInfo {
	out := make([]WorkerInfo, count)
	for i := range out {
		out[i] = WorkerInfo{
			ID: WorkerID(fmt.Sprintf("worker-%06d", i)), Address: fmt.Sprintf("10.1.%d.%d:8547", i/250, i%250), Service: "s",
			DataCentre: "dc-1", Capacity: Resources{CPUMilli: 32_000, MemoryMB: 128_000}, Labels: []string{"kind-a", fmt.Sprintf("rack-%d", i/8)}, StartedMS: 1,
		}
	}
	return out
}

// confirmAllWrites confirms all writes until nothing is left to record and
// returns them. It fails the test if one exceeds the limits.
func (h *harness) confirmAllWrites(t *testing.T, effects []Effect) []Write {
	t.Helper()
	var out []Write
	for idle := 0; idle < 3; {
		write, ok := findEffect[Write](effects)
		if !ok {
			idle++
			h.now += writeGapMS
			effects = slices.Clone(h.step(Tick{}))
			continue
		}
		idle = 0
		size := 0
		for _, r := range write.Records {
			size += r.EncodedBytes()
			if !h.core.config.Log.Allows(r) {
				t.Fatalf("record %s of %d bytes", r.Key, r.ContentBytes())
			}
			if _, err := h.core.stateMachine.Apply(r); err != nil {
				t.Fatal(err)
			}
		}
		if size > h.core.config.Log.Request || len(write.Records) > maxRecordsPerWrite {
			t.Fatalf("write of %d records, %d bytes", len(write.Records), size)
		}
		out = append(out, write)
		effects = slices.Clone(h.step(WriteDone{Seq: write.Seq}))
	}
	return out
}

func newLimitedHarness() *harness {
	h := newHarness(safeguards{})
	h.core.config.Log = platformLimits
	return h
}

// TestWorkersAreRecordedOneByOne guards against a single record of all workers:
// it outgrows the log's limit, and a change of one worker writes all of them
// again.
func TestWorkersAreRecordedOneByOne(t *testing.T) {
	c := qt.New(t)
	h := newLimitedHarness()
	infos := manyWorkers(3000)
	h.confirmAllWrites(t, slices.Clone(h.step(WorkersChanged{Workers: infos})))
	c.Assert(h.core.stateMachine.Workers, qt.HasLen, 3000)

	infos[17].Address = "10.9.9.9:8547"
	writes := h.confirmAllWrites(t, slices.Clone(h.step(WorkersChanged{Workers: infos})))
	c.Assert(writes, qt.HasLen, 1)
	c.Assert(writes[0].Records, qt.HasLen, 1)

	next := New(h.core.config, h.core.stateMachine, 2, h.time())
	c.Assert(next.sortedWorkers, qt.HasLen, 0, qt.Commentf("a first term inherits nothing"))
	config := h.core.config
	config.FirstTerm = false
	next = New(config, h.core.stateMachine, 2, h.time())
	c.Assert(next.sortedWorkers, qt.HasLen, 3000)
	c.Assert(next.workers[infos[17].ID].info.Address, qt.Equals, "10.9.9.9:8547")

	h.now += 10 * unresponsiveMS
	h.confirmAllWrites(t, slices.Clone(h.step(WorkersChanged{Workers: infos[:2990]})))
	c.Assert(h.core.stateMachine.Workers, qt.HasLen, 2990)
}

// TestWorkersOfEarlierReleaseAreInherited guards the upgrade from a release
// that recorded all workers in one record.
func TestWorkersOfEarlierReleaseAreInherited(t *testing.T) {
	c := qt.New(t)
	stateMachine := jobs.NewStateMachine()
	_, err := stateMachine.Apply(jobs.Record{Key: "workers", Value: []byte(`[{"i":"a","a":"1:1","s":"s","c":{}},{"i":"b","a":"1:2","s":"s","c":{}}]`)})
	c.Assert(err, qt.IsNil)
	h := newLimitedHarness()
	config := h.core.config
	config.FirstTerm = false
	h.core = New(config, stateMachine, 2, h.time())
	c.Assert(h.core.sortedWorkers, qt.HasLen, 2)
	h.confirmAllWrites(t, slices.Clone(h.step(Tick{})))
	c.Assert(stateMachine.Workers, qt.HasLen, 2)
	c.Assert(stateMachine.LegacyWorkers, qt.HasLen, 0)
}

// TestSubmissionsAreSplitIntoWrites guards against submissions that together
// exceed the limits of an append: the log would reject all of them.
func TestSubmissionsAreSplitIntoWrites(t *testing.T) {
	c := qt.New(t)
	h := newLimitedHarness()
	for i := range 1000 {
		encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "q", Payload: strings.Repeat("\x01", jobs.MaxPayloadBytes), Steps: []jobs.Step{{Count: 1}}})
		c.Assert(err, qt.IsNil)
		h.step(SubmitRequested{RequestID: uint64(i), ID: jobs.ID(fmt.Sprintf("job-%d", i)), Encoded: encoded})
	}
	h.now += writeGapMS
	effects := append([]Effect{Write{Seq: h.core.journal.seq, Records: h.core.journal.inFlight}}, h.step(Tick{})...)
	h.confirmAllWrites(t, effects)
	for i := range 1000 {
		c.Assert(h.core.stateMachine.SubmittedEntry(jobs.ID(fmt.Sprintf("job-%d", i))), qt.IsNotNil)
	}
}

// TestRejectedWriteIsSplit guards against a rejected record that delays the
// replies, progress and acknowledgements of all other jobs.
func TestRejectedWriteIsSplit(t *testing.T) {
	c := qt.New(t)
	h := newLimitedHarness()
	h.join(testWorker)
	h.now += writeGapMS
	h.step(Tick{})
	encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "q", Steps: []jobs.Step{{Count: 1}}})
	c.Assert(err, qt.IsNil)
	replies := map[uint64]Reply{}
	dropped := 0
	var follow func(effects []Effect)
	follow = func(effects []Effect) {
		for _, e := range slices.Clone(effects) {
			switch e := e.(type) {
			case Reply:
				replies[e.RequestID] = e
			case NotRecorded:
				dropped++
			case Write:
				rejected := slices.ContainsFunc(e.Records, func(r jobs.Record) bool { return jobs.SubmissionID(r) == "job-3" || jobs.SubmissionID(r) == "job-6" })
				if rejected {
					follow(h.step(WriteRejected{Seq: e.Seq}))
					continue
				}
				for _, r := range e.Records {
					_, err := h.core.stateMachine.Apply(r)
					c.Assert(err, qt.IsNil)
				}
				follow(h.step(WriteDone{Seq: e.Seq}))
			}
		}
	}
	first := slices.Clone(h.step(SubmitRequested{RequestID: 0, ID: "job-0", Encoded: encoded}))
	for i := 1; i < 10; i++ {
		h.step(SubmitRequested{RequestID: uint64(i), ID: jobs.ID(fmt.Sprintf("job-%d", i)), Encoded: encoded})
	}
	follow(first)
	for range 10 {
		h.now += writeGapMS
		follow(h.step(Tick{}))
	}
	c.Assert(replies, qt.HasLen, 10)
	for i := range uint64(10) {
		rejected := i == 3 || i == 6
		c.Check(replies[i].Rejected, qt.Equals, rejected, qt.Commentf("job-%d", i))
		c.Check(replies[i].Accepted, qt.Equals, !rejected, qt.Commentf("job-%d", i))
	}
	c.Assert(dropped, qt.Equals, 2)
	for _, id := range []jobs.ID{"job-3", "job-6"} {
		c.Check(h.core.jobs[id], qt.IsNil)
		c.Check(h.core.stateMachine.SubmittedEntry(id), qt.IsNil)
	}
}

// TestLargeProgressIsShortened guards against a progress record that exceeds
// the limit: it is recorded without its checkpoints, and a job whose failures
// do not fit ends instead of waiting.
func TestLargeProgressIsShortened(t *testing.T) {
	c := qt.New(t)
	h := newLimitedHarness()
	h.core.config.Log.Record = 16 << 10
	effects := slices.Clone(h.submit(t, "job", jobs.Step{Count: 2000, Checkpointing: true}))
	h.confirmAllWrites(t, effects)
	j := h.core.jobs["job"]
	for i := range 1000 {
		j.progress.SetCheckpoint(jobs.Task{Job: "job", Index: i}, "0123456789abcdef")
	}
	h.core.markDirty(j)
	h.confirmAllWrites(t, slices.Clone(h.step(Tick{})))
	c.Assert(j.dirty, qt.IsFalse)
	c.Assert(j.state.Final(), qt.IsFalse)
	for i := range 2000 {
		j.progress.AddFailure(jobs.Task{Job: "job", Index: i}, 1_000_001)
	}
	h.core.markDirty(j)
	h.confirmAllWrites(t, slices.Clone(h.step(Tick{})))
	state, ok := h.core.State("job")
	c.Assert(ok, qt.IsTrue)
	c.Assert(state, qt.Equals, jobs.Failed)
}

// TestOversizeSubmissionIsRefused guards against a job of unbounded size: the
// planner would keep all of its tasks in memory.
func TestOversizeSubmissionIsRefused(t *testing.T) {
	c := qt.New(t)
	h := newLimitedHarness()
	encoded, err := jobs.EncodeJob(&jobs.Job{Queue: "q", Repeat: 1 << 30, Steps: []jobs.Step{{Count: 1000}}})
	c.Assert(err, qt.IsNil)
	reply, ok := findEffect[Reply](h.step(SubmitRequested{RequestID: 1, ID: "job", Encoded: encoded}))
	c.Assert(ok, qt.IsTrue)
	c.Assert(reply, qt.Equals, Reply{RequestID: 1, TooLarge: true})
	c.Assert(h.core.jobs, qt.HasLen, 0)
}
