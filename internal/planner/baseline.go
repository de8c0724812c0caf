package planner

import "math"

// baselineTail estimates the tail latency that the serving tasks of a step
// would have without interference, as a share of their target. The tasks share
// their users' load, which rises and falls within seconds; single readings vary
// by a quarter, some by much more. It is a filter of level and trend over the
// logarithms of the readings.
type baselineTail struct {
	known bool
	// level is the logarithm at atMS, trend its change per second.
	level, trend float64
	atMS         int64
}

const (
	// defaultBaseline is assumed before the first reading.
	defaultBaseline = 0.5
	// baselineWeight is the weight of one reading for a step of six tasks,
	// which gives some nine readings a second: one per readingIntervalS from
	// each task.
	baselineWeight   = 0.15
	baselineTasks    = 6
	readingIntervalS = 0.67
	// maxInnovation bounds the deviation of one reading's logarithm from the
	// predicted level.
	maxInnovation = 0.6
	// minRatio is the lower bound of a reading, as a share of the target.
	minRatio = 0.01
	// trendMaxS is how far ahead a trend is extrapolated; the users' load
	// oscillates with a period of some 10 to 15 s.
	trendMaxS = 2.0
	// trendDecayS is the time constant with which a trend without readings
	// decays.
	trendDecayS = 3.0
)

// observe updates the estimate with a reading and the rise that the model
// attributes to the best-effort tasks. The more of a reading is interference,
// the less weight it has.
func (b *baselineTail) observe(ratio, rise float64, tasks int, nowMS int64) {
	reading := math.Log(max(ratio, minRatio) / (1 + rise))
	if !b.known {
		b.known, b.level, b.atMS = true, reading, nowMS
	}
	b.level = b.levelAt(nowMS)
	b.trend *= math.Exp(-float64(nowMS-b.atMS) / 1000 / trendDecayS)
	b.atMS = nowMS
	weight := min(baselineWeight*baselineTasks/float64(max(tasks, 1)), 0.5) / (1 + rise)
	innovation := max(min(reading-b.level, maxInnovation), -maxInnovation)
	b.level += weight * innovation
	b.trend += weight * weight / (2 - weight) * innovation * float64(max(tasks, 1)) / readingIntervalS
}

func (b *baselineTail) levelAt(nowMS int64) float64 {
	return b.level + b.trend*min(float64(nowMS-b.atMS)/1000, trendMaxS)
}

// current returns the baseline tail at the given time.
func (b *baselineTail) current(nowMS int64) float64 { return b.predicted(nowMS, 0) }

// predicted returns the baseline tail expected after ms milliseconds.
func (b *baselineTail) predicted(nowMS, ms int64) float64 {
	if !b.known {
		return defaultBaseline
	}
	return math.Exp(b.levelAt(nowMS + ms))
}

// peak returns the higher of the current baseline tail and the one predicted
// after ms milliseconds.
func (b *baselineTail) peak(nowMS, ms int64) float64 {
	return max(b.current(nowMS), b.predicted(nowMS, ms))
}
