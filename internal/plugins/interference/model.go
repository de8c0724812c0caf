package interference

import "math"

// knots is the number of loads at which the model has coefficients; between them
// it interpolates linearly.
const knots = 7

// The constants of the estimator.
const (
	// measurementNoise is the standard deviation of a p99 reading as a share of
	// the predicted p99.
	measurementNoise = 0.2
	// processNoise is the standard deviation of the change of a coefficient between
	// two readings that use it, as a share of the base latency.
	processNoise = 0.004
	// priorSlowdown and priorSpread are the mean and the standard deviation for
	// a kind that was never seen, as shares of the base latency.
	priorSlowdown = 0.05
	priorSpread   = 0.4
	// basePriorSpread is the standard deviation of the base latency after the
	// first reading, as a share of it.
	basePriorSpread = 0.5
	// maxInnovation bounds the innovation of one reading in standard deviations.
	maxInnovation = 3.0
)

// coefficient is an estimate in milliseconds with its variance.
type coefficient struct{ mean, variance float64 }

// curve is an estimate as a function of the load.
type curve [knots]coefficient

// kindWeight is the number of running tasks of a kind, each weighted by the
// processor share that its throttle allows.
type kindWeight struct {
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
	// maxLoad is the load in requests per second at the last knot.
	maxLoad float64
	base    curve
	// kinds is indexed by kind.
	kinds []curve
	// typicalSlowdown is the mean slowdown in milliseconds of the tasks placed
	// recently, at each knot.
	typicalSlowdown [knots]float64
	// initialBase is the base latency at the first reading.
	initialBase float64
}

// position returns the knot below a load and the interpolation weight of the knot
// above.
func (m *model) position(load float64) (int, float64) {
	at := math.Min(load/m.maxLoad, 1) * (knots - 1)
	below := min(int(at), knots-2)
	return below, at - float64(below)
}

// initialize sets the priors from the first reading.
func (m *model) initialize(load, p99 float64) {
	m.ready = true
	m.initialBase = p99
	m.maxLoad = math.Max(load, 1e-6)
	spread := basePriorSpread * p99
	for i := range m.base {
		m.base[i] = coefficient{p99, spread * spread}
	}
}

// rescale spaces the knots for a larger load. Each knot takes the coefficient of
// the old knot nearest to its load.
func (m *model) rescale(load float64) {
	if load <= m.maxLoad {
		return
	}
	ratio := load / m.maxLoad
	m.base = m.base.stretched(ratio)
	for i := range m.kinds {
		m.kinds[i] = m.kinds[i].stretched(ratio)
	}
	m.maxLoad = load
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

// kind returns the curve of a kind, which is initialized with the prior.
func (m *model) kind(i int) *curve {
	for len(m.kinds) <= i {
		var c curve
		spread := priorSpread * m.initialBase
		for j := range c {
			c[j] = coefficient{priorSlowdown * m.initialBase, spread * spread}
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

// learn updates the model with one reading: the p99 in milliseconds at a load in
// requests per second with the given tasks running.
func (m *model) learn(load, p99 float64, tasks []kindWeight) {
	if !m.ready {
		m.initialize(load, p99)
	}
	m.rescale(load)
	below, above := m.position(load)
	predicted := m.base.mean(below, above)
	variance := m.base.variance(below, above)
	for _, t := range tasks {
		c := m.kind(t.kind)
		predicted += t.weight * c.mean(below, above)
		variance += t.weight * t.weight * c.variance(below, above)
	}
	noise := measurementNoise * math.Max(predicted, m.initialBase)
	total := variance + noise*noise
	bound := maxInnovation * math.Sqrt(total)
	innovation := math.Max(-bound, math.Min(p99-predicted, bound))
	m.base.update(below, above, 1, innovation, total, m.initialBase)
	for _, t := range tasks {
		m.kind(t.kind).update(below, above, t.weight, innovation, total, m.initialBase)
	}
}

// update corrects the two coefficients around a position by their share of the
// innovation. A coefficient is never negative.
func (c *curve) update(below int, above, weight, innovation, total, initialBase float64) {
	shares := [2]float64{weight * (1 - above), weight * above}
	for i, share := range shares {
		if share == 0 {
			continue
		}
		each := &c[below+i]
		gain := each.variance * share / total
		each.mean = math.Max(0, each.mean+gain*innovation)
		each.variance = each.variance*(1-gain*share) + processNoise*processNoise*initialBase*initialBase
	}
}

// placementWeight is the weight of one placement in typicalSlowdown.
const placementWeight = 0.02

// recordPlacement updates typicalSlowdown with the kind of a placed task.
func (m *model) recordPlacement(kind int) {
	c := m.kind(kind)
	for i := range m.typicalSlowdown {
		m.typicalSlowdown[i] += placementWeight * (c[i].mean - m.typicalSlowdown[i])
	}
}

// typical returns typicalSlowdown at a position.
func (m *model) typical(below int, above float64) float64 {
	return m.typicalSlowdown[below]*(1-above) + m.typicalSlowdown[below+1]*above
}
