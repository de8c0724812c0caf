package planner

import (
	"encoding/json"
	"math"

	"github.com/cockroachdb/errors"
)

// disturbance learns how much each image of filling tasks raises the tail of
// each image of serving tasks. For one serving image s it models
//
//	tail = own tail of the step * (1 + sum over fill images f of coef_sf * used_f)
//
// where used_f is the share of the worker's processors that tasks of image f
// use, and follows the coefficients with a Kalman filter, because they may
// change. A step's own tail moves with its load; see ownTail.
type disturbance struct {
	fills   map[string]int
	serving map[string]*tailModel
}

const (
	// maxFillImages bounds the model; further images share the last column.
	maxFillImages = 24
	// priorCoef is what is assumed of a pair of images never seen: a tail that is
	// half as long again when half of the processors go to filling tasks.
	// priorVar leaves open that the pair harms: harmful pairs have coefficients
	// of 5 to 10.
	priorCoef = 1.0
	priorVar  = 4.0
	// noiseVar is the variance of one reading's logarithm, driftVar what a
	// second-old coefficient gains per reading at some 100 readings a second.
	noiseVar = 0.08
	driftVar = 0.0005
	// maxRatio cuts single readings off, in targets, maxRise their logarithm
	// against the own tail.
	maxRatio = 3.0
	maxRise  = 1.6
	// maxLearnUse is the share of the processors beyond which the serving tasks
	// also lack processor time, which is no effect of an image.
	maxLearnUse = 0.5
	// caution adds a share of the standard deviation to a coefficient, so that
	// pairs that have not been tried are tried rarely, and relativeCaution a
	// quarter, because what a task uses is known roughly.
	caution         = 1.0
	relativeCaution = 1.25
)

// tailModel is the filter of one serving image. Its entries are numbered like
// the columns of the fill images, from 1 on.
type tailModel struct {
	mean []float64
	cov  [][]float64
	// cautious holds what coefficient returns, and meanEffect the mean of all
	// coefficients; both are computed when they are asked for.
	cautious   []float64
	meanEffect float64
	fresh      bool
}

func newDisturbance() *disturbance {
	return &disturbance{fills: map[string]int{}, serving: map[string]*tailModel{}}
}

// column returns the model's column of a fill image, from 1 on.
func (d *disturbance) column(image string) int {
	if i, ok := d.fills[image]; ok {
		return i
	}
	i := min(len(d.fills)+1, maxFillImages)
	d.fills[image] = i
	return i
}

func (d *disturbance) model(image string) *tailModel {
	m := d.serving[image]
	if m == nil {
		m = &tailModel{}
		d.serving[image] = m
	}
	m.grow(min(len(d.fills), maxFillImages) + 1)
	return m
}

func (m *tailModel) grow(n int) {
	for len(m.mean) < n {
		m.fresh = false
		m.mean = append(m.mean, priorCoef)
		for i := range m.cov {
			m.cov[i] = append(m.cov[i], 0)
		}
		row := make([]float64, len(m.mean))
		row[len(row)-1] = priorVar
		m.cov = append(m.cov, row)
	}
}

// used is the share of a worker's processors by fill column; entry 0 is 0.
type used []float64

func (u used) total() float64 {
	sum := 0.0
	for _, share := range u {
		sum += share
	}
	return sum
}

// usedOn returns what the filling tasks of a worker use now. It is valid until
// the next call.
func (c *Core) usedOn(w *worker) used {
	for _, r := range w.runs {
		if r.task.step.spec.Fills {
			c.fillColumn(r.task.step)
		}
	}
	n := min(len(c.disturb.fills), maxFillImages) + 1
	c.usedBuffer = append(c.usedBuffer[:0], make(used, n)...)
	u := c.usedBuffer
	for _, r := range w.runs {
		if r.task.step.spec.Fills && r.phase == running && w.info.Capacity.CPUMilli > 0 {
			u[c.fillColumn(r.task.step)] += r.use / float64(w.info.Capacity.CPUMilli)
		}
	}
	return u
}

// observe takes in the logarithm of a serving task's tail against its own tail.
// The logarithm keeps the readings' long upper tail from being taken for an
// effect of the filling tasks.
func (m *tailModel) observe(u used, rise float64) {
	m.grow(len(u))
	if u.total() > maxLearnUse {
		return
	}
	n := len(m.mean)
	gain := make([]float64, n)
	caused := m.caused(u)
	innovation, variance := min(rise, maxRise)-math.Log1p(caused), noiseVar
	for j, share := range u {
		if share == 0 {
			continue
		}
		for i := range n {
			gain[i] += m.cov[i][j] * share / (1 + caused)
		}
	}
	for i, share := range u {
		variance += gain[i] * share / (1 + caused)
	}
	m.fresh = false
	for i := range m.mean {
		m.mean[i] = max(m.mean[i]+gain[i]/variance*innovation, 0)
		for j := range m.mean {
			m.cov[i][j] -= gain[i] * gain[j] / variance
		}
		m.cov[i][i] = min(m.cov[i][i]+driftVar, priorVar)
	}
}

// coefficient returns by how much the filling image of the column would raise
// the serving image's tail, as a share of that tail, if it used all processors.
func (m *tailModel) coefficient(column int) float64 {
	if !m.fresh || column >= len(m.cautious) {
		m.refresh(column + 1)
	}
	return m.cautious[column]
}

// meanCoefficient is the mean effect of all filling images.
func (m *tailModel) meanCoefficient() float64 {
	if !m.fresh {
		m.refresh(1)
	}
	return m.meanEffect
}

func (m *tailModel) refresh(columns int) {
	m.grow(columns)
	m.cautious = m.cautious[:0]
	sum := 0.0
	for i, v := range m.mean {
		m.cautious = append(m.cautious, relativeCaution*v+caution*math.Sqrt(max(m.cov[i][i], 0)))
		sum += v
	}
	m.meanEffect = (sum - m.mean[0]) / float64(max(len(m.mean)-1, 1))
	m.fresh = true
}

// caused is by how much the filling tasks raise a serving task's tail, as a
// share of its own tail.
func (m *tailModel) caused(u used) float64 {
	m.grow(len(u))
	sum := 0.0
	for i := 1; i < len(u); i++ {
		sum += m.mean[i] * u[i]
	}
	return sum
}

// fillColumn is the model's column of the step's image.
func (c *Core) fillColumn(s *step) int {
	if s.fillColumn == 0 {
		s.fillColumn = c.disturb.column(s.spec.Image)
	}
	return s.fillColumn
}

// tailModel is the model of the step's image as one that serves.
func (c *Core) tailModel(s *step) *tailModel {
	if s.tail == nil {
		s.tail = c.disturb.model(s.spec.Image)
	}
	return s.tail
}

// learned is the record of what has been learned, for the next leader.
type learned struct {
	Fills   []string             `json:"f"`
	Serving map[string][]float64 `json:"s"`
}

// inheritedVar is the variance of a coefficient taken over from a record: the
// coefficients change within seconds.
const inheritedVar = 0.3

// record encodes the coefficients.
func (d *disturbance) record() ([]byte, error) {
	out := learned{Fills: make([]string, len(d.fills)), Serving: map[string][]float64{}}
	for image, i := range d.fills {
		if i <= len(out.Fills) {
			out.Fills[i-1] = image
		}
	}
	for image, m := range d.serving {
		rounded := make([]float64, len(m.mean))
		for i, v := range m.mean {
			rounded[i] = math.Round(v*100) / 100
		}
		out.Serving[image] = rounded
	}
	return json.Marshal(out)
}

// restore takes over the coefficients of a record.
func (d *disturbance) restore(value []byte) error {
	var in learned
	if err := json.Unmarshal(value, &in); err != nil {
		return errors.Wrap(err, "decode what was learned")
	}
	for _, image := range in.Fills {
		if len(d.fills) < maxFillImages {
			d.column(image)
		}
	}
	for image, mean := range in.Serving {
		m := d.model(image)
		m.fresh = false
		for i := range min(len(mean), len(m.mean)) {
			m.mean[i] = max(mean[i], 0)
			m.cov[i][i] = min(m.cov[i][i], inheritedVar)
		}
	}
	return nil
}
