package planner

import "math"

// baselineTail follows the tail that the serving tasks of a step would have without
// disturbance, in shares of their target. The tasks share the load of their
// users, which rises and falls within seconds; single readings vary by a
// quarter, and some by much more. It is a filter of level and trend over the
// logarithms of the readings.
type baselineTail struct {
	known bool
	// level is the logarithm at atMS, trend its change a second.
	level, trend float64
	atMS         int64
}

const (
	// defaultBaseline is assumed before the first reading.
	defaultBaseline = 0.5
	// baselineWeight is the weight of one reading for a step of six tasks, whose
	// readings come some nine times a second, one in readingS from each task.
	baselineWeight   = 0.15
	baselineTasks    = 6
	readingIntervalS = 0.67
	// maxInnovation bounds the logarithm of one reading's surprise.
	maxInnovation = 0.6
	// minRatio is the least reading that counts, in targets.
	minRatio = 0.01
	// trendMaxS is how far ahead a trend holds; the load of users swings with a
	// period of some 10 to 15 s.
	trendMaxS = 2.0
	// trendDecayS is the time in which a trend without readings fades.
	trendDecayS = 3.0
)

// observe takes in a reading and the rise that the filling tasks cause by the
// model; the less a reading is disturbed, the more it counts.
func (o *baselineTail) observe(ratio, caused float64, tasks int, nowMS int64) {
	reading := math.Log(max(ratio, minRatio) / (1 + caused))
	if !o.known {
		o.known, o.level, o.atMS = true, reading, nowMS
	}
	o.level = o.levelAt(nowMS)
	o.trend *= math.Exp(-float64(nowMS-o.atMS) / 1000 / trendDecayS)
	o.atMS = nowMS
	weight := min(baselineWeight*baselineTasks/float64(max(tasks, 1)), 0.5) / (1 + caused)
	innovation := max(min(reading-o.level, maxInnovation), -maxInnovation)
	o.level += weight * innovation
	o.trend += weight * weight / (2 - weight) * innovation * float64(max(tasks, 1)) / readingIntervalS
}

func (o *baselineTail) levelAt(nowMS int64) float64 {
	return o.level + o.trend*min(float64(nowMS-o.atMS)/1000, trendMaxS)
}

// current is the own tail at present.
func (o *baselineTail) current(nowMS int64) float64 { return o.predicted(nowMS, 0) }

// predicted is the own tail that is expected in some milliseconds.
func (o *baselineTail) predicted(nowMS, ms int64) float64 {
	if !o.known {
		return defaultBaseline
	}
	return math.Exp(o.levelAt(nowMS + ms))
}

// peak is the higher one of the own tail now and in some milliseconds.
func (o *baselineTail) peak(nowMS, ms int64) float64 {
	return max(o.current(nowMS), o.predicted(nowMS, ms))
}
