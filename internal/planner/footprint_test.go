package planner

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// heapBytes returns the live heap.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// shapes are jobs whose memory is dominated by different parts.
var shapes = []struct {
	name  string
	count int
	job   jobs.Job
}{
	{"one task", 2000, jobs.Job{Steps: []jobs.Step{{Count: 1, CPUMilli: 500, EstimateMS: 1000}}}},
	{"two steps of eight tasks", 1000, jobs.Job{Steps: []jobs.Step{{Count: 8, CPUMilli: 500, EstimateMS: 1000}, {Count: 8, After: []int{0}}}}},
	{"many steps", 100, jobs.Job{Steps: manySteps(64, jobs.Step{Count: 1, Image: "image", Label: "label"})}},
	{"many tasks", 20, jobs.Job{Steps: []jobs.Step{{Count: 5000, CPUMilli: 500, Checkpointing: true}}}},
	{"large payload", 500, jobs.Job{Payload: strings.Repeat("x", jobs.MaxPayloadBytes), Steps: []jobs.Step{{Count: 1}}}},
	{"long schedule", 500, jobs.Job{Repeat: 8760, StartAtMS: 1 << 40, IntervalMS: 3_600_000, Steps: []jobs.Step{{Count: 8}, {Count: 2, After: []int{0}}}}},
	{"schedule that is due", 300, jobs.Job{Repeat: 1000, StartAtMS: 1, IntervalMS: 3_600_000_000, Steps: []jobs.Step{{Count: 8}, {Count: 2, After: []int{0}}}}},
}

func manySteps(n int, s jobs.Step) []jobs.Step {
	out := make([]jobs.Step, n)
	for i := range out {
		out[i] = s
	}
	return out
}

// submitMany submits jobs of one shape to a leader without workers and records them.
func submitMany(tb testing.TB, h *harness, name string, count int, job jobs.Job) {
	job.Queue = "q"
	for i := range count {
		job.SubmittedMS = h.now
		encoded, err := jobs.EncodeJob(&job)
		if err != nil {
			tb.Fatal(err)
		}
		h.confirmWrites(h.step(SubmitRequested{RequestID: 1, ID: jobs.ID(fmt.Sprintf("%s-%d", name, i)), Encoded: encoded}))
		h.confirmWrites(h.advance(40))
	}
}

// TestLongSchedulesFitSmallInstance guards against leaders that are ended one after
// the other by the memory of schedules that were accepted: 20 hourly schedules of a
// year have to leave room on an instance of 184 MB, also at a change of leader.
func TestLongSchedulesFitSmallInstance(t *testing.T) {
	c := qt.New(t)
	const limit = 184 << 20 / 4
	h := newHarness(safeguards{})
	before := heapBytes()
	submitMany(t, h, "job", 20, jobs.Job{Repeat: 8760, StartAtMS: h.now + 3_600_000, IntervalMS: 3_600_000, Steps: []jobs.Step{{Count: 8}, {Count: 2, After: []int{0}}}})
	used := heapBytes() - before
	c.Check(used < limit, qt.IsTrue, qt.Commentf("%d bytes", used))
	config := h.core.config
	config.FirstTerm = false
	h.core = New(config, h.core.stateMachine, 2, h.time())
	used = heapBytes() - before
	c.Check(used < limit, qt.IsTrue, qt.Commentf("%d bytes at the next leader", used))
	runtime.KeepAlive(h)
}

// TestFootprintCoversMemory guards against instances that accept more work than they
// can hold: the memory that a leader takes for jobs of each shape, while they wait
// and after they have ended, must not exceed what is counted.
func TestFootprintCoversMemory(t *testing.T) {
	for _, shape := range shapes {
		t.Run(shape.name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(safeguards{})
			h.advance(40)
			before := heapBytes()
			submitMany(t, h, "job", shape.count, shape.job)
			used, counted := heapBytes()-before, h.core.JobBytes()
			t.Logf("waiting: %d bytes a job, %d counted", used/int64(shape.count), counted/int64(shape.count))
			c.Check(used <= counted, qt.IsTrue, qt.Commentf("%d bytes used, %d counted", used, counted))
			for _, id := range h.core.jobIDs() {
				h.confirmWrites(h.step(CancelRequested{RequestID: 2, ID: id}))
			}
			for range 100 {
				h.confirmWrites(h.advance(40))
			}
			c.Assert(len(h.core.jobs), qt.Equals, 0)
			// Scratch buffers may still refer to the last job that was placed.
			used, counted = heapBytes()-before, h.core.JobBytes()+shape.job.Footprint()
			t.Logf("ended: %d bytes a job, %d counted", used/int64(shape.count), counted/int64(shape.count))
			c.Check(used <= counted, qt.IsTrue, qt.Commentf("%d bytes used, %d counted", used, counted))
			runtime.KeepAlive(h)
		})
	}
}

// BenchmarkJobMemory reports the memory of a waiting job at a leader and at an
// instance that follows the log.
func BenchmarkJobMemory(b *testing.B) {
	for _, shape := range shapes {
		b.Run(shape.name, func(b *testing.B) {
			var leader, follower int64
			for b.Loop() {
				h := newHarness(safeguards{})
				before := heapBytes()
				submitMany(b, h, "job", shape.count, shape.job)
				leader += heapBytes() - before
				stateMachine := h.core.stateMachine
				h.core = nil
				before = heapBytes()
				runtime.KeepAlive(stateMachine)
				stateMachine = nil
				follower += before - heapBytes()
			}
			perJob := float64(b.N * shape.count)
			b.ReportMetric(float64(leader)/perJob, "leader-B/job")
			b.ReportMetric(float64(follower)/perJob, "follower-B/job")
		})
	}
}
