package journal

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"redwingvale/internal/fence"
	"redwingvale/internal/platform"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// BenchmarkJournalApply measures how fast records are decoded, filtered and
// fenced; one operation is one record.
func BenchmarkJournalApply(b *testing.B) {
	const records = 1000
	raw := make([]platform.LogRecord, records)
	for i := range raw {
		env := &recordv1.Envelope{
			Instance: "i01", Incarnation: 1, Sequence: uint64(i + 1), Epoch: 1, Actor: "team-a",
			Body: &recordv1.Envelope_Group{Group: &recordv1.GroupRecord{
				Kind: &recordv1.GroupRecord_TaskStarted{TaskStarted: &recordv1.TaskStarted{
					Job: &recordv1.JobRef{Team: "team-a", Name: "invoices-2026-12"}, Index: 3, Attempt: 1,
				}},
			}},
		}
		data, err := proto.Marshal(env)
		if err != nil {
			b.Fatal(err)
		}
		raw[i] = platform.LogRecord{Offset: int64(i), Data: data}
	}
	b.ReportAllocs()
	applied := 0
	for applied < b.N {
		var batch Batch
		filter := NewDuplicateFilter()
		state := fence.Fence{Epoch: 1, Owner: "i01", Incarnation: 1}
		for i := 0; i < records && applied < b.N; i++ {
			batch.add(raw[i])
			env := batch.Records[i].Envelope
			if filter.Accept(env) && state.Apply(env) == fence.Valid {
				applied++
			}
		}
	}
	b.ReportMetric(float64(applied)/b.Elapsed().Seconds(), "records/s")
}
