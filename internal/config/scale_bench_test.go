package config

import (
	"bytes"
	"fmt"
	"os"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"redwingvale/internal/platform"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// The design scale: services of one region and changes of one day.
const (
	scaleServices = 560
	scaleChanges  = 5400
)

// scaleRecords returns the encoded records of a day of changes and their total
// size.
func scaleRecords(b *testing.B) ([]platform.LogRecord, int) {
	text, err := os.ReadFile("../../examples/documents/kagoshima/tariff-invoices.toml")
	if err != nil {
		b.Fatal(err)
	}
	records := make([]platform.LogRecord, 0, scaleChanges)
	size := 0
	for i := range scaleChanges {
		team := fmt.Sprintf("team-%03d", i%scaleServices)
		doc := bytes.ReplaceAll(text, []byte("kagoshima-billing"), []byte(team))
		doc = bytes.ReplaceAll(doc, []byte("5400"), fmt.Append(nil, 600+i))
		apply := &recordv1.Apply{
			ApplyId: fmt.Sprintf("0195f3c0-0000-7000-8000-%012d", i), Team: team, Service: "tariff-invoices",
			BaseRevision: uint64(i / scaleServices), Document: doc, Author: "m.sakamoto", Reason: "measured run times of the last cycle",
		}
		data := envelope("rwctl:"+apply.GetApplyId(), &recordv1.ConfigRecord{Kind: &recordv1.ConfigRecord_Apply{Apply: apply}})
		size += len(data)
		records = append(records, platform.LogRecord{Offset: int64(i), Data: data})
	}
	return records, size
}

func scaleCore(b *testing.B, records []platform.LogRecord) *Core {
	core := NewCore(Options{})
	core.Step(0, ReadEvent{Result: platform.ReadResult{Records: records, Next: int64(len(records)), AtTail: true}})
	if core.State().Len() != scaleServices || core.State().Revision(Key{"team-000", "tariff-invoices"}) != 10 {
		b.Fatal("not all changes were accepted")
	}
	return core
}

// BenchmarkDayOfChanges measures one reader that applies 5,400 changes to 560
// services; log-bytes is the size of all records.
func BenchmarkDayOfChanges(b *testing.B) {
	records, size := scaleRecords(b)
	b.ReportAllocs()
	for b.Loop() {
		scaleCore(b, records)
	}
	b.ReportMetric(float64(size), "log-bytes")
}

// BenchmarkState measures the memory of 560 documents with ten revisions each
// and the encoded size of their snapshot.
func BenchmarkState(b *testing.B) {
	records, _ := scaleRecords(b)
	var core *Core
	var before, after runtime.MemStats
	for b.Loop() {
		core = nil
		runtime.GC()
		runtime.ReadMemStats(&before)
		core = scaleCore(b, records)
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	size, parts := 0, core.State().Snapshot(core.InForceOffset(), MaxPartBytes)
	for _, part := range parts {
		size += proto.Size(part)
	}
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
	b.ReportMetric(float64(size), "snapshot-bytes")
	b.ReportMetric(float64(len(parts)), "snapshot-records")
	runtime.KeepAlive(core)
}
