package jobs

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var yearly = &Job{Queue: "q", Repeat: 8760, StartAtMS: 1, IntervalMS: 3_600_000, Steps: []Step{{Count: 8}, {Count: 2, After: []int{0}}}}

// finish marks all tasks of an occurrence as done.
func finish(p *Progress, job *Job, occurrence int) {
	for step := range job.Steps {
		for i := range job.Steps[step].Count {
			p.SetDone(job, Task{Job: "j", Occurrence: occurrence, Step: step, Index: i})
		}
	}
}

// TestProgressOfLongSchedule guards against a record, and memory, that grow with the
// length of a schedule or with what has ended of it.
func TestProgressOfLongSchedule(t *testing.T) {
	c := qt.New(t)
	p := NewProgress(yearly)
	for occurrence := range 8000 {
		p.AddFailure(Task{Job: "j", Occurrence: occurrence}, 1)
		p.SetCheckpoint(Task{Job: "j", Occurrence: occurrence, Index: 1}, "0123456789abcdef")
		if occurrence != 4000 {
			finish(p, yearly, occurrence)
		}
	}
	p.SetDone(yearly, Task{Job: "j", Occurrence: 8100, Index: 3})
	record, err := ProgressRecord("j", p)
	c.Assert(err, qt.IsNil)
	c.Assert(len(record.Value) < 300, qt.IsTrue, qt.Commentf("%s", record.Value))
	m := NewStateMachine()
	encoded, err := EncodeJob(yearly)
	c.Assert(err, qt.IsNil)
	for _, r := range []Record{SubmissionRecord("j", encoded), record} {
		_, err := m.Apply(r)
		c.Assert(err, qt.IsNil)
	}
	got := m.Jobs["j"].Progress
	c.Assert(got.Ended.Len(), qt.Equals, 7999)
	for occurrence := range yearly.Repeat {
		c.Assert(got.HasEnded(occurrence), qt.Equals, occurrence < 8000 && occurrence != 4000)
	}
	c.Assert(got.IsDone(yearly, Task{Job: "j", Occurrence: 8100, Index: 3}), qt.IsTrue)
	c.Assert(got.IsDone(yearly, Task{Job: "j", Occurrence: 8100, Index: 2}), qt.IsFalse)
	c.Assert(got.FailuresOf(Task{Job: "j", Occurrence: 4000}), qt.Equals, 1)
	c.Assert(got.Failures, qt.HasLen, 1)
}

// TestProgressOfEarlierRelease guards against occurrences that run again after an
// upgrade: earlier releases recorded a row for each step of a schedule.
func TestProgressOfEarlierRelease(t *testing.T) {
	c := qt.New(t)
	former := &Progress{State: Active}
	for occurrence := range yearly.Repeat {
		rows := [][]byte{{0}, {0}}
		if occurrence < 10 {
			rows = [][]byte{{0xff}, {0x03}}
		}
		former.Done = append(former.Done, rows...)
	}
	former.Done[2*20][0] = 0x05
	value, err := json.Marshal(former)
	c.Assert(err, qt.IsNil)
	encoded, err := EncodeJob(yearly)
	c.Assert(err, qt.IsNil)
	submission, progress := SubmissionRecord("j", encoded), Record{Key: "p/j", Value: value}
	for _, order := range [][]Record{{submission, progress}, {progress, submission}} {
		m := NewStateMachine()
		for _, r := range order {
			_, err := m.Apply(r)
			c.Assert(err, qt.IsNil)
		}
		got := m.Jobs["j"].Progress
		c.Check(got.Done, qt.HasLen, 0)
		c.Check(got.Ended, qt.DeepEquals, Ranges{{0, 9}})
		c.Check(got.Partial, qt.DeepEquals, map[int][][]byte{20: {{0x05}, {0}}})
	}
}

// TestOddProgressFitsSchedule guards against a leader that ends because of a record
// of progress that belongs to another submission, or is not one of this program's.
func TestOddProgressFitsSchedule(t *testing.T) {
	c := qt.New(t)
	for _, value := range []string{
		`{"s":"active","x":[[5,3],[-4,1],[8000,99999],[1,2]],"o":{"-1":[],"3":[],"7":["/w==","Aw=="],"9":["/////w=="],"99999":[]}}`,
		`{"s":"active","d":["/w=="],"x":[[0,8759]]}`,
	} {
		p := &Progress{}
		c.Assert(json.Unmarshal([]byte(value), p), qt.IsNil)
		p.Fit(yearly)
		for occurrence := range yearly.Repeat {
			finish(p, yearly, occurrence)
		}
		c.Assert(p.Ended, qt.DeepEquals, Ranges{{0, 8759}})
		c.Assert(p.Partial, qt.HasLen, 0)
	}
}

// TestRanges guards the set of ended occurrences against any order of additions.
func TestRanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Ranges
		want := map[int]bool{}
		for _, n := range rapid.SliceOf(rapid.IntRange(0, 30)).Draw(t, "numbers") {
			r = r.add(n)
			want[n] = true
		}
		missing := -1
		for n := 31; n >= 0; n-- {
			if !want[n] {
				missing = n
			}
			if r.Contains(n) != want[n] || r.NextMissing(n) != missing {
				t.Fatalf("%v: Contains(%d)=%v NextMissing=%d, want %v %d", r, n, r.Contains(n), r.NextMissing(n), want[n], missing)
			}
		}
		if r.Len() != len(want) {
			t.Fatalf("%v has %d numbers, want %d", r, r.Len(), len(want))
		}
		for i := 1; i < len(r); i++ {
			if r[i][0] <= r[i-1][1]+1 {
				t.Fatalf("%v: ranges touch", r)
			}
		}
	})
}

// TestFootprintFollowsRecords guards against a footprint that drifts: after all
// records of a job are dropped nothing of it counts.
func TestFootprintFollowsRecords(t *testing.T) {
	c := qt.New(t)
	m := NewStateMachine()
	encoded, err := EncodeJob(yearly)
	c.Assert(err, qt.IsNil)
	p := NewProgress(yearly)
	p.AddFailure(Task{Job: "j"}, 1)
	apply := func(r Record, err error) int64 {
		c.Assert(err, qt.IsNil)
		_, err = m.Apply(r)
		c.Assert(err, qt.IsNil)
		return m.Footprint()
	}
	submitted := apply(SubmissionRecord("j", encoded), nil)
	c.Assert(submitted, qt.Equals, yearly.Footprint())
	c.Assert(apply(ProgressRecord("j", p)) > submitted, qt.IsTrue)
	p.State = Cancelled
	c.Assert(apply(ProgressRecord("j", p)) < submitted, qt.IsTrue)
	c.Assert(apply(EarlyEndsRecord("k", []EarlyEnd{{Run: 1}})) > 0, qt.IsTrue)
	for _, r := range append(DropRecords("j"), DropRecords("k")...) {
		apply(r, nil)
	}
	c.Assert(m.Footprint(), qt.Equals, int64(0))
}
