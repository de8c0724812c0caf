package group

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"redwingvale/internal/policy/firstfit"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// tasksPerJob and tasksPerWorker give the proportions of the design scale:
// 41,100 tasks on 2,400 workers.
const (
	tasksPerJob    = 10
	tasksPerWorker = 17
)

// logBuilder builds a log that one owner writes in epoch 1.
type logBuilder struct{ envelopes []*recordv1.Envelope }

func (b *logBuilder) add(body *recordv1.GroupRecord) {
	b.envelopes = append(b.envelopes, &recordv1.Envelope{
		Instance: "i0", Incarnation: 1, Sequence: uint64(len(b.envelopes) + 1), Epoch: 1,
		UnixMs: 1764824400000, Actor: "i0", Why: "first fit",
		Body: &recordv1.Envelope_Group{Group: body},
	})
}

func (b *logBuilder) claim(owner string, replaces uint64) {
	claim := &recordv1.Claim{Owner: owner, OwnerIncarnation: 1, ReplacesEpoch: replaces}
	b.add(&recordv1.GroupRecord{Kind: &recordv1.GroupRecord_Claim{Claim: claim}})
	b.envelopes[len(b.envelopes)-1].Instance = owner
}

// job adds a job all of whose tasks have started.
func (b *logBuilder) job(number int) {
	ref := &recordv1.JobRef{Team: "oratory-desk", Name: fmt.Sprintf("revision-2026-%06d", number)}
	b.add(&recordv1.GroupRecord{Kind: &recordv1.GroupRecord_JobSubmitted{JobSubmitted: &recordv1.JobSubmitted{
		ContentHash: 1 << 60,
		Job: &recordv1.JobSpec{
			Id: ref, Service: "long-revisions", Class: uint32(spec.Deadline), Kind: "revision", Tasks: tasksPerJob,
			PerTask: &recordv1.Resources{MilliCpu: 1500, MemoryMib: 4000}, RunTimeMs: 3600000, Payload: make([]byte, 100),
		},
	}}})
	for i := range tasksPerJob {
		b.task(ref, uint32(i), number*tasksPerJob+i)
	}
}

func (b *logBuilder) task(ref *recordv1.JobRef, index uint32, number int) {
	worker := fmt.Sprintf("kago-a-r%03d-w%04d", number/tasksPerWorker/8, number/tasksPerWorker)
	b.add(&recordv1.GroupRecord{Kind: &recordv1.GroupRecord_TaskIntent{TaskIntent: &recordv1.TaskIntent{
		Job: ref, Index: index, Attempt: 1, Worker: worker, Boot: "0c5be2ad7b30",
	}}})
	b.add(&recordv1.GroupRecord{Kind: &recordv1.GroupRecord_TaskStarted{TaskStarted: &recordv1.TaskStarted{
		Job: ref, Index: index, Attempt: 1,
	}}})
}

// recoveryLog returns a log with a snapshot of the tasks followed by the records
// of a tenth as many tasks, the offset of its first record, and the snapshot's
// size in bytes.
func recoveryLog(tasks int) (records [][]byte, first int64, snapshotBytes int) {
	var b logBuilder
	b.claim("i0", 0)
	for number := range tasks / tasksPerJob {
		b.job(number)
	}
	replayed := newState(Options{})
	for i, env := range b.envelopes {
		replayed.apply(int64(i), env)
	}
	first = int64(len(b.envelopes))
	for _, part := range replayed.snapshot(DefaultOptions().MaxPartBytes) {
		b.add(&recordv1.GroupRecord{Kind: &recordv1.GroupRecord_Snapshot{Snapshot: part}})
		snapshotBytes += proto.Size(part)
	}
	for number := range tasks / tasksPerJob / 10 {
		b.job(tasks/tasksPerJob + number)
	}
	b.claim("i1", 1)
	for _, env := range b.envelopes[first:] {
		data, _ := proto.Marshal(env)
		records = append(records, data)
	}
	return records, first, snapshotBytes
}

func workersFor(tasks int) []WorkerInfo {
	var out []WorkerInfo
	for n := range tasks/tasksPerWorker + 1 {
		out = append(out, WorkerInfo{Worker: spec.Worker{
			ID:       spec.WorkerID(fmt.Sprintf("kago-a-r%03d-w%04d", n/8, n)),
			Capacity: spec.Resources{MilliCPU: 32000, MemoryMiB: 125000, Slots: 8, Connections: 60},
		}})
	}
	return out
}

// recoverCore returns a core that has read a log and taken the group over.
func recoverCore(records [][]byte, first int64, tasks int) *Core {
	opts := DefaultOptions()
	opts.Instance = "i1"
	opts.Incarnation = 1
	core := New(opts, firstfit.New())
	core.Step(0, SetServices{Known: true})
	core.Step(0, SetWorkers{Workers: workersFor(tasks + tasks/10)})
	for i, data := range records {
		env := new(recordv1.Envelope)
		_ = proto.Unmarshal(data, env)
		core.Step(0, RecordRead{Offset: first + int64(i), Envelope: env})
	}
	core.Step(time.Second, OwnershipLeaseChanged{Epoch: 2, Until: 2 * time.Second})
	return core
}

// Guards against a recovery at the design scale that takes too much time or
// memory after a crash, or whose cost grows faster than the number of tasks.
func BenchmarkRecover(b *testing.B) {
	for _, tasks := range []int{4110, 41100} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			records, first, snapshotBytes := recoveryLog(tasks)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var core *Core
			b.ReportAllocs()
			for b.Loop() {
				core = recoverCore(records, first, tasks)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			qt.New(b).Assert(core.deciding(), qt.IsTrue)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B-live")
			b.ReportMetric(float64(snapshotBytes), "B-snapshot")
			b.ReportMetric(float64(snapshotBytes)/float64(tasks), "B-snapshot/task")
		})
	}
}

// Guards against a cost per applied record that grows with the size of the state.
func BenchmarkGroupApply(b *testing.B) {
	for _, tasks := range []int{4110, 41100} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			var builder logBuilder
			builder.claim("i0", 0)
			bytes := 0
			for number := range tasks / tasksPerJob {
				builder.job(number)
			}
			for _, env := range builder.envelopes {
				bytes += proto.Size(env)
			}
			records := 0
			b.ReportAllocs()
			for b.Loop() {
				replayed := newState(Options{})
				for i, env := range builder.envelopes {
					replayed.apply(int64(i), env)
				}
				records += len(builder.envelopes)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(records), "ns/record")
			b.ReportMetric(float64(bytes)/float64(tasks/tasksPerJob), "B/job")
			b.ReportMetric(float64(bytes)/float64(tasks), "B/task")
		})
	}
}
