package sched

import (
	"sort"
	"time"

	"redwingvale/internal/alarm"
	"redwingvale/internal/spec"
)

// Time limits of the comparison of clocks.
const (
	// minClockSpan is the shortest span over which a rate is measured.
	minClockSpan = time.Minute
	// clockExpiry is the time without a report after which the measurement of a
	// worker's clock is dropped.
	clockExpiry = 30 * time.Second
)

// clockSample is a reading of a worker's clock that was taken between from and
// to on this process's clock.
type clockSample struct {
	reading time.Duration
	from    time.Duration
	to      time.Duration
}

// workerClock compares one worker's clock with that of this process. base is
// replaced by next when next is older than minClockSpan, so a rate covers one
// to two spans.
type workerClock struct {
	boot    string
	base    clockSample
	next    clockSample
	newest  clockSample
	ratePPM float64
}

// clockRateTracker measures the rates of the workers' clocks from their
// reports.
type clockRateTracker struct {
	clocks map[spec.WorkerID]*workerClock
}

func newClockRateTracker() *clockRateTracker {
	return &clockRateTracker{clocks: make(map[spec.WorkerID]*workerClock)}
}

// addSample adds the sample of a report. A new boot, or a gap of more than
// clockExpiry, starts a new measurement.
func (t *clockRateTracker) addSample(id spec.WorkerID, boot string, sample clockSample) {
	c, known := t.clocks[id]
	if !known || c.boot != boot || sample.from-c.newest.to > clockExpiry {
		t.clocks[id] = &workerClock{boot: boot, base: sample, next: sample, newest: sample}
		return
	}
	c.newest = sample
	if sample.from-c.base.to < minClockSpan {
		return
	}
	c.ratePPM = rateDifference(c.base, sample)
	if sample.from-c.next.to >= minClockSpan {
		c.base = c.next
		c.next = sample
	}
}

// rateDifference returns the smallest difference of the rates, in parts per
// million, that is consistent with two samples whatever their network delays.
func rateDifference(first, last clockSample) float64 {
	elapsed := last.reading - first.reading
	shortest := last.from - first.to
	longest := last.to - first.from
	switch {
	case elapsed > longest:
		return (float64(elapsed)/float64(longest) - 1) * 1e6
	case elapsed < shortest:
		return (1 - float64(elapsed)/float64(shortest)) * 1e6
	default:
		return 0
	}
}

// readings returns the rates of the clocks that still report, by worker, and
// drops the others.
func (t *clockRateTracker) readings(now time.Duration) []alarm.ClockReading {
	var out []alarm.ClockReading
	for id, c := range t.clocks {
		if now-c.newest.to > clockExpiry {
			delete(t.clocks, id)
			continue
		}
		out = append(out, alarm.ClockReading{ID: string(id), RatePPM: c.ratePPM})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
