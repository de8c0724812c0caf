package journal

import "time"

// bucket is a token bucket that starts full.
type tokenBucket struct {
	rate       float64
	burst      float64
	tokens     float64
	lastRefill time.Duration
}

func newTokenBucket(rate, burst float64) tokenBucket {
	return tokenBucket{rate: rate, burst: burst, tokens: burst}
}

// take removes one token at time now and reports whether one was available.
func (b *tokenBucket) take(now time.Duration) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *tokenBucket) refill(now time.Duration) {
	if now <= b.lastRefill {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.lastRefill).Seconds())
	b.lastRefill = now
}
