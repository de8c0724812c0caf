package journal

import "time"

// bucket is a token bucket that starts full.
type bucket struct {
	rate   float64
	burst  float64
	tokens float64
	at     time.Duration
}

func newBucket(rate, burst float64) bucket {
	return bucket{rate: rate, burst: burst, tokens: burst}
}

// take removes one token at time now and reports whether there was one.
func (b *bucket) take(now time.Duration) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *bucket) refill(now time.Duration) {
	if now <= b.at {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.at).Seconds())
	b.at = now
}
