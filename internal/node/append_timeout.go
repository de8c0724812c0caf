package node

import (
	"sync"
	"time"
)

const (
	// shortestAppendTimeout and longestAppendTimeout bound the time limit of one
	// attempt of an append. A normal append takes some 15 ms; one of a log that is
	// slow for all took 0.2 to 0.6 s, and seconds behind a queue. The log refuses
	// calls once 2 s of work wait, so a longer limit would not help.
	shortestAppendTimeout = 350 * time.Millisecond
	longestAppendTimeout  = 2500 * time.Millisecond
	// appendTimeoutFactor is the limit as a multiple of the smoothed duration.
	appendTimeoutFactor = 3
	// appendSmoothing is the weight of a duration in the smoothed value.
	appendSmoothing = 0.25
)

// appendTimer derives the time limit of an append from the measured durations of
// appends. An attempt that is given up too early is repeated, and the log, which
// handles one append at a time, does the work twice.
type appendTimer struct {
	mu       sync.Mutex
	smoothed time.Duration
	// unanswered is the number of attempts without a response since the last one
	// with a response.
	unanswered int
}

// limit returns the time limit of the next attempt.
func (a *appendTimer) limit() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := min(max(appendTimeoutFactor*a.smoothed, shortestAppendTimeout), longestAppendTimeout)
	for range a.unanswered {
		if limit = min(2*limit, longestAppendTimeout); limit == longestAppendTimeout {
			break
		}
	}
	return limit
}

// answered takes an append into account that had its response after some time,
// counted from its first attempt that may have been executed: the response to a
// repeated attempt can be that of an earlier one.
func (a *appendTimer) answered(took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unanswered = 0
	took = min(took, longestAppendTimeout)
	if a.smoothed == 0 {
		a.smoothed = took
		return
	}
	a.smoothed += time.Duration(appendSmoothing * float64(took-a.smoothed))
}

// notAnswered takes an attempt into account that had no response.
func (a *appendTimer) notAnswered() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unanswered++
}

// typical returns the smoothed duration of an append, or 0 before the first one.
func (a *appendTimer) typical() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.smoothed
}
