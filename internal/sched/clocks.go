package sched

import (
	"sort"
	"time"

	"redwingvale/internal/alarm"
	"redwingvale/internal/spec"
)

// Bounds of the comparison of clocks.
const (
	// clockSpan is the shortest span over which a rate is measured.
	clockSpan = time.Minute
	// clockGone is the time without a report after which a worker's clock is
	// not judged any more.
	clockGone = 30 * time.Second
)

// clockSample is a reading of a worker's clock that was taken between from
// and to on the own clock.
type clockSample struct {
	reading time.Duration
	from    time.Duration
	to      time.Duration
}

// workerClock compares one worker's clock with the own one. base is replaced
// by next when next is older than clockSpan, so a rate covers one to two spans.
type workerClock struct {
	boot    string
	base    clockSample
	next    clockSample
	newest  clockSample
	ratePPM float64
}

// clockBook measures the rates of the workers' clocks from their reports.
type clockBook struct {
	clocks map[spec.WorkerID]*workerClock
}

func newClockBook() *clockBook {
	return &clockBook{clocks: make(map[spec.WorkerID]*workerClock)}
}

// note takes a report in. A new boot starts a new clock.
func (b *clockBook) note(id spec.WorkerID, boot string, sample clockSample) {
	c, known := b.clocks[id]
	if !known || c.boot != boot || sample.from-c.newest.to > clockGone {
		b.clocks[id] = &workerClock{boot: boot, base: sample, next: sample, newest: sample}
		return
	}
	c.newest = sample
	if sample.from-c.base.to < clockSpan {
		return
	}
	c.ratePPM = rateDifference(c.base, sample)
	if sample.from-c.next.to >= clockSpan {
		c.base = c.next
		c.next = sample
	}
}

// rateDifference returns the smallest difference of the rates, in millionths,
// that explains two samples whatever their delays on the way were.
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
// forgets the others.
func (b *clockBook) readings(now time.Duration) []alarm.ClockReading {
	var out []alarm.ClockReading
	for id, c := range b.clocks {
		if now-c.newest.to > clockGone {
			delete(b.clocks, id)
			continue
		}
		out = append(out, alarm.ClockReading{ID: string(id), RatePPM: c.ratePPM})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
