package route

import "time"

// The parameters of outlier ejection.
const (
	// latencyWeight is the weight of a new sample in a target's average.
	latencyWeight = 0.2
	// baselineWeight is the weight of a sample in the tier's average.
	baselineWeight = 0.01
	// probationWeight is the weight of a sample of a target on probation, which
	// is decided on few samples.
	probationWeight = 0.5
	// baselineClip limits a sample of the tier's average, in multiples of the
	// average.
	baselineClip = 4.0
	// outlierFactor is the multiple of the tier's average above which a target
	// is ejected. With a factor of 3 and averages initialised from one sample,
	// exponential service times alone ejected half of the targets.
	outlierFactor = 4.0
	// minSamples is the number of samples that a tier needs before a target can
	// be an outlier by latency.
	minSamples = 30
	// outlierMargin prevents ejections due to scheduling noise in very fast
	// tiers.
	outlierMargin = 5 * time.Millisecond
	// failuresToEject is the number of failures in a row that eject a target.
	failuresToEject = 3
	// baseEjectionTime is the length of the first ejection; each further one is
	// twice as long.
	baseEjectionTime = 5 * time.Second
	maxEjectionTime  = 40 * time.Second
	// minRemainingShare is the least share of a tier's targets that remains after
	// ejections.
	minRemainingShare = 0.5
)

// health is the outlier detection state of one target.
type health struct {
	// latency is the weighted average in nanoseconds, or 0 without a sample.
	latency  float64
	failures int

	ejected      bool
	ejectedUntil time.Duration
	ejections    int
	// probation allows one request at a time until one succeeds.
	probation bool
}

// addLatency adds a latency sample and reports whether the target is an outlier.
// A target without samples starts at the tier's average, so that one long
// request does not eject it.
func (h *health) addLatency(latency time.Duration, baseline float64, samples int) bool {
	if h.latency == 0 || h.probation {
		h.latency = baseline
	}
	if h.latency == 0 {
		h.latency = float64(latency)
	}
	weight := latencyWeight
	if h.probation {
		weight = probationWeight
	}
	h.latency += weight * (float64(latency) - h.latency)
	return samples >= minSamples && h.latency > outlierFactor*baseline+float64(outlierMargin)
}

// addSuccess resets the failures and ends probation.
func (h *health) addSuccess() {
	h.failures = 0
	if h.probation {
		h.probation = false
		h.ejections = 0
	}
}

// addFailure counts a failure and reports whether the target is an outlier.
func (h *health) addFailure() bool {
	h.failures++
	return h.failures >= failuresToEject || h.probation
}

// addLatency adds a latency sample to the tier's average. The first samples count
// equally, so that one short request does not set the average.
func (tr *tier) addLatency(latency time.Duration) {
	value := float64(latency)
	tr.samples++
	weight := max(1/float64(tr.samples), baselineWeight)
	if tr.samples > minSamples {
		value = min(value, baselineClip*tr.baseline)
	}
	tr.baseline += weight * (value - tr.baseline)
}

// eject takes the target out of use unless too few targets would remain.
func (tr *tier) eject(now time.Duration, t *target) {
	if t.health.ejected || !tr.canEject() {
		return
	}
	length := baseEjectionTime << t.health.ejections
	if length >= maxEjectionTime {
		length = maxEjectionTime
	} else {
		t.health.ejections++
	}
	t.health.ejected = true
	t.health.failures = 0
	t.health.ejectedUntil = now + length
	tr.ejected = append(tr.ejected, t)
	tr.updateNextEjectionEnd()
	t.updateUsable(now)
}

func (tr *tier) canEject() bool {
	usable := 0
	for _, t := range tr.all {
		if !t.health.ejected && !t.leaving.marked() {
			usable++
		}
	}
	return float64(usable-1) >= minRemainingShare*float64(len(tr.all)) && usable > 1
}

// endEjections puts the targets whose ejection has ended on probation.
func (tr *tier) endEjections(now time.Duration) {
	if len(tr.ejected) == 0 || now < tr.nextEjectionEnd {
		return
	}
	kept := tr.ejected[:0]
	for _, t := range tr.ejected {
		if now < t.health.ejectedUntil {
			kept = append(kept, t)
			continue
		}
		t.health.ejected = false
		t.health.probation = true
		t.updateUsable(now)
	}
	tr.ejected = kept
	tr.updateNextEjectionEnd()
}

func (tr *tier) updateNextEjectionEnd() {
	for i, t := range tr.ejected {
		if i == 0 || t.health.ejectedUntil < tr.nextEjectionEnd {
			tr.nextEjectionEnd = t.health.ejectedUntil
		}
	}
}
