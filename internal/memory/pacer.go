// Package memory keeps a process within its memory limit and paces its garbage
// collector by what the limit leaves free.
//
// By default a collection starts whenever the heap has doubled. On an instance
// with a share of one core, a small heap and a high rate of allocations, the
// collections then follow one another and take the processor from the work. The
// pacer lets the heap grow far enough that collections are collectionInterval
// apart, as long as the memory limit allows that.
package memory

import (
	"context"
	"math"
	"runtime/debug"
	"time"

	"redwingvale/internal/telemetry"
)

const (
	// limitShare is the share of the process's memory limit that the runtime may
	// hold. The rest is for the program itself, thread stacks, and received bytes
	// that have not been read yet.
	limitShare = 0.7
	// goalShare is the share of the limit that the heap may grow to for the sake
	// of fewer collections. Fragmentation and allocations during a collection come
	// on top of it.
	goalShare = 0.4
	// collectionInterval is the time between two collections to aim for.
	collectionInterval = 2 * time.Second
	// paceInterval is the interval at which the pace is adjusted.
	paceInterval = time.Second
	// minPercent is the runtime's default growth of the heap between two
	// collections, in percent of the live heap.
	minPercent = 100
	// minChange is the smallest relative change of the percentage that is worth
	// stopping the process for.
	minChange = 0.25
)

// Pacer adjusts the collector of the process. Only one may run at a time.
type Pacer struct {
	limitBytes int64
	reader     *telemetry.RuntimeReader
	last       telemetry.RuntimeUsage
	percent    int
	setPercent func(percent int)
}

// NewPacer returns a pacer for a process that is killed when it exceeds
// limitBytes. It sets the runtime's soft limit at once.
func NewPacer(limitBytes int64) *Pacer {
	debug.SetMemoryLimit(int64(float64(limitBytes) * limitShare))
	p := &Pacer{
		limitBytes: limitBytes, reader: telemetry.NewRuntimeReader(), percent: minPercent,
		setPercent: func(percent int) { debug.SetGCPercent(percent) },
	}
	p.last = p.reader.Read()
	return p
}

// Run adjusts the pace until ctx ends.
func (p *Pacer) Run(ctx context.Context) {
	ticker := time.NewTicker(paceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.adjust(p.reader.Read(), paceInterval)
		}
	}
}

// adjust sets the percentage for the usage now, some time after the last one.
func (p *Pacer) adjust(usage telemetry.RuntimeUsage, elapsed time.Duration) {
	rate := float64(usage.AllocatedBytes-p.last.AllocatedBytes) / elapsed.Seconds()
	p.last = usage
	percent := growthPercent(rate, float64(usage.LiveBytes), float64(p.limitBytes))
	if math.Abs(float64(percent-p.percent)) < minChange*float64(p.percent) {
		return
	}
	p.percent = percent
	p.setPercent(percent)
}

// growthPercent returns how far the heap may grow between two collections, in
// percent of the live heap, given the bytes allocated per second, the live heap
// and the process's limit in bytes.
func growthPercent(rate, live, limit float64) int {
	if live <= 0 {
		return minPercent
	}
	wanted := rate * collectionInterval.Seconds()
	allowed := limit*goalShare - live
	return max(int(100*min(wanted, allowed)/live), minPercent)
}
