// Package sizes plans with what tasks of the same team and kind really used,
// and acts when running tasks grow past their reservations.
//
// With the ratios peak memory / declared memory of the last 64 tasks,
// reservations are at least the declaration:
//
//	need = declared * min(2, max(1, median ratio)), at most the largest worker
//
// Processors are reserved as declared: a shortage slows tasks and kills none,
// and what it does to the service is learned by the plug-in interference.
//
// Filter: the peaks of a worker's tasks together stay within its memory at the
// 99% quantile, with m_i and v_i the mean and variance of task i's predicted
// peak. A quantile for each task would add up to far more than is used:
//
//	sum(m_i) + 2.33 * sqrt(sum(v_i)) + granted <= capacity
//
// Growth, with used_i the reported memory of task i and g_i its growth between
// the last two reports, extrapolated over two measurement lags: the task
// furthest above its declaration moves when
//
//	sum(used_i + g_i) + granted > 0.92 * capacity
//
// Score: the share of memory that stays unused by measurement, 0 to 1.
package sizes

import (
	"math"
	"time"

	"redwingvale/internal/framework"
	"redwingvale/internal/plugins/sample"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Name is the name of the plug-in.
const Name = "sizes"

const (
	// median is the quantile that one task reserves.
	median = 0.5
	// maxRatio bounds the reservation as a multiple of the declaration.
	maxRatio = 2.0
	// safety is the normal deviate of the 99% quantile.
	safety = 2.33
	// fewSamples is the history below which declarations are trusted only
	// within unknownSpread of their amount.
	fewSamples    = 5
	unknownSpread = 0.3
	// dangerShare is the share of a worker's memory above which growth is
	// acted on.
	dangerShare = 0.92
	// lookaheadLags is how many measurement lags growth is extrapolated over:
	// one until the action has an effect, one for the report's own age.
	lookaheadLags = 2
)

func init() { framework.Register(Name, New) }

// kind is what is known about one team and kind.
type kind struct{ memory sample.Window }

// demand sums up the predicted peaks of a worker's tasks.
type demand struct{ mean, variance float64 }

// Plugin learns sizes and implements filter, score, reserve and evict.
type Plugin struct {
	kinds   []kind
	demands []demand
}

var (
	_ framework.Filterer  = (*Plugin)(nil)
	_ framework.Reserver  = (*Plugin)(nil)
	_ framework.Learner   = (*Plugin)(nil)
	_ framework.Estimator = (*Plugin)(nil)
	_ framework.Evicter   = (*Plugin)(nil)
	_ framework.Scorer    = (*Plugin)(nil)
)

// New returns the plug-in.
func New(framework.Config) framework.Plugin { return &Plugin{} }

// Name implements framework.Plugin.
func (*Plugin) Name() string { return Name }

// Observe does nothing: the kernel keeps use and peak of each task.
func (*Plugin) Observe(*framework.Cluster, *framework.Worker, *policy.Report) {}

// Learn takes the peaks of a task in. A task that did not finish counts only
// when it used more than it declared, because its peak may lie ahead.
func (p *Plugin) Learn(c *framework.Cluster, t *framework.TaskInfo, end policy.EndKind, _ time.Duration) {
	if t.Peak.IsZero() {
		return
	}
	k := p.of(c, t)
	finished := end == policy.EndDone
	if ratio, ok := ratio(t.Peak.MemoryMiB, t.Resources.MemoryMiB); ok && (finished || ratio > 1) {
		k.memory.Add(ratio)
	}
}

// Estimate raises Need to the typical use of the kind and predicts the peak.
func (p *Plugin) Estimate(c *framework.Cluster, t *framework.TaskInfo) {
	k := p.of(c, t)
	t.Need.MemoryMiB = raise(t.Resources.MemoryMiB, k.memory.UpperQuantile(median), c.Largest.MemoryMiB)
	mean, spread := k.memory.Mean(), math.Sqrt(k.memory.Variance())
	if k.memory.Len() < fewSamples {
		mean, spread = max(1, mean), unknownSpread
	}
	declared := float64(t.Resources.MemoryMiB)
	t.PeakMean = mean * declared
	t.PeakVariance = spread * spread * declared * declared
}

// Filter refuses a worker whose memory the tasks' peaks could exceed together.
// An empty worker takes any task, because no other could take it better, and a
// task past its latest start is not held back.
func (p *Plugin) Filter(c *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) framework.Status {
	if len(w.Running) == 0 || w.Index >= len(p.demands) || t.LatestStart < c.Now {
		return framework.Status{}
	}
	d := p.demands[w.Index]
	peak := d.mean + t.PeakMean + safety*math.Sqrt(d.variance+t.PeakVariance)
	if peak <= float64(w.Capacity.MemoryMiB-w.Granted.MemoryMiB) {
		return framework.Status{}
	}
	return framework.Refuse(Name, "the predicted peaks exceed the memory", framework.CapacityFreed|framework.WorkersChanged)
}

// Reserve counts the predicted peak. It always succeeds.
func (p *Plugin) Reserve(c *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) framework.Status {
	for len(p.demands) < len(c.Workers) {
		p.demands = append(p.demands, demand{})
	}
	d := &p.demands[w.Index]
	d.mean += t.PeakMean
	d.variance += t.PeakVariance
	return framework.Status{}
}

// Unreserve takes the predicted peak out of the count.
func (p *Plugin) Unreserve(_ *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) {
	d := &p.demands[w.Index]
	d.mean = max(0, d.mean-t.PeakMean)
	d.variance = max(0, d.variance-t.PeakVariance)
}

// Score prefers workers whose measured memory leaves most unused.
func (p *Plugin) Score(_ *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) float64 {
	if w.Capacity.MemoryMiB == 0 {
		return 0
	}
	used := w.Granted.MemoryMiB + w.UsedMiB + t.Need.MemoryMiB
	return max(0, 1-float64(used)/float64(w.Capacity.MemoryMiB))
}

// Evict proposes to move the task that has grown furthest past its
// declaration from a worker whose memory is about to run out.
func (p *Plugin) Evict(c *framework.Cluster, w *framework.Worker, need spec.Resources, out []policy.Action) []policy.Action {
	if !need.IsZero() {
		return out
	}
	limit := int64(dangerShare * float64(w.Capacity.MemoryMiB))
	ahead := w.Granted.MemoryMiB
	var worst *framework.TaskInfo
	for _, t := range w.Running {
		if t.Stopping {
			continue
		}
		ahead += t.Used.MemoryMiB + growth(c, t)
		if worst == nil || excess(t) > excess(worst) {
			worst = t
		}
	}
	if ahead <= limit || worst == nil || excess(worst) <= 0 {
		return out
	}
	why := "memory grows past the declaration and the worker is close to its limit"
	return append(out, policy.Action{Kind: policy.ActionMove, Task: worst.ID, Why: why})
}

// excess returns the MiB that a task uses above its declaration.
func excess(t *framework.TaskInfo) int64 { return t.Used.MemoryMiB - t.Resources.MemoryMiB }

// growth returns the MiB that a task gains over the lookahead at its last rate.
func growth(c *framework.Cluster, t *framework.TaskInfo) int64 {
	if t.MemoryRate <= 0 {
		return 0
	}
	return int64(t.MemoryRate * lookaheadLags * c.Lag.Seconds())
}

// raise returns declared * min(2, max(1, ratio)), at most the largest worker's amount
// unless the declaration is larger.
func raise(declared int64, ratio float64, largest int64) int64 {
	wanted := int64(float64(declared) * min(maxRatio, max(1, ratio)))
	return max(declared, min(wanted, largest))
}

// ratio returns used/declared and whether it is defined.
func ratio(used, declared int64) (float64, bool) {
	if declared <= 0 || used <= 0 {
		return 0, false
	}
	return float64(used) / float64(declared), true
}

func (p *Plugin) of(c *framework.Cluster, t *framework.TaskInfo) *kind {
	for len(p.kinds) < len(c.Kinds) {
		p.kinds = append(p.kinds, kind{})
	}
	return &p.kinds[t.KindIndex]
}
