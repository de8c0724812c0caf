package interference

import (
	"time"

	"redwingvale/internal/spec"
)

// The smoothing of loads, as time constants.
const (
	// loadSmoothing is short, because it only has to remove measurement noise.
	loadSmoothing = 20 * time.Second
	// slopeSmoothing is long: the workers of a data centre share a slope, so that
	// many readings contribute to it.
	slopeSmoothing = 120 * time.Second
	// maxHorizon bounds how far a slope is extrapolated.
	maxHorizon = 480 * time.Second
)

// trend is the common change of the load of one service in a data centre, in
// requests per second per second and worker.
type trend struct {
	dataCentre spec.DataCentre
	service    int
	// fast and slow are moving averages of the load with two time constants;
	// their difference is proportional to the slope.
	fast, slow float64
	at         time.Duration
	started    bool
}

// The time constants of the two averages of a trend.
const (
	fastAverage = slopeSmoothing / 2
	slowAverage = slopeSmoothing * 3 / 2
)

// add adds the load of one worker.
func (t *trend) add(load float64, now time.Duration) {
	if !t.started {
		t.started, t.at, t.fast, t.slow = true, now, load, load
		return
	}
	elapsed := (now - t.at).Seconds()
	t.at = now
	// Readings of many workers interleave. Each is weighted by the time since the
	// previous reading of any worker, so that the time constants do not depend on
	// the number of workers.
	t.fast += (load - t.fast) * smoothingWeight(elapsed, fastAverage)
	t.slow += (load - t.slow) * smoothingWeight(elapsed, slowAverage)
}

// slope returns the change per second. The two averages lag behind a steady
// slope s by s times their time constants.
func (t *trend) slope() float64 {
	return (t.fast - t.slow) / (slowAverage - fastAverage).Seconds()
}

// smoothingWeight returns the weight of a new value after the elapsed seconds.
func smoothingWeight(elapsed float64, constant time.Duration) float64 {
	ratio := elapsed / constant.Seconds()
	return ratio / (1 + ratio)
}
