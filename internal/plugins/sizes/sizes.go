// Package sizes reserves what tasks of the same team and kind really used, and
// acts when a running task grows past its reservation.
//
// With the ratios peak use / declared amount of the last 64 tasks, for memory
// and processors, reservations are at least the declaration:
//
//	need = declared * max(1, Safe(0.95)) for memory,
//	need = declared * min(2, max(1, Safe(0.75))) for processors,
//	       at most the largest worker
//
// Growth, per worker, with used_i the reported memory of task i and g_i its
// growth between the last two reports, extrapolated over two measurement lags:
//
//	move the task furthest above its declaration when
//	sum(used_i + g_i) + granted > 0.92 * capacity
//
// Score: the share of memory that stays unused by measurement, 0 to 1.
package sizes

import (
	"time"

	"redwingvale/internal/framework"
	"redwingvale/internal/plugins/sample"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Name is the name of the plug-in.
const Name = "sizes"

const (
	memoryQuantile = 0.95
	cpuQuantile    = 0.75
	// maxCPURatio bounds the processors reserved above the declaration,
	// because a shortage of processors slows a task and does not kill it.
	maxCPURatio = 2.0
	// dangerShare is the share of a worker's memory above which growth is
	// acted on.
	dangerShare = 0.92
	// lookaheadLags is how many measurement lags growth is extrapolated over:
	// one until the action has an effect, one for the report's own age.
	lookaheadLags = 2
)

func init() { framework.Register(Name, New) }

// kind is what is known about one team and kind.
type kind struct {
	memory sample.Window
	cpu    sample.Window
}

// Plugin learns sizes and implements evict and score.
type Plugin struct{ kinds []kind }

var (
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
func (p *Plugin) Learn(c *framework.Cluster, t *framework.Item, end policy.EndKind, _ time.Duration) {
	if t.Peak.IsZero() {
		return
	}
	k := p.of(c, t)
	finished := end == policy.EndDone
	if ratio, ok := ratio(t.Peak.MemoryMiB, t.Resources.MemoryMiB); ok && (finished || ratio > 1) {
		k.memory.Add(ratio)
	}
	if ratio, ok := ratio(t.Peak.MilliCPU, t.Resources.MilliCPU); ok && (finished || ratio > 1) {
		k.cpu.Add(ratio)
	}
}

// Estimate raises Need to what the kind is known to use.
func (p *Plugin) Estimate(c *framework.Cluster, t *framework.Item) {
	k := p.of(c, t)
	t.Need.MemoryMiB = raise(t.Resources.MemoryMiB, k.memory.Safe(memoryQuantile), c.Largest.MemoryMiB)
	cpu := min(maxCPURatio, k.cpu.Safe(cpuQuantile))
	t.Need.MilliCPU = raise(t.Resources.MilliCPU, cpu, c.Largest.MilliCPU)
}

// Score prefers workers whose measured memory leaves most unused.
func (p *Plugin) Score(_ *framework.Cluster, t *framework.Item, w *framework.Worker) float64 {
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
	var worst *framework.Item
	for _, t := range w.Running {
		if t.Leaving {
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
func excess(t *framework.Item) int64 { return t.Used.MemoryMiB - t.Resources.MemoryMiB }

// growth returns the MiB that a task gains over the lookahead at its last rate.
func growth(c *framework.Cluster, t *framework.Item) int64 {
	if t.MemoryRate <= 0 {
		return 0
	}
	return int64(t.MemoryRate * lookaheadLags * c.Lag.Seconds())
}

// raise returns declared * max(1, ratio), at most the largest worker's amount
// unless the declaration is larger.
func raise(declared int64, ratio float64, largest int64) int64 {
	wanted := int64(float64(declared) * max(1, ratio))
	return max(declared, min(wanted, largest))
}

// ratio returns used/declared and whether it is defined.
func ratio(used, declared int64) (float64, bool) {
	if declared <= 0 || used <= 0 {
		return 0, false
	}
	return float64(used) / float64(declared), true
}

func (p *Plugin) of(c *framework.Cluster, t *framework.Item) *kind {
	for len(p.kinds) < len(c.Kinds) {
		p.kinds = append(p.kinds, kind{})
	}
	return &p.kinds[t.KindIndex]
}
