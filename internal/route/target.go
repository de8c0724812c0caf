package route

import (
	"time"

	"redwingvale/internal/spec"
)

// notListed is the position of a target that is not in its tier's list.
const notListed = -1

// target is the book's state of one worker.
type target struct {
	worker  Worker
	tier    *tier
	listed  int
	present bool

	epoch       spec.Epoch
	sent        time.Duration
	granted     bool
	end         time.Duration
	slots       int
	connections int

	inUse  int
	starts []time.Duration

	faults  *faults
	leaving leavingMark
	health  health
	rank    uint64
}

// live reports whether the target's grant is valid at now.
func (t *target) live(now time.Duration) bool { return t.granted && now < t.end }

// usable reports whether a request may start on the target at now.
func (t *target) usable(now time.Duration) bool {
	if !t.present || t.health.ejected {
		return false
	}
	if t.leaving.marked() && !t.faults.ignoreLeaving {
		return false
	}
	if t.health.probation && t.inUse > 0 {
		return false
	}
	return (t.live(now) || t.faults.ignoreGrantEnd) && t.inUse < t.slots
}

// oldest returns the start of the oldest request in flight, or now.
func (t *target) oldest(now time.Duration) time.Duration {
	first := now
	for _, s := range t.starts {
		if s < first {
			first = s
		}
	}
	return first
}

func (t *target) removeStart(start time.Duration) {
	for i, s := range t.starts {
		if s == start {
			last := len(t.starts) - 1
			t.starts[i] = t.starts[last]
			t.starts = t.starts[:last]
			return
		}
	}
}

// score orders two candidates; the smaller one is chosen. It multiplies the
// recent latency, or the age of an unanswered request when that is larger, by
// the number of requests that the target would have.
func (t *target) score(now time.Duration, baseline float64) float64 {
	latency := t.health.latency
	if latency == 0 {
		latency = baseline
	}
	age := float64(now - t.oldest(now))
	if age > latency {
		latency = age
	}
	return (latency + 1) * float64(t.inUse+1)
}

// tier is the set of a service's targets with the same preference.
type tier struct {
	all    []*target
	listed []*target
	// baseline is the usual latency of the tier in nanoseconds, or 0.
	baseline float64
	samples  int
	ejected  []*target
	// nextReturn is the earliest end of an ejection.
	nextReturn time.Duration
}

func (r *tier) list(t *target) {
	if t.listed != notListed {
		return
	}
	t.listed = len(r.listed)
	r.listed = append(r.listed, t)
}

func (r *tier) unlist(t *target) {
	if t.listed == notListed {
		return
	}
	last := len(r.listed) - 1
	moved := r.listed[last]
	r.listed[t.listed] = moved
	moved.listed = t.listed
	r.listed = r.listed[:last]
	t.listed = notListed
}

// refresh lists the target when it is usable and unlists it when it is not.
func (t *target) refresh(now time.Duration) {
	if t.tier == nil {
		return
	}
	if t.usable(now) {
		t.tier.list(t)
		return
	}
	t.tier.unlist(t)
}
