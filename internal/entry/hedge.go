package entry

import (
	"time"

	"redwingvale/internal/route"
)

// hedged makes an attempt at one target and, when its answer is late, a second
// one at another. The first answer counts; the other attempt ends on its own.
func (x *execution) hedged(pick route.Pick) attemptResult {
	e := x.entry
	results := make(chan attemptResult, 2)
	x.launch(pick, results)
	timer := time.NewTimer(e.dispatch.hedgeAfter(x.state))
	defer timer.Stop()
	open := 1
	for {
		select {
		case <-timer.C:
			if second, ok := e.dispatch.hedge(x.state, append(x.avoid, pick.Worker)); ok {
				e.metrics.hedges.Inc(1)
				x.launch(second, results)
				open++
			}
		case result := <-results:
			open--
			if result.failure == nil {
				x.abandon(results, open)
				return result
			}
			if open == 0 {
				return result
			}
			x.avoid = append(x.avoid, result.worker)
			x.note(result.failure)
		}
	}
}

func (x *execution) launch(pick route.Pick, results chan<- attemptResult) {
	x.entry.background.Add(1)
	go func() {
		defer x.entry.background.Done()
		results <- x.entry.attempt(x.call, x.state, pick)
	}()
}

// abandon lets the attempts that are still open end without their answer.
func (x *execution) abandon(results <-chan attemptResult, open int) {
	if open == 0 {
		return
	}
	x.entry.background.Add(1)
	go func() {
		defer x.entry.background.Done()
		for range open {
			discard(<-results)
		}
	}()
}

// discard gives up the rest of an answer that is not used.
func discard(result attemptResult) {
	if result.answer != nil && result.answer.rest != nil {
		_ = result.answer.rest.Close()
	}
}
