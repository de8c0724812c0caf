package node

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/jobs"
	"redwingvale/internal/planner"
)

// Guards against a leader that takes a run for ended, or for running, because a
// report between its delegate and it was lost, repeated or came in another order:
// the run would be started twice or lost.
func TestReportsAsDifferencesMatchTheWorker(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		base, held := &reportBase{}, &heldReport{}
		report := planner.Report{StartedMS: 1}
		var encoded []*nodev1.WorkerReport
		var ids []uint64
		var sent []planner.Report
		for id := uint64(1); id <= 30; id++ {
			changeReport(rt, &report)
			if rapid.IntRange(0, 19).Draw(rt, "delegate restarts") == 0 {
				base = &reportBase{}
			}
			known := held.id
			if rapid.IntRange(0, 9).Draw(rt, "sent before the last report") == 0 && len(ids) > 0 {
				known = ids[rapid.IntRange(0, len(ids)-1).Draw(rt, "known")]
			}
			encoded = append(encoded, base.encode(id, known, cloneReport(report)))
			ids, sent = append(ids, id), append(sent, cloneReport(report))
			for range rapid.IntRange(0, 2).Draw(rt, "arrivals") {
				i := len(ids) - 1
				if rapid.IntRange(0, 4).Draw(rt, "late") == 0 {
					i = rapid.IntRange(0, i).Draw(rt, "which")
				}
				got, ok := held.decode(ids[i], overTheWire(rt, encoded[i]))
				if !ok {
					continue
				}
				if !sameRows(got.Running, sent[i].Running) {
					rt.Fatalf("report %d: got %v, the worker has %v", ids[i], got.Running, sent[i].Running)
				}
			}
		}
	})
}

// changeReport changes what a worker runs.
func changeReport(rt *rapid.T, r *planner.Report) {
	if rapid.IntRange(0, 29).Draw(rt, "worker restarts") == 0 {
		r.StartedMS++
		r.Running = nil
	}
	for i := range r.Running {
		row := &r.Running[i]
		row.Percent, row.Usage = rapid.IntRange(0, 100).Draw(rt, "percent"), rapid.IntRange(0, 5000).Draw(rt, "usage")
		if rapid.Bool().Draw(rt, "checkpointed") {
			row.Checkpoint = rapid.StringN(0, 4, 8).Draw(rt, "checkpoint")
		}
	}
	r.Running = slices.DeleteFunc(r.Running, func(planner.RunningTask) bool { return rapid.IntRange(0, 4).Draw(rt, "ends") == 0 })
	for range rapid.IntRange(0, 3).Draw(rt, "starts") {
		r.Running = append(r.Running, planner.RunningTask{
			Task: jobs.Task{Job: "j", Index: rapid.IntRange(0, 5).Draw(rt, "index")}, Run: rapid.IntRange(1, 3).Draw(rt, "run"),
		})
	}
	if rapid.Bool().Draw(rt, "other order") {
		slices.Reverse(r.Running)
	}
}

func cloneReport(r planner.Report) planner.Report {
	r.Running = slices.Clone(r.Running)
	return r
}

func overTheWire(t rapid.TB, m *nodev1.WorkerReport) *nodev1.WorkerReport {
	body, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	out := &nodev1.WorkerReport{}
	if err := proto.Unmarshal(body, out); err != nil {
		t.Fatal(err)
	}
	return out
}

// sameRows compares two lists regardless of their order.
func sameRows(a, b []planner.RunningTask) bool {
	order := func(x, y planner.RunningTask) int { return cmp.Compare(fmt.Sprint(x), fmt.Sprint(y)) }
	return slices.Equal(slices.SortedFunc(slices.Values(a), order), slices.SortedFunc(slices.Values(b), order))
}

// Guards against differences that only a broken or newer delegate sends: indexes
// out of range would end the leader.
func TestMalformedDifferenceIsRefused(t *testing.T) {
	rows := []planner.RunningTask{{Task: jobs.Task{Job: "j"}, Run: 1}, {Task: jobs.Task{Job: "j", Index: 1}, Run: 1}}
	for name, m := range map[string]*nodev1.WorkerReport{
		"other base":           {Base: 8, Percent: []uint32{1, 1}, Usage: []int64{1, 1}},
		"few figures":          {Base: 7, Percent: []uint32{1}, Usage: []int64{1, 1}},
		"few usages":           {Base: 7, Percent: []uint32{1, 1}},
		"dropped out of range": {Base: 7, Dropped: []uint32{2}, Percent: []uint32{1}, Usage: []int64{1}},
		"dropped twice":        {Base: 7, Dropped: []uint32{1, 1}},
		"more dropped":         {Base: 7, Dropped: []uint32{0, 1, 2}},
		"checkpoint row":       {Base: 7, Percent: []uint32{1, 1}, Usage: []int64{1, 1}, CheckpointRows: []uint32{2}, Checkpoints: []string{"c"}},
		"checkpoints missing":  {Base: 7, Percent: []uint32{1, 1}, Usage: []int64{1, 1}, CheckpointRows: []uint32{1}},
	} {
		held := &heldReport{id: 7, running: slices.Clone(rows)}
		_, ok := held.decode(9, m)
		qt.Check(t, ok, qt.IsFalse, qt.Commentf("%s", name))
		qt.Check(t, held.id, qt.Equals, uint64(7), qt.Commentf("%s", name))
		qt.Check(t, held.running, qt.DeepEquals, rows, qt.Commentf("%s", name))
	}
}

// Guards against a leader that decodes all rows of each report again, with over a
// hundred allocations for a report of 25 runs.
func TestUnchangedReportCostsFewAllocations(t *testing.T) {
	report := typicalReport()
	base, held := &reportBase{}, &heldReport{}
	if _, ok := held.decode(1, base.encode(1, 0, report)); !ok {
		t.Fatal("the first report is not complete")
	}
	body, err := proto.Marshal(base.encode(2, 1, report))
	qt.Assert(t, err, qt.IsNil)
	allocations := testing.AllocsPerRun(100, func() {
		held.id = 1
		m := &nodev1.WorkerReport{}
		if err := proto.Unmarshal(body, m); err != nil {
			t.Fatal(err)
		}
		if _, ok := held.decode(1, m); !ok {
			t.Fatal("refused")
		}
	})
	// The message and its lists.
	qt.Check(t, allocations <= 8, qt.IsTrue, qt.Commentf("%v", allocations))
}

// typicalReport returns the report of a worker of a large site: 25 runs.
func typicalReport() planner.Report {
	report := planner.Report{StartedMS: 1, ClockMS: 2}
	for i := range 25 {
		report.Running = append(report.Running, planner.RunningTask{
			Task: jobs.Task{Job: jobs.ID(fmt.Sprintf("5c0e7a21d94b%04d", i/5)), Step: 1, Index: i}, Run: 2, Checkpoint: "00000bb87a21d94b", Percent: 41, Usage: 1830,
		})
	}
	return report
}

// BenchmarkReportFromDelegate measures what a report costs the leader before the
// planner gets it, and what its encoding costs the delegate.
func BenchmarkReportFromDelegate(b *testing.B) {
	report := typicalReport()
	for _, known := range []uint64{0, 1} {
		base, held := &reportBase{}, &heldReport{}
		held.decode(1, base.encode(1, 0, report))
		b.Run(fmt.Sprintf("difference=%v/delegate", known > 0), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				base.held.id = 1
				if _, err := proto.Marshal(base.encode(1, known, report)); err != nil {
					b.Fatal(err)
				}
			}
		})
		body, err := proto.Marshal(base.encode(1, known, report))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("difference=%v/leader", known > 0), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(body)), "bytes")
			for b.Loop() {
				m := &nodev1.WorkerReport{}
				if err := proto.Unmarshal(body, m); err != nil {
					b.Fatal(err)
				}
				if _, ok := held.decode(1, m); !ok {
					b.Fatal("refused")
				}
			}
		})
	}
}
