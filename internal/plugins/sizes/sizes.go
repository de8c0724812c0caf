// Package sizes predicts memory use from the measured use of tasks of the same
// team and kind, and moves running tasks that grow past their declarations.
//
// With the ratios peak memory / declared memory of the last 64 tasks,
// reservations are at least the declaration:
//
//	need = declared * min(2, max(1, median ratio)), at most the largest worker
//
// Processors are reserved as declared: a shortage slows tasks without killing
// them, and the plug-in interference learns its effect on the service.
//
// Filter: the peaks of a worker's tasks together stay within its memory at the
// 99% quantile, with m_i and v_i the mean and variance of task i's predicted
// peak. The sum of a quantile per task would far exceed the actual use:
//
//	sum(m_i) + 2.33 * sqrt(sum(v_i)) + granted <= capacity
//
// Growth, with used_i the reported memory of task i and g_i its growth between
// the last two reports, extrapolated over two measurement lags: the task
// furthest above its declaration moves when
//
//	sum(used_i + g_i) + granted > 0.92 * capacity
//
// Score: the share of memory that stays unused according to reports, 0 to 1.
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
	// median is the quantile of the use that a task reserves.
	median = 0.5
	// maxRatio bounds the reservation as a multiple of the declaration.
	maxRatio = 2.0
	// peakDeviate is the standard normal deviate of the 99% quantile.
	peakDeviate = 2.33
	// minSamples is the number of samples below which peaks are assumed to
	// deviate from the declaration by priorSpread of its amount.
	minSamples  = 5
	priorSpread = 0.3
	// memoryLimitShare is the share of a worker's memory that its predicted use
	// must exceed for a task to be moved.
	memoryLimitShare = 0.92
	// lookaheadLags is the number of measurement lags over which growth is
	// extrapolated: one until the action has an effect, one for the report's age.
	lookaheadLags = 2
)

func init() { framework.Register(Name, New) }

// kindHistory is the measured use of one team and kind.
type kindHistory struct{ memory sample.Window }

// peakDemand is the sum of the predicted peaks of a worker's tasks.
type peakDemand struct{ mean, variance float64 }

// Plugin learns sizes and implements filter, score, reserve and evict.
type Plugin struct {
	kinds   []kindHistory
	demands []peakDemand
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

// Observe does nothing: the kernel records use and peak of each task.
func (*Plugin) Observe(*framework.Cluster, *framework.Worker, *policy.Report) {}

// Learn adds the peak of a task. A task that did not finish counts only when it
// used more than it declared, because it may not have reached its peak.
func (p *Plugin) Learn(c *framework.Cluster, t *framework.TaskInfo, end policy.EndKind, _ time.Duration) {
	if t.Peak.IsZero() {
		return
	}
	k := p.historyOf(c, t)
	finished := end == policy.EndDone
	if ratio, ok := ratio(t.Peak.MemoryMiB, t.Resources.MemoryMiB); ok && (finished || ratio > 1) {
		k.memory.Add(ratio)
	}
}

// Estimate raises Need to the typical use of the kind and predicts the peak.
func (p *Plugin) Estimate(c *framework.Cluster, t *framework.TaskInfo) {
	k := p.historyOf(c, t)
	t.Need.MemoryMiB = raisedNeed(t.Resources.MemoryMiB, k.memory.UpperQuantile(median), c.Largest.MemoryMiB)
	mean, spread := k.memory.Mean(), math.Sqrt(k.memory.Variance())
	if k.memory.Len() < minSamples {
		mean, spread = max(1, mean), priorSpread
	}
	declared := float64(t.Resources.MemoryMiB)
	t.PeakMean = mean * declared
	t.PeakVariance = spread * spread * declared * declared
}

// Filter refuses a worker whose memory the peaks of its tasks could exceed
// together. It accepts any task on an empty worker, because no worker suits the
// task better, and a task past its latest start on any worker.
func (p *Plugin) Filter(c *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) framework.Status {
	if len(w.Running) == 0 || w.Index >= len(p.demands) || t.LatestStart < c.Now {
		return framework.Status{}
	}
	d := p.demands[w.Index]
	peak := d.mean + t.PeakMean + peakDeviate*math.Sqrt(d.variance+t.PeakVariance)
	if peak <= float64(w.Capacity.MemoryMiB-w.Granted.MemoryMiB) {
		return framework.Status{}
	}
	return framework.Refuse(Name, "the predicted peaks exceed the memory", framework.CapacityFreed|framework.WorkersChanged)
}

// Reserve adds the predicted peak to the worker's demand. It always succeeds.
func (p *Plugin) Reserve(c *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) framework.Status {
	for len(p.demands) < len(c.Workers) {
		p.demands = append(p.demands, peakDemand{})
	}
	d := &p.demands[w.Index]
	d.mean += t.PeakMean
	d.variance += t.PeakVariance
	return framework.Status{}
}

// Unreserve subtracts the predicted peak from the worker's demand.
func (p *Plugin) Unreserve(_ *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) {
	d := &p.demands[w.Index]
	d.mean = max(0, d.mean-t.PeakMean)
	d.variance = max(0, d.variance-t.PeakVariance)
}

// Score prefers workers with the largest share of unused memory by measurement.
func (p *Plugin) Score(_ *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) float64 {
	if w.Capacity.MemoryMiB == 0 {
		return 0
	}
	used := w.Granted.MemoryMiB + w.UsedMiB + t.Need.MemoryMiB
	return max(0, 1-float64(used)/float64(w.Capacity.MemoryMiB))
}

// Evict proposes to move the task that has grown furthest past its declaration
// from a worker whose memory is about to be exhausted.
func (p *Plugin) Evict(c *framework.Cluster, w *framework.Worker, need spec.Resources, out []policy.Action) []policy.Action {
	if !need.IsZero() {
		return out
	}
	limit := int64(memoryLimitShare * float64(w.Capacity.MemoryMiB))
	predicted := w.Granted.MemoryMiB
	var worst *framework.TaskInfo
	for _, t := range w.Running {
		if t.Stopping {
			continue
		}
		predicted += t.Used.MemoryMiB + growth(c, t)
		if worst == nil || excess(t) > excess(worst) {
			worst = t
		}
	}
	if predicted <= limit || worst == nil || excess(worst) <= 0 {
		return out
	}
	why := "memory grows past the declaration and the worker is close to its limit"
	return append(out, policy.Action{Kind: policy.ActionMove, Task: worst.ID, Why: why})
}

// excess returns the memory in MiB that a task uses above its declaration.
func excess(t *framework.TaskInfo) int64 { return t.Used.MemoryMiB - t.Resources.MemoryMiB }

// growth returns the MiB by which a task grows over the lookahead at its last
// rate.
func growth(c *framework.Cluster, t *framework.TaskInfo) int64 {
	if t.MemoryRate <= 0 {
		return 0
	}
	return int64(t.MemoryRate * lookaheadLags * c.Lag.Seconds())
}

// raisedNeed returns declared * min(2, max(1, ratio)), at most the largest
// worker's amount unless the declaration is larger.
func raisedNeed(declared int64, ratio float64, largest int64) int64 {
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

func (p *Plugin) historyOf(c *framework.Cluster, t *framework.TaskInfo) *kindHistory {
	for len(p.kinds) < len(c.Kinds) {
		p.kinds = append(p.kinds, kindHistory{})
	}
	return &p.kinds[t.KindIndex]
}
