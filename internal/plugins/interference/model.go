package interference

import "math"

// knots is the number of loads at which the model keeps coefficients; between
// them it interpolates linearly.
const knots = 7

// The constants of the estimator.
const (
	// readingNoise is the standard deviation of a p99 reading as a share of it.
	readingNoise = 0.2
	// drift is what a coefficient may change between two readings that use it,
	// as a share of the base latency.
	drift = 0.004
	// priorSlowdown and priorSpread describe a kind that was never seen, as
	// shares of the base latency.
	priorSlowdown = 0.05
	priorSpread   = 0.4
	// basePriorSpread describes the base latency after the first reading.
	basePriorSpread = 0.5
	// outlier bounds the surprise of one reading in standard deviations.
	outlier = 3.0
)

// coefficient is an estimate in milliseconds with its variance.
type coefficient struct{ mean, variance float64 }

// curve is an estimate over the load.
type curve [knots]coefficient

// presence is how much of a kind runs next to the service: the number of tasks,
// each weighted by the processor share that its throttle leaves.
type presence struct {
	kind   int
	weight float64
}

// model predicts the p99 of one service in milliseconds:
//
//	p99(load, tasks) = base(load) + sum over kinds of weight * slowdown(kind, load)
//
// It is a Kalman filter with a diagonal covariance.
type model struct {
	ready bool
	// scale is the load in requests per second of the last knot.
	scale float64
	base  curve
	// kinds is indexed by kind.
	kinds []curve
	// mix is the mean slowdown in milliseconds of the tasks placed lately, at
	// each knot.
	mix [knots]float64
	// unit is the base latency at the first reading.
	unit float64
}

// position returns the knot below a load and the share of the knot above.
func (m *model) position(load float64) (int, float64) {
	at := math.Min(load/m.scale, 1) * (knots - 1)
	below := min(int(at), knots-2)
	return below, at - float64(below)
}

// start sets the priors from the first reading.
func (m *model) start(load, p99 float64) {
	m.ready = true
	m.unit = p99
	m.scale = math.Max(load, 1e-6)
	spread := basePriorSpread * p99
	for i := range m.base {
		m.base[i] = coefficient{p99, spread * spread}
	}
}

// widen rescales the knots when a larger load appears. The coefficients move
// to the knots that are nearest to their former load.
func (m *model) widen(load float64) {
	if load <= m.scale {
		return
	}
	ratio := load / m.scale
	m.base = m.base.stretched(ratio)
	for i := range m.kinds {
		m.kinds[i] = m.kinds[i].stretched(ratio)
	}
	m.scale = load
}

// stretched returns the curve on knots that are ratio times as far apart.
func (c *curve) stretched(ratio float64) curve {
	var out curve
	for i := range out {
		from := min(int(math.Round(float64(i)*ratio)), knots-1)
		out[i] = c[from]
	}
	return out
}

// kind returns the curve of a kind, which starts at the prior.
func (m *model) kind(i int) *curve {
	for len(m.kinds) <= i {
		var c curve
		spread := priorSpread * m.unit
		for j := range c {
			c[j] = coefficient{priorSlowdown * m.unit, spread * spread}
		}
		m.kinds = append(m.kinds, c)
	}
	return &m.kinds[i]
}

// mean returns the estimate of a curve at a position.
func (c *curve) mean(below int, above float64) float64 {
	return c[below].mean*(1-above) + c[below+1].mean*above
}

// variance returns the variance of a curve at a position.
func (c *curve) variance(below int, above float64) float64 {
	low, high := 1-above, above
	return c[below].variance*low*low + c[below+1].variance*high*high
}

// learn takes one reading in: p99 in milliseconds at a load in requests per
// second next to the given tasks.
func (m *model) learn(load, p99 float64, tasks []presence) {
	if !m.ready {
		m.start(load, p99)
	}
	m.widen(load)
	below, above := m.position(load)
	predicted := m.base.mean(below, above)
	variance := m.base.variance(below, above)
	for _, t := range tasks {
		c := m.kind(t.kind)
		predicted += t.weight * c.mean(below, above)
		variance += t.weight * t.weight * c.variance(below, above)
	}
	noise := readingNoise * math.Max(predicted, m.unit)
	total := variance + noise*noise
	bound := outlier * math.Sqrt(total)
	surprise := math.Max(-bound, math.Min(p99-predicted, bound))
	m.base.correct(below, above, 1, surprise, total, m.unit)
	for _, t := range tasks {
		m.kind(t.kind).correct(below, above, t.weight, surprise, total, m.unit)
	}
}

// correct moves the two coefficients around a position by their share of the
// surprise. A slowdown is never negative.
func (c *curve) correct(below int, above, weight, surprise, total, unit float64) {
	shares := [2]float64{weight * (1 - above), weight * above}
	for i, share := range shares {
		if share == 0 {
			continue
		}
		each := &c[below+i]
		gain := each.variance * share / total
		each.mean = math.Max(0, each.mean+gain*surprise)
		each.variance = each.variance*(1-gain*share) + drift*drift*unit*unit
	}
}

// mixWeight is the weight of one placement in mix.
const mixWeight = 0.02

// placed moves the mix towards the kind of a placed task.
func (m *model) placed(kind int) {
	c := m.kind(kind)
	for i := range m.mix {
		m.mix[i] += mixWeight * (c[i].mean - m.mix[i])
	}
}

// typical returns the mix at a position.
func (m *model) typical(below int, above float64) float64 {
	return m.mix[below]*(1-above) + m.mix[below+1]*above
}
