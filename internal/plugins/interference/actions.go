package interference

import (
	"math"
	"time"

	"redwingvale/internal/framework"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// The thresholds of the actions. The gap between throttleShare and
// unthrottleShare prevents alternate throttling and unthrottling.
const (
	// throttleShare and unthrottleShare are shares of the target p99.
	throttleShare   = 1.3
	unthrottleShare = 0.8
	// reportsAbove is the number of successive reports above the target before
	// the first action, so that a latency peak that clears by itself causes
	// none.
	reportsAbove = 2
	// reportsBelow is the number of successive reports well below the target
	// before a throttle is lifted.
	reportsBelow = 3
	// minThrottle is the lowest processor share in percent.
	minThrottle = 20
	// moveShare and evictShare are the shares of the target above which a
	// throttled task is moved, and evicted at a tail share of 1.
	moveShare  = 1.5
	evictShare = 3.0
	// minThrottleLaxity and unthrottleLaxity are slacks as multiples of the
	// remaining run time: only a task with more than the first is throttled, and
	// below the second its throttle is lifted regardless of the latency.
	minThrottleLaxity = 1.0
	unthrottleLaxity  = 0.5
	// minMoveLaxity is the slack above which a task may be moved because of
	// interference.
	minMoveLaxity = 0.3
)

// countReport counts successive reports above the target and well below it.
func (p *Plugin) countReport(s *workerState, w *framework.Worker) {
	m := p.modelOf(w)
	if m == nil {
		return
	}
	target := p.target(m, w)
	switch {
	case s.p99 > throttleShare*target:
		s.above++
		s.below = 0
	case s.p99 < unthrottleShare*target:
		s.below++
		s.above = 0
	default:
		s.above, s.below = 0, 0
	}
}

// Throttle throttles the task that adds most latency, or lifts a throttle when
// the task needs the speed for its deadline or when the p99 predicted without
// the throttle stays below the target.
func (p *Plugin) Throttle(c *framework.Cluster, w *framework.Worker, out []policy.Action) []policy.Action {
	m, s := p.modelOf(w), p.knownState(w)
	if m == nil || s == nil {
		return out
	}
	if urgent := urgentThrottled(c, w); urgent != nil {
		return append(out, policy.Action{
			Kind: policy.ActionUnthrottle, Task: urgent.ID, ThrottlePercent: 100,
			Why: "the task would miss its deadline at this speed",
		})
	}
	if s.above >= reportsAbove {
		return p.proposeThrottle(c, m, s, w, out)
	}
	if s.below >= reportsBelow {
		return p.proposeUnthrottle(m, s, w, out)
	}
	return out
}

// proposeThrottle proposes the throttle that brings the predicted p99 below the
// target.
func (p *Plugin) proposeThrottle(c *framework.Cluster, m *model, s *workerState, w *framework.Worker, out []policy.Action) []policy.Action {
	worst, added := p.largestContributor(c, m, s, w, func(t *framework.TaskInfo) bool {
		return t.ThrottledTo > minThrottle && canThrottle(c, t)
	})
	if worst == nil {
		return out
	}
	excess := s.p99 - unthrottleShare*p.target(m, w)
	left := 1 - excess/math.Max(added, 1e-9)
	percent := int(float64(worst.ThrottledTo)*left/10) * 10
	percent = max(percent, lowestThrottle(c, worst))
	if percent >= worst.ThrottledTo {
		return out
	}
	return append(out, policy.Action{
		Kind: policy.ActionThrottle, Task: worst.ID, ThrottlePercent: percent,
		Why: "the measured p99 is above the target and this task adds most to it",
	})
}

// lowestThrottle returns the lowest processor share in percent at which a task
// uses no more than half of its slack.
func lowestThrottle(c *framework.Cluster, t *framework.TaskInfo) int {
	return max(minThrottle, int(100/(1+laxity(c, t)/2)))
}

// proposeUnthrottle proposes to lift one throttle.
func (p *Plugin) proposeUnthrottle(m *model, s *workerState, w *framework.Worker, out []policy.Action) []policy.Action {
	for _, t := range w.Running {
		if t.ThrottledTo >= 100 || t.Stopping {
			continue
		}
		full := m.slowdown(t.NameIndex, s.position, s.share)
		after := math.Max(s.p99, m.base.mean(s.position, s.share)+s.slowdownSum) + full*(1-throttleShareOf(t))
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

// largestContributor returns the eligible task that adds most latency, and how
// much it adds.
func (p *Plugin) largestContributor(_ *framework.Cluster, m *model, s *workerState, w *framework.Worker, eligible func(*framework.TaskInfo) bool) (*framework.TaskInfo, float64) {
	var worst *framework.TaskInfo
	most := minAddedShare * p.target(m, w)
	for _, t := range w.Running {
		if t.Stopping || t.Class == spec.LongRunning || !eligible(t) {
			continue
		}
		below, above := m.position(s.load)
		added := throttleShareOf(t) * m.kind(t.NameIndex).mean(below, above)
		if added > most {
			worst, most = t, added
		}
	}
	return worst, most
}

// urgentThrottled returns a throttled task with less slack than
// unthrottleLaxity, or nil.
func urgentThrottled(c *framework.Cluster, w *framework.Worker) *framework.TaskInfo {
	for _, t := range w.Running {
		if t.ThrottledTo < 100 && !t.Stopping && laxity(c, t) < unthrottleLaxity {
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

// canThrottle reports whether a task has enough laxity to be throttled.
func canThrottle(c *framework.Cluster, t *framework.TaskInfo) bool {
	return laxity(c, t) > minThrottleLaxity
}

// Evict proposes to move, or at a higher p99 to evict, a task that is throttled
// as far as possible or that has too little laxity to be throttled.
func (p *Plugin) Evict(c *framework.Cluster, w *framework.Worker, need spec.Resources, out []policy.Action) []policy.Action {
	m, s := p.modelOf(w), p.knownState(w)
	if m == nil || s == nil || !need.IsZero() || s.above < reportsAbove {
		return out
	}
	target := p.target(m, w)
	share := c.Profile(w.ServiceIndex).TailShare
	if share == 0 || s.p99 < target*moveShare/(0.5+share) {
		return out
	}
	if len(p.proposeThrottle(c, m, s, w, nil)) > 0 {
		return out
	}
	worst, _ := p.largestContributor(c, m, s, w, func(t *framework.TaskInfo) bool {
		return t.ThrottledTo <= lowestThrottle(c, t) || (!canThrottle(c, t) && laxity(c, t) > minMoveLaxity)
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
