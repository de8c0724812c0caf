// Package headroom keeps slots free where urgent requests are likely to want
// them back, so that fewer batch tasks have to leave again.
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
	// window is the length of one of the two periods that are remembered.
	window = 2 * time.Minute
	// lowest is the number of missing slots at which the score is 0.
	lowest = -2.0
	// step is the score of one slot.
	step = 0.25
)

func init() { framework.Register(Name, New) }

// period sums up the grants of one window.
type period struct {
	peak int64
	// area is slots times seconds, length the seconds covered.
	area   float64
	length float64
}

// record is what is known about one worker.
type record struct {
	from          time.Duration
	at            time.Duration
	granted       int64
	current, last period
}

// Plugin implements score.
type Plugin struct{ records []record }

var (
	_ framework.Scorer       = (*Plugin)(nil)
	_ framework.GrantWatcher = (*Plugin)(nil)
)

// New returns the plug-in.
func New(framework.Config) framework.Plugin { return &Plugin{} }

// Name implements framework.Plugin.
func (*Plugin) Name() string { return Name }

// OnGrantChange takes a change of the grants in.
func (p *Plugin) OnGrantChange(c *framework.Cluster, w *framework.Worker, granted spec.Resources) {
	for len(p.records) < len(c.Workers) {
		p.records = append(p.records, record{})
	}
	p.records[w.Index].add(granted.Slots, c.Now)
}

// Score prefers workers that keep enough slots for urgent requests.
func (p *Plugin) Score(c *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) float64 {
	left := float64(w.Capacity.Slots - w.Granted.Slots - w.Reserved.Slots - t.Need.Slots)
	if w.Index < len(p.records) {
		left -= p.records[w.Index].wanted(c.Now)
	}
	return min(1, max(0, (left-lowest)*step))
}

// add moves the record to now and notes the new grant.
func (r *record) add(slots int64, now time.Duration) {
	r.current.cover(r.granted, now-r.at)
	if now-r.from >= window {
		r.last, r.current, r.from = r.current, period{}, now
	}
	r.granted, r.at = slots, now
	r.current.peak = max(r.current.peak, slots)
}

// cover adds a time with constant grants.
func (p *period) cover(slots int64, length time.Duration) {
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

// wanted returns the slots that urgent requests may want back soon.
func (r *record) wanted(now time.Duration) float64 {
	peak := float64(max(r.current.peak, r.last.peak) - r.granted)
	if now-r.from >= 2*window || r.last.length == 0 {
		return max(0, peak)
	}
	recent := r.current
	recent.cover(r.granted, now-r.at)
	return max(0, peak, recent.mean()-r.last.mean())
}
