// Package headroom keeps slots free where urgent requests are likely to need
// them again soon, so that fewer batch tasks have to be evicted.
//
// With the slots granted to urgent requests now, their peak over the last 2 to
// 4 minutes, and growth = the rise of their 2-minute mean, at least 0:
//
//	wanted = max(peak - granted, growth)
//	left   = free slots - slots of the task - wanted
//	score  = 0 for left <= -2, rising by 0.25 with each slot up to 1
package headroom

import (
	"time"

	"redwingvale/internal/framework"
	"redwingvale/internal/spec"
)

// Name is the name of the plug-in.
const Name = "headroom"

const (
	// window is the length of each of the two recorded periods.
	window = 2 * time.Minute
	// zeroScoreSlots is the number of slots left at or below which the score is 0.
	zeroScoreSlots = -2.0
	// scorePerSlot is the score for each slot above zeroScoreSlots.
	scorePerSlot = 0.25
)

func init() { framework.Register(Name, New) }

// period summarizes the grants of one window.
type period struct {
	peak int64
	// area is slots times seconds, length is the seconds covered.
	area   float64
	length float64
}

// grantHistory is the history of the slots granted on one worker.
type grantHistory struct {
	periodStart       time.Duration
	updatedAt         time.Duration
	granted           int64
	current, previous period
}

// Plugin implements score.
type Plugin struct{ records []grantHistory }

var (
	_ framework.Scorer       = (*Plugin)(nil)
	_ framework.GrantWatcher = (*Plugin)(nil)
)

// New returns the plug-in.
func New(framework.Config) framework.Plugin { return &Plugin{} }

// Name implements framework.Plugin.
func (*Plugin) Name() string { return Name }

// OnGrantChange records a change of the grants.
func (p *Plugin) OnGrantChange(c *framework.Cluster, w *framework.Worker, granted spec.Resources) {
	for len(p.records) < len(c.Workers) {
		p.records = append(p.records, grantHistory{})
	}
	p.records[w.Index].add(granted.Slots, c.Now)
}

// Score prefers workers that keep enough slots free for urgent requests.
func (p *Plugin) Score(c *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) float64 {
	left := float64(w.Capacity.Slots - w.Granted.Slots - w.Reserved.Slots - t.Need.Slots)
	if w.Index < len(p.records) {
		left -= p.records[w.Index].expectedDemand(c.Now)
	}
	return min(1, max(0, (left-zeroScoreSlots)*scorePerSlot))
}

// add extends the history to now and records the new grant.
func (r *grantHistory) add(slots int64, now time.Duration) {
	r.current.addConstant(r.granted, now-r.updatedAt)
	if now-r.periodStart >= window {
		r.previous, r.current, r.periodStart = r.current, period{}, now
	}
	r.granted, r.updatedAt = slots, now
	r.current.peak = max(r.current.peak, slots)
}

// addConstant adds a span of time with a constant number of granted slots.
func (p *period) addConstant(slots int64, length time.Duration) {
	p.area += float64(slots) * length.Seconds()
	p.length += length.Seconds()
}

// mean returns the mean number of slots, or 0 for an empty period.
func (p *period) mean() float64 {
	if p.length == 0 {
		return 0
	}
	return p.area / p.length
}

// expectedDemand returns the additional slots that urgent requests are likely to
// need soon.
func (r *grantHistory) expectedDemand(now time.Duration) float64 {
	peak := float64(max(r.current.peak, r.previous.peak) - r.granted)
	if now-r.periodStart >= 2*window || r.previous.length == 0 {
		return max(0, peak)
	}
	recent := r.current
	recent.addConstant(r.granted, now-r.updatedAt)
	return max(0, peak, recent.mean()-r.previous.mean())
}
