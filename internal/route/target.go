package route

import (
	"time"

	"redwingvale/internal/spec"
)

// notUsable is the usableIndex of a target that is not in its tier's list.
const notUsable = -1

// target is the router's state of one worker.
type target struct {
	worker      Worker
	tier        *tier
	usableIndex int
	inView      bool

	epoch       spec.Epoch
	grantSent   time.Duration
	hasGrant    bool
	grantEnd    time.Duration
	slots       int
	connections int

	inUse      int
	startTimes []time.Duration

	mutations *mutations
	leaving   leavingMarks
	health    health
	rank      uint64
}

// grantValid reports whether the target's grant is valid at now.
func (t *target) grantValid(now time.Duration) bool { return t.hasGrant && now < t.grantEnd }

// usable reports whether a request may start on the target at now.
func (t *target) usable(now time.Duration) bool {
	if !t.inView || t.health.ejected {
		return false
	}
	if t.leaving.marked() && !t.mutations.ignoreLeaving {
		return false
	}
	if t.health.probation && t.inUse > 0 {
		return false
	}
	return (t.grantValid(now) || t.mutations.ignoreGrantEnd) && t.inUse < t.slots
}

// oldestStart returns the start of the oldest request in flight, or now.
func (t *target) oldestStart(now time.Duration) time.Duration {
	first := now
	for _, s := range t.startTimes {
		if s < first {
			first = s
		}
	}
	return first
}

func (t *target) removeStartTime(start time.Duration) {
	for i, s := range t.startTimes {
		if s == start {
			last := len(t.startTimes) - 1
			t.startTimes[i] = t.startTimes[last]
			t.startTimes = t.startTimes[:last]
			return
		}
	}
}

// score returns the cost of a request to the target; the candidate with the
// smaller score is chosen. It multiplies the recent latency, or the age of the
// oldest request in flight if that is larger, by the number of requests that the
// target would have in flight.
func (t *target) score(now time.Duration, baseline float64) float64 {
	latency := t.health.latency
	if latency == 0 {
		latency = baseline
	}
	age := float64(now - t.oldestStart(now))
	if age > latency {
		latency = age
	}
	return (latency + 1) * float64(t.inUse+1)
}

// tier is the set of a service's targets with the same preference.
type tier struct {
	all    []*target
	usable []*target
	// baseline is the average latency of the tier in nanoseconds, or 0.
	baseline float64
	samples  int
	ejected  []*target
	// nextEjectionEnd is the earliest end of an ejection.
	nextEjectionEnd time.Duration
}

func (tr *tier) addUsable(t *target) {
	if t.usableIndex != notUsable {
		return
	}
	t.usableIndex = len(tr.usable)
	tr.usable = append(tr.usable, t)
}

func (tr *tier) removeUsable(t *target) {
	if t.usableIndex == notUsable {
		return
	}
	last := len(tr.usable) - 1
	moved := tr.usable[last]
	tr.usable[t.usableIndex] = moved
	moved.usableIndex = t.usableIndex
	tr.usable = tr.usable[:last]
	t.usableIndex = notUsable
}

// updateUsable adds the target to its tier's list of usable targets or removes
// it, as usable reports.
func (t *target) updateUsable(now time.Duration) {
	if t.tier == nil {
		return
	}
	if t.usable(now) {
		t.tier.addUsable(t)
		return
	}
	t.tier.removeUsable(t)
}
