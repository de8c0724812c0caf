package entry

import (
	"time"

	"redwingvale/internal/route"
)

// attemptHedged makes an attempt at one target and, if the response is late, a
// second one at another target. It returns the first response; the other
// attempt completes in the background.
func (x *execution) attemptHedged(pick route.Pick) attemptResult {
	e := x.entry
	results := make(chan attemptResult, 2)
	x.startAttempt(pick, results)
	timer := time.NewTimer(e.dispatch.hedgeDelay(x.state))
	defer timer.Stop()
	pending := 1
	for {
		select {
		case <-timer.C:
			if second, ok := e.dispatch.pickHedge(x.state, append(x.avoid, pick.Worker)); ok {
				e.metrics.hedges.Inc(1)
				x.startAttempt(second, results)
				pending++
			}
		case result := <-results:
			pending--
			if result.failure == nil {
				x.discardPending(results, pending)
				return result
			}
			if pending == 0 {
				return result
			}
			x.avoid = append(x.avoid, result.worker)
			x.recordFailure(result.failure)
		}
	}
}

func (x *execution) startAttempt(pick route.Pick, results chan<- attemptResult) {
	x.entry.background.Add(1)
	go func() {
		defer x.entry.background.Done()
		results <- x.entry.attempt(x.call, x.state, pick)
	}()
}

// discardPending discards the responses of the pending attempts in the
// background.
func (x *execution) discardPending(results <-chan attemptResult, pending int) {
	if pending == 0 {
		return
	}
	x.entry.background.Add(1)
	go func() {
		defer x.entry.background.Done()
		for range pending {
			discard(<-results)
		}
	}()
}

// discard closes the remainder of an unused response.
func discard(result attemptResult) {
	if result.response != nil && result.response.remainder != nil {
		_ = result.response.remainder.Close()
	}
}
