package entry

import (
	"math"
	"time"
)

// The constants of the latency estimate.
const (
	// bucketsPerOctave sets the resolution: a bucket is about 9% wide.
	bucketsPerOctave = 8
	quantileBuckets  = 28 * bucketsPerOctave
	// smallestLatency is the upper end of the first bucket.
	smallestLatency = 10 * time.Microsecond
	// halveAfter is the number of samples after which older ones count half.
	halveAfter = 2000
	// enoughSamples is the number of samples below which nothing is known.
	enoughSamples = 50
	hedgeQuantile = 0.95
)

// quantile estimates the 95th percentile of recent latencies.
type quantile struct {
	counts [quantileBuckets]uint32
	total  uint32
	// known is the estimate of the last computation.
	known time.Duration
	fresh int
}

func (q *quantile) add(latency time.Duration) {
	q.counts[bucketOf(latency)]++
	q.total++
	q.fresh++
	if q.total >= halveAfter {
		q.halve()
	}
	if q.fresh >= enoughSamples {
		q.fresh = 0
		q.known = q.compute()
	}
}

// p95 returns the estimate, or 0 before enough samples were taken.
func (q *quantile) p95() time.Duration { return q.known }

func (q *quantile) halve() {
	q.total = 0
	for i := range q.counts {
		q.counts[i] /= 2
		q.total += q.counts[i]
	}
}

func (q *quantile) compute() time.Duration {
	rest := uint32(float64(q.total) * (1 - hedgeQuantile))
	above := uint32(0)
	for i := quantileBuckets - 1; i >= 0; i-- {
		above += q.counts[i]
		if above > rest {
			return upperEnd(i)
		}
	}
	return 0
}

func bucketOf(latency time.Duration) int {
	if latency <= smallestLatency {
		return 0
	}
	octaves := math.Log2(float64(latency) / float64(smallestLatency))
	return min(int(math.Ceil(octaves*bucketsPerOctave)), quantileBuckets-1)
}

func upperEnd(bucket int) time.Duration {
	return time.Duration(float64(smallestLatency) * math.Exp2(float64(bucket)/bucketsPerOctave))
}
