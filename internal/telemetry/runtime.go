package telemetry

import (
	"runtime/metrics"
	"syscall"
	"time"
)

// RuntimeUsage is what the process has used since its start and what it holds
// now. The collector's times are updated at the end of each collection.
type RuntimeUsage struct {
	// Processor is the processor time of the process, with the kernel's part.
	Processor time.Duration
	// Collector is the processor time of the garbage collector. Assist is the
	// part of it that allocating goroutines had to do themselves.
	Collector, Assist time.Duration
	Collections       uint64
	AllocatedBytes    uint64
	// LiveBytes is the heap that the last collection has marked, GoalBytes the
	// heap at which the next one ends.
	LiveBytes, GoalBytes uint64
	// MappedBytes is the memory that the runtime holds from the system.
	MappedBytes uint64
}

// runtimeSamples are the runtime's metrics in the order of runtimeSample's
// constants.
var runtimeSamples = [...]string{
	"/cpu/classes/gc/total:cpu-seconds",
	"/cpu/classes/gc/mark/assist:cpu-seconds",
	"/gc/cycles/total:gc-cycles",
	"/gc/heap/allocs:bytes",
	"/gc/heap/live:bytes",
	"/gc/heap/goal:bytes",
	"/memory/classes/total:bytes",
	"/memory/classes/heap/released:bytes",
}

const (
	sampleCollector = iota
	sampleAssist
	sampleCollections
	sampleAllocated
	sampleLive
	sampleGoal
	sampleMapped
	sampleReleased
)

// RuntimeReader reads the usage of the process. It is not safe for concurrent
// use.
type RuntimeReader struct {
	samples [len(runtimeSamples)]metrics.Sample
}

// NewRuntimeReader returns a reader.
func NewRuntimeReader() *RuntimeReader {
	r := &RuntimeReader{}
	for i, name := range runtimeSamples {
		r.samples[i].Name = name
	}
	return r
}

// Read returns the current usage. A metric that the runtime does not have is 0.
func (r *RuntimeReader) Read() RuntimeUsage {
	metrics.Read(r.samples[:])
	usage := RuntimeUsage{
		Collector:      r.seconds(sampleCollector),
		Assist:         r.seconds(sampleAssist),
		Collections:    r.count(sampleCollections),
		AllocatedBytes: r.count(sampleAllocated),
		LiveBytes:      r.count(sampleLive),
		GoalBytes:      r.count(sampleGoal),
		MappedBytes:    r.count(sampleMapped) - r.count(sampleReleased),
	}
	var own syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &own) == nil {
		usage.Processor = time.Duration(own.Utime.Nano() + own.Stime.Nano())
	}
	return usage
}

func (r *RuntimeReader) seconds(i int) time.Duration {
	if v := r.samples[i].Value; v.Kind() == metrics.KindFloat64 {
		return time.Duration(v.Float64() * float64(time.Second))
	}
	return 0
}

func (r *RuntimeReader) count(i int) uint64 {
	if v := r.samples[i].Value; v.Kind() == metrics.KindUint64 {
		return v.Uint64()
	}
	return 0
}
