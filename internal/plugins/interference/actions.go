package interference

import (
	"math"
	"time"

	"redwingvale/internal/framework"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// The thresholds of the actions. The gap between throttleShare and relaxShare
// keeps a worker from being throttled and relaxed in turn.
const (
	// throttleShare and relaxShare are shares of the target p99.
	throttleShare = 1.3
	relaxShare    = 0.8
	// reportsAbove is the number of successive reports above the target before
	// the first action, so that a load that clears by itself causes none.
	reportsAbove = 2
	// reportsBelow is the same for relaxing.
	reportsBelow = 3
	// minThrottle is the lowest processor share in percent.
	minThrottle = 20
	// moveShare and evictShare are the shares of the target above which a
	// throttled task is moved, and evicted with a tail share of 1.
	moveShare  = 1.5
	evictShare = 3.0
	// safeLaxity and riskyLaxity are slacks as multiples of the remaining run
	// time: a task needs the first to be slowed down, and below the second its
	// throttle is lifted whatever the latency.
	safeLaxity  = 1.0
	riskyLaxity = 0.5
	// movableLaxity is what a task needs to be moved because of interference.
	movableLaxity = 0.3
)

// count notes whether a report was above the target or well below it.
func (p *Plugin) count(s *state, w *framework.Worker) {
	m := p.modelOf(w)
	if m == nil {
		return
	}
	target := p.target(m, w)
	switch {
	case s.p99 > throttleShare*target:
		s.above++
		s.below = 0
	case s.p99 < relaxShare*target:
		s.below++
		s.above = 0
	default:
		s.above, s.below = 0, 0
	}
}

// Throttle slows the task that causes most of the latency, or relaxes one when
// the prediction without its throttle stays below the target.
func (p *Plugin) Throttle(c *framework.Cluster, w *framework.Worker, out []policy.Action) []policy.Action {
	m, s := p.modelOf(w), p.peek(w)
	if m == nil || s == nil {
		return out
	}
	if hurried := hurry(c, w); hurried != nil {
		return append(out, policy.Action{
			Kind: policy.ActionUnthrottle, Task: hurried.ID, ThrottlePercent: 100,
			Why: "the task would miss its deadline at this speed",
		})
	}
	if s.above >= reportsAbove {
		return p.slow(c, m, s, w, out)
	}
	if s.below >= reportsBelow {
		return p.relax(m, s, w, out)
	}
	return out
}

// slow proposes the throttle that brings the predicted p99 to the target.
func (p *Plugin) slow(c *framework.Cluster, m *model, s *state, w *framework.Worker, out []policy.Action) []policy.Action {
	worst, added := p.worst(c, m, s, w, func(t *framework.TaskInfo) bool {
		return t.ThrottledTo > minThrottle && canBeSlowed(c, t)
	})
	if worst == nil {
		return out
	}
	excess := s.p99 - relaxShare*p.target(m, w)
	left := 1 - excess/math.Max(added, 1e-9)
	percent := int(float64(worst.ThrottledTo)*left/10) * 10
	percent = max(percent, slowest(c, worst))
	if percent >= worst.ThrottledTo {
		return out
	}
	return append(out, policy.Action{
		Kind: policy.ActionThrottle, Task: worst.ID, ThrottlePercent: percent,
		Why: "the measured p99 is above the target and this task adds most to it",
	})
}

// slowest returns the lowest processor share in percent at which a task uses no
// more than half of its slack.
func slowest(c *framework.Cluster, t *framework.TaskInfo) int {
	return max(minThrottle, int(100/(1+laxity(c, t)/2)))
}

// relax proposes to lift one throttle.
func (p *Plugin) relax(m *model, s *state, w *framework.Worker, out []policy.Action) []policy.Action {
	for _, t := range w.Running {
		if t.ThrottledTo >= 100 || t.Stopping {
			continue
		}
		full := m.slowdown(t.NameIndex, s.position, s.share)
		after := math.Max(s.p99, m.base.mean(s.position, s.share)+s.sum) + full*(1-weight(t))
		if after > stopShare*p.target(m, w) {
			continue
		}
		return append(out, policy.Action{
			Kind: policy.ActionUnthrottle, Task: t.ID, ThrottlePercent: 100,
			Why: "the measured p99 is well below the target",
		})
	}
	return out
}

// worst returns the eligible task that adds most latency, and how much.
func (p *Plugin) worst(_ *framework.Cluster, m *model, s *state, w *framework.Worker, eligible func(*framework.TaskInfo) bool) (*framework.TaskInfo, float64) {
	var worst *framework.TaskInfo
	most := noticeable * p.target(m, w)
	for _, t := range w.Running {
		if t.Stopping || t.Class == spec.LongRunning || !eligible(t) {
			continue
		}
		below, above := m.position(s.load)
		added := weight(t) * m.kind(t.NameIndex).mean(below, above)
		if added > most {
			worst, most = t, added
		}
	}
	return worst, most
}

// hurry returns a throttled task that has become urgent, or nil.
func hurry(c *framework.Cluster, w *framework.Worker) *framework.TaskInfo {
	for _, t := range w.Running {
		if t.ThrottledTo < 100 && !t.Stopping && laxity(c, t) < riskyLaxity {
			return t
		}
	}
	return nil
}

// laxity returns the slack of a task as a multiple of its remaining run time.
func laxity(c *framework.Cluster, t *framework.TaskInfo) float64 {
	if t.Deadline == 0 {
		return math.Inf(1)
	}
	left := max(t.Remaining(), time.Second)
	return float64(t.Deadline-c.Now-left) / float64(left)
}

// canBeSlowed reports whether a task has the laxity to run slower.
func canBeSlowed(c *framework.Cluster, t *framework.TaskInfo) bool {
	return laxity(c, t) > safeLaxity
}

// Evict moves, and in the end evicts, a task that a throttle did not tame or
// that has no time to be throttled.
func (p *Plugin) Evict(c *framework.Cluster, w *framework.Worker, need spec.Resources, out []policy.Action) []policy.Action {
	m, s := p.modelOf(w), p.peek(w)
	if m == nil || s == nil || !need.IsZero() || s.above < reportsAbove {
		return out
	}
	target := p.target(m, w)
	share := c.Profile(w.ServiceIndex).TailShare
	if share == 0 || s.p99 < target*moveShare/(0.5+share) {
		return out
	}
	if len(p.slow(c, m, s, w, nil)) > 0 {
		return out
	}
	worst, _ := p.worst(c, m, s, w, func(t *framework.TaskInfo) bool {
		return t.ThrottledTo <= slowest(c, t) || (!canBeSlowed(c, t) && laxity(c, t) > movableLaxity)
	})
	if worst == nil {
		return out
	}
	kind := policy.ActionMove
	if s.p99*share > target*evictShare {
		kind = policy.ActionEvict
	}
	return append(out, policy.Action{
		Kind: kind, Task: worst.ID,
		Why: "the measured p99 stays above the target and this task adds most to it",
	})
}

func sqrt(v float64) float64 { return math.Sqrt(v) }
