package planner

import "math"

// ownTail follows the tail that the serving tasks of a step would have without
// disturbance, in shares of their target. The tasks share the load of their
// users, which rises and falls within seconds; single readings vary by a
// quarter, and some by much more. It is a filter of level and trend over the
// logarithms of the readings.
type ownTail struct {
	known bool
	// level is the logarithm at atMS, trend its change a second.
	level, trend float64
	atMS         int64
}

const (
	// ownTailUnknown is assumed before the first reading.
	ownTailUnknown = 0.5
	// ownTailWeight is the weight of one reading for a step of six tasks, whose
	// readings come some nine times a second, one in readingS from each task.
	ownTailWeight = 0.15
	ownTailTasks  = 6
	readingS      = 0.67
	// ownTailCut bounds the logarithm of one reading's surprise.
	ownTailCut = 0.6
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
func (o *ownTail) observe(ratio, caused float64, tasks int, nowMS int64) {
	reading := math.Log(max(ratio, minRatio) / (1 + caused))
	if !o.known {
		o.known, o.level, o.atMS = true, reading, nowMS
	}
	o.level = o.levelAt(nowMS)
	o.trend *= math.Exp(-float64(nowMS-o.atMS) / 1000 / trendDecayS)
	o.atMS = nowMS
	weight := min(ownTailWeight*ownTailTasks/float64(max(tasks, 1)), 0.5) / (1 + caused)
	surprise := max(min(reading-o.level, ownTailCut), -ownTailCut)
	o.level += weight * surprise
	o.trend += weight * weight / (2 - weight) * surprise * float64(max(tasks, 1)) / readingS
}

func (o *ownTail) levelAt(nowMS int64) float64 {
	return o.level + o.trend*min(float64(nowMS-o.atMS)/1000, trendMaxS)
}

// now is the own tail at present.
func (o *ownTail) now(nowMS int64) float64 { return o.ahead(nowMS, 0) }

// ahead is the own tail that is expected in some milliseconds.
func (o *ownTail) ahead(nowMS, ms int64) float64 {
	if !o.known {
		return ownTailUnknown
	}
	return math.Exp(o.levelAt(nowMS + ms))
}

// highest is the higher one of the own tail now and in some milliseconds.
func (o *ownTail) highest(nowMS, ms int64) float64 {
	return max(o.now(nowMS), o.ahead(nowMS, ms))
}
