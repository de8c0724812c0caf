package jobs

import "testing"

// benchJob is a job of two steps of 40 tasks, half of which are done.
func benchJob(b *testing.B) (*Job, *Progress) {
	b.Helper()
	job := &Job{Queue: "q", Payload: "p", Steps: []Step{{Count: 40, CPUMilli: 3500, Checkpointing: true}, {Count: 40, CPUMilli: 3500, After: []int{0}}}}
	progress := NewProgress(job)
	progress.State = Active
	for i := range 40 {
		progress.SetDone(job, Task{Job: "5c0e7a21d94b36f8", Index: i})
	}
	return job, progress
}

// BenchmarkProgressRecord measures the record that the leader writes of a job
// after an end.
func BenchmarkProgressRecord(b *testing.B) {
	_, progress := benchJob(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ProgressRecord("5c0e7a21d94b36f8", progress); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkApplyProgress measures that record at every instance that follows the
// log.
func BenchmarkApplyProgress(b *testing.B) {
	job, progress := benchJob(b)
	encoded, err := EncodeJob(job)
	if err != nil {
		b.Fatal(err)
	}
	record, err := ProgressRecord("5c0e7a21d94b36f8", progress)
	if err != nil {
		b.Fatal(err)
	}
	m := NewStateMachine()
	if _, err := m.Apply(SubmissionRecord("5c0e7a21d94b36f8", encoded)); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := m.Apply(record); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSubmission measures the decoding and the checks of a submission at the
// leader.
func BenchmarkSubmission(b *testing.B) {
	job, _ := benchJob(b)
	encoded, err := EncodeJob(job)
	if err != nil {
		b.Fatal(err)
	}
	limits := Limits{Record: 256 << 10, Request: 2 << 20}
	b.ReportAllocs()
	for b.Loop() {
		decoded, err := DecodeJob(encoded)
		if err != nil {
			b.Fatal(err)
		}
		if err := limits.CheckRecords("5c0e7a21d94b36f8", decoded, encoded); err != nil {
			b.Fatal(err)
		}
	}
}
