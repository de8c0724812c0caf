package entry

import (
	"math"
	"time"
)

// The parameters of the latency estimate.
const (
	// bucketsPerOctave determines the resolution: a bucket is about 9% wide.
	bucketsPerOctave = 8
	quantileBuckets  = 28 * bucketsPerOctave
	// smallestLatency is the upper bound of the first bucket.
	smallestLatency = 10 * time.Microsecond
	// halveAfter is the total count at which all counts are halved, so that
	// older samples weigh less.
	halveAfter = 2000
	// samplesPerUpdate is the number of samples before the first estimate and
	// between updates.
	samplesPerUpdate = 50
	hedgeQuantile    = 0.95
)

// latencyEstimator estimates the 95th percentile of recent latencies.
type latencyEstimator struct {
	counts [quantileBuckets]uint32
	total  uint32
	// estimate is the last computed estimate.
	estimate    time.Duration
	sinceUpdate int
}

func (l *latencyEstimator) record(latency time.Duration) {
	l.counts[latencyBucket(latency)]++
	l.total++
	l.sinceUpdate++
	if l.total >= halveAfter {
		l.halveCounts()
	}
	if l.sinceUpdate >= samplesPerUpdate {
		l.sinceUpdate = 0
		l.estimate = l.compute()
	}
}

// p95 returns the estimate, or 0 until there are enough samples.
func (l *latencyEstimator) p95() time.Duration { return l.estimate }

func (l *latencyEstimator) halveCounts() {
	l.total = 0
	for i := range l.counts {
		l.counts[i] /= 2
		l.total += l.counts[i]
	}
}

func (l *latencyEstimator) compute() time.Duration {
	maxAbove := uint32(float64(l.total) * (1 - hedgeQuantile))
	above := uint32(0)
	for i := quantileBuckets - 1; i >= 0; i-- {
		above += l.counts[i]
		if above > maxAbove {
			return bucketUpperBound(i)
		}
	}
	return 0
}

func latencyBucket(latency time.Duration) int {
	if latency <= smallestLatency {
		return 0
	}
	octaves := math.Log2(float64(latency) / float64(smallestLatency))
	return min(int(math.Ceil(octaves*bucketsPerOctave)), quantileBuckets-1)
}

func bucketUpperBound(bucket int) time.Duration {
	return time.Duration(float64(smallestLatency) * math.Exp2(float64(bucket)/bucketsPerOctave))
}
