package planner

import (
	"fmt"
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/jobs"
)

// loadScore is what the jobs of one queue and size class have earned: served counts
// those that ended while they had value, possible those that could have on idle
// workers, because none of their stragglers takes longer.
type loadScore struct {
	jobs, possible, served int
	value                  float64
}

func (s *loadScore) valueShare() float64  { return s.value / float64(s.jobs) }
func (s *loadScore) servedShare() float64 { return float64(s.served) / float64(max(s.possible, 1)) }

// shortestMS returns how long a job takes on idle workers.
func (r *loadRun) shortestMS(id jobs.ID) int64 {
	chain := int64(0)
	for step := range r.sim.jobs[id].job.Steps {
		longest := int64(0)
		for i := range r.sim.jobs[id].job.Steps[step].Count {
			longest = max(longest, r.duration(jobs.Task{Job: id, Step: step, Index: i}))
		}
		chain += longest
	}
	return chain
}

// loadResult holds the runs of one load under one order, a run for each seed.
type loadResult struct {
	runs []*loadRun
	// values are the values that the runs have earned.
	values []float64
	scores map[string]*loadScore
}

func playLoad(l load, order, seeds int) *loadResult {
	out := &loadResult{scores: map[string]*loadScore{}}
	for seed := range seeds {
		r := newLoadRun(l, order, uint64(seed+1))
		r.play()
		out.runs = append(out.runs, r)
		total := 0.0
		for _, id := range r.ids {
			j := r.jobs[id]
			total += j.value()
			for _, key := range []string{"all", j.queue, j.queue + " " + sizeClasses[j.sizeClass]} {
				s := out.scores[key]
				if s == nil {
					s = &loadScore{}
					out.scores[key] = s
				}
				s.jobs++
				if r.shortestMS(id) <= lateFactor*j.objectiveMS {
					s.possible++
				}
				if v := j.value(); v > 0 {
					s.served++
					s.value += v
				}
			}
		}
		out.values = append(out.values, total)
	}
	return out
}

func (r *loadResult) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "all %.3f", r.scores["all"].valueShare())
	for _, queue := range []string{"urgent", "batch"} {
		s := r.scores[queue]
		fmt.Fprintf(&out, ", %s %.3f (%.2f served;", queue, s.valueShare(), s.servedShare())
		for _, class := range sizeClasses {
			s := r.scores[queue+" "+class]
			fmt.Fprintf(&out, " %s %.3f, %.2f", class, s.valueShare(), s.servedShare())
		}
		out.WriteString(")")
	}
	return out.String()
}

// notLess reports whether values are no less than others of the same seeds, up to
// twice the standard error of the mean difference.
func notLess(values, others []float64) bool {
	n, sum, squares := float64(len(values)), 0.0, 0.0
	for i := range values {
		d := values[i] - others[i]
		sum, squares = sum+d, squares+d*d
	}
	mean := sum / n
	if n < 2 {
		return true
	}
	return mean+2*math.Sqrt(max(squares/n-mean*mean, 0)/(n-1)) >= 0
}

// TestOverloadLoads compares the orders of waiting steps under loads that exceed what
// the workers bear. Each load guards against the failure that it names.
func TestOverloadLoads(t *testing.T) {
	seeds := 4
	if testing.Short() {
		seeds = 1
	}
	tests := []struct {
		name  string
		guard string
		load  load
	}{
		{"burst of the batch queue", "jobs that are late or lost long after the burst", load{batchBurst: burstFactor, urgentBurst: 1}},
		{"burst of the urgent queue on top", "batch jobs that lose what they have done", load{batchBurst: burstFactor, urgentBurst: burstFactor}},
		{"both bursts during an evacuation", "a backlog that stays once the workers are back", load{batchBurst: burstFactor, urgentBurst: burstFactor, evacuated: true}},
		{"callers that give up", "capacity for jobs that nobody waits for", load{batchBurst: burstFactor, urgentBurst: 1, giveUp: true}},
		{"loss of a seventh of the workers", "lost tasks that wait behind jobs that have not begun", load{batchBurst: 1, urgentBurst: 1, lost: true}},
		{"long-running jobs until the service is full", "urgent jobs that share what is left so that none is in time", load{batchBurst: 1, urgentBurst: 1, longRunning: 1}},
	}
	results := make([][orders]*loadResult, len(tests))
	t.Run("loads", func(t *testing.T) {
		for i, test := range tests {
			for order := range orders {
				t.Run(test.name+", "+orderNames[order], func(t *testing.T) {
					t.Parallel()
					results[i][order] = playLoad(test.load, order, seeds)
				})
			}
		}
	})
	sums := [orders]float64{}
	for i, test := range tests {
		c := qt.New(t)
		for order, result := range results[i] {
			t.Logf("%s, %s: %v", test.name, orderNames[order], result)
			sums[order] += result.scores["all"].value
			for _, r := range result.runs {
				c.Assert(r.sim.violations, qt.HasLen, 0)
			}
		}
		byValue := results[i][valueOrder]
		for _, other := range []int{formerOrder, firstComeOrder} {
			c.Check(notLess(byValue.values, results[i][other].values), qt.IsTrue,
				qt.Commentf("%s (%s): %.1f, %s %.1f", test.name, test.guard, byValue.values, orderNames[other], results[i][other].values))
		}
		byValue.checkClasses(c, test.name)
		for _, r := range byValue.runs {
			recovered, drain := r.recoveredMS(), r.drainMS()
			t.Logf("%s: back after %d ms, allowed %d ms", test.name, recovered, drain)
			c.Check(recovered <= drain, qt.IsTrue, qt.Commentf("%s (%s): the backlog is back after %d ms, the load allows %d ms", test.name, test.guard, recovered, drain))
		}
	}
	t.Logf("value over all loads: %.0f", sums)
	qt.Check(t, sums[valueOrder] >= sums[formerOrder] || testing.Short(), qt.IsTrue)
}

// checkClasses guards against size classes that an order leaves out: of the jobs that
// could be served, each class is served at least half as often as its queue.
func (r *loadResult) checkClasses(c *qt.C, name string) {
	for _, queue := range []string{"urgent", "batch"} {
		for _, class := range sizeClasses {
			score, of := r.scores[queue+" "+class], r.scores[queue].servedShare()
			if score.possible < 10 {
				// Too few to tell anything, as with the single seed of -short.
				continue
			}
			share := score.servedShare()
			c.Check(share >= of/2, qt.IsTrue, qt.Commentf("%s: %s %s jobs are served %.2f, the queue %.2f", name, class, queue, share, of))
		}
	}
}
