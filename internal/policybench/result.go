package policybench

import (
	"math"
	"time"

	"redwingvale/internal/spec"
)

// Result holds the figures of one run.
type Result struct {
	// P99MS is the service's p99 over all requests, in milliseconds.
	P99MS float64
	// NoBatchP99MS is the p99 of the same requests without batch work.
	NoBatchP99MS float64
	// Throughput is the finished batch work in slot seconds per second.
	Throughput float64
	Finished   int
	// Missed counts missed deadlines; Evictions counts moves and evictions.
	Missed       int
	Evictions    int
	Throttles    int
	WorkLost     float64
	OutOfMemory  int
	Quarantines  int
	LongRunMoves int
	// FalseOverdue counts tasks reported as overdue that met their deadline.
	FalseOverdue int
	// OverdueLead is the mean time in seconds from the first report of a task
	// as overdue to its missed deadline.
	OverdueLead float64

	latency   histogram
	floor     histogram
	work      float64
	met       map[spec.TaskID]bool
	ended     map[spec.TaskID]bool
	excluded  map[spec.TaskID]bool
	overdueAt map[spec.TaskID]int
}

func newResult() Result {
	return Result{
		met:       map[spec.TaskID]bool{},
		ended:     map[spec.TaskID]bool{},
		excluded:  map[spec.TaskID]bool{},
		overdueAt: map[spec.TaskID]int{},
	}
}

// done records a finished task.
func (r *Result) done(t *actualTask, now int) {
	r.Finished++
	r.work += t.run
	r.ended[t.task.ID] = true
	if seconds(float64(now)) <= t.task.Deadline {
		r.met[t.task.ID] = true
	}
}

// cancelled excludes a task from the count of missed deadlines.
func (r *Result) cancelled(t *actualTask) { r.excluded[t.task.ID] = true }

// recordOverdue records when each task was first reported as overdue.
func (w *Simulation) recordOverdue() {
	for _, id := range w.decider.Overdue(w.clock()) {
		if _, known := w.result.overdueAt[id]; !known {
			w.result.overdueAt[id] = w.now
		}
	}
}

// finish computes the figures. Deadlines after the end of the run are not
// counted.
func (w *Simulation) finish() {
	r := &w.result
	end := seconds(float64(w.trace.params.Seconds))
	r.P99MS = r.latency.quantile(0.99)
	r.NoBatchP99MS = r.floor.quantile(0.99)
	r.Throughput = r.work / float64(w.trace.params.Seconds)
	leads, lead := 0, 0.0
	for i := range w.trace.tasks {
		t := &w.trace.tasks[i]
		id := t.task.ID
		if t.task.Deadline == 0 || t.task.Deadline >= end || t.alwaysFails || r.excluded[id] {
			continue
		}
		at, warned := r.overdueAt[id]
		if r.met[id] {
			if warned {
				r.FalseOverdue++
			}
			continue
		}
		r.Missed++
		if warned {
			leads++
			lead += (t.task.Deadline - seconds(float64(at))).Seconds()
		}
	}
	if leads > 0 {
		r.OverdueLead = lead / float64(leads)
	}
}

// missedButMet counts the deadlines that this run missed and the other run met.
func (r *Result) missedButMet(t *trace, other *Result) int {
	end := time.Duration(t.params.Seconds) * time.Second
	count := 0
	for i := range t.tasks {
		each := &t.tasks[i]
		id := each.task.ID
		counts := each.task.Deadline != 0 && each.task.Deadline < end && !each.alwaysFails
		if counts && !r.excluded[id] && !r.met[id] && other.met[id] {
			count++
		}
	}
	return count
}

// histogram counts latencies on a logarithmic scale of 1% steps from 0.1 ms.
type histogram struct {
	buckets [1400]float64
	total   float64
}

// latencyPoints are quantiles of the normal distribution, with equal weights
// over the body and finer ones in the tail.
var latencyPoints = []struct{ z, weight float64 }{
	{-1.28, 0.2}, {-0.52, 0.2}, {0, 0.2}, {0.52, 0.2}, {1.04, 0.1},
	{1.44, 0.05}, {1.78, 0.025}, {2.05, 0.0125}, {2.33, 0.00625}, {2.65, 0.00625},
}

// bucketStep is the logarithm of the ratio of two adjacent buckets.
var bucketStep = math.Log(1.01)

// add records requests whose latency has the given median and the spread
// latencySigma.
func (h *histogram) add(median, requests float64) {
	middle := math.Log(median/0.1) / bucketStep
	for _, p := range latencyPoints {
		bucket := int(middle + latencySigma*p.z/bucketStep)
		h.buckets[min(max(bucket, 0), len(h.buckets)-1)] += requests * p.weight
	}
	h.total += requests
}

// quantile returns the latency in milliseconds at quantile q.
func (h *histogram) quantile(q float64) float64 {
	sum := 0.0
	for i, n := range h.buckets {
		sum += n
		if sum >= q*h.total {
			return 0.1 * math.Pow(1.01, float64(i))
		}
	}
	return math.Inf(1)
}
