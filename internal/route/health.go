package route

import "time"

// The constants of outlier ejection.
const (
	// latencyWeight is the weight of a new sample in a target's average.
	latencyWeight = 0.2
	// baselineWeight is the weight of a sample in the tier's average.
	baselineWeight = 0.01
	// probationWeight is the weight of a sample of a target on probation, which
	// is judged by few samples.
	probationWeight = 0.5
	// baselineClip bounds one sample's effect on the tier's average, in
	// multiples of the average.
	baselineClip = 4.0
	// outlierFactor is the multiple of the tier's average above which a target
	// is ejected. With a factor of 3 and averages that began with one sample,
	// exponential service times alone ejected half of the targets.
	outlierFactor = 4.0
	// enoughSamples is the number of samples of a tier before which no target is
	// an outlier by latency.
	enoughSamples = 30
	// outlierMargin keeps very fast tiers from ejecting on scheduling noise.
	outlierMargin = 5 * time.Millisecond
	// failuresToEject is the number of failures in a row that eject a target.
	failuresToEject = 3
	// ejectFor is the first ejection's length; each further one doubles it.
	ejectFor    = 5 * time.Second
	maxEjectFor = 40 * time.Second
	// keepShare is the share of a tier's targets that ejection leaves.
	keepShare = 0.5
)

// health is the recent behaviour of one target.
type health struct {
	// latency is the weighted average in nanoseconds, or 0 without a sample.
	latency  float64
	failures int

	ejected   bool
	until     time.Duration
	ejections int
	// probation allows one request at a time until a good sample arrives.
	probation bool
}

// sample takes a latency in and reports whether the target is an outlier. A
// target without samples starts at the tier's average, so that one long
// request does not eject it.
func (h *health) sample(latency time.Duration, baseline float64, samples int) bool {
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
	return samples >= enoughSamples && h.latency > outlierFactor*baseline+float64(outlierMargin)
}

// answered ends probation after a good sample.
func (h *health) answered() {
	h.failures = 0
	if h.probation {
		h.probation = false
		h.ejections = 0
	}
}

// failed counts a failure and reports whether the target is an outlier.
func (h *health) failed() bool {
	h.failures++
	return h.failures >= failuresToEject || h.probation
}

// learn takes a latency into the tier's average. The first samples count
// equally, so that one short request does not set the average.
func (r *tier) learn(latency time.Duration) {
	value := float64(latency)
	r.samples++
	weight := max(1/float64(r.samples), baselineWeight)
	if r.samples > enoughSamples {
		value = min(value, baselineClip*r.baseline)
	}
	r.baseline += weight * (value - r.baseline)
}

// eject takes the target out of use unless too few would be left.
func (r *tier) eject(now time.Duration, t *target) {
	if t.health.ejected || !r.mayEject() {
		return
	}
	length := ejectFor << t.health.ejections
	if length >= maxEjectFor {
		length = maxEjectFor
	} else {
		t.health.ejections++
	}
	t.health.ejected = true
	t.health.failures = 0
	t.health.until = now + length
	r.ejected = append(r.ejected, t)
	r.setNextReturn()
	t.refresh(now)
}

func (r *tier) mayEject() bool {
	usable := 0
	for _, t := range r.all {
		if !t.health.ejected && !t.leaving.marked() {
			usable++
		}
	}
	return float64(usable-1) >= keepShare*float64(len(r.all)) && usable > 1
}

// returnEjected puts targets whose ejection has ended on probation.
func (r *tier) returnEjected(now time.Duration) {
	if len(r.ejected) == 0 || now < r.nextReturn {
		return
	}
	kept := r.ejected[:0]
	for _, t := range r.ejected {
		if now < t.health.until {
			kept = append(kept, t)
			continue
		}
		t.health.ejected = false
		t.health.probation = true
		t.refresh(now)
	}
	r.ejected = kept
	r.setNextReturn()
}

func (r *tier) setNextReturn() {
	for i, t := range r.ejected {
		if i == 0 || t.health.until < r.nextReturn {
			r.nextReturn = t.health.until
		}
	}
}
