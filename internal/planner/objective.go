package planner

import "redwingvale/internal/jobs"

// deadline returns when the job's objective ends.
func (c *Core) deadline(j *job) int64 { return j.arrivedMS + objective(j.queue, longestChain(j.spec)) }

// objective returns the time within which a job is to complete: the queue's stretch
// factor times the longest chain of estimated work, plus the queue's latency target.
func objective(q *Queue, chainMS int64) int64 {
	return int64(q.Stretch*float64(chainMS)) + q.TargetLatencyMS
}

// longestChain returns the longest chain of estimated work of a job.
func longestChain(spec *jobs.Job) int64 {
	chain := make([]int64, len(spec.Steps))
	longest := int64(0)
	for i := range spec.Steps {
		s := &spec.Steps[i]
		for _, before := range s.After {
			chain[i] = max(chain[i], chain[before])
		}
		chain[i] += int64(s.EstimateMS)
		longest = max(longest, chain[i])
	}
	return longest
}

// remainingWork returns the longest chain of estimated work from the step to
// the end of its occurrence, scaled by the ratio of actual to estimated
// durations in the queue.
func (c *Core) remainingWork(s *step) int64 {
	steps := s.job.spec.Steps
	chain := make([]int64, len(steps))
	longest := int64(0)
	for i := s.index; i < len(steps); i++ {
		before, reached := int64(0), i == s.index
		for _, b := range steps[i].After {
			if b >= s.index && chain[b] > 0 {
				before, reached = max(before, chain[b]), true
			}
		}
		if reached {
			chain[i] = before + max(int64(steps[i].EstimateMS), 1)
			longest = max(longest, chain[i])
		}
	}
	return int64(float64(longest) * c.durations.durationRatio(s.job.spec.Queue))
}
