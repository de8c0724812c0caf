package planner

import (
	"encoding/json"
	"math"

	"github.com/cockroachdb/errors"
)

// interferenceModel learns how much each image of filling tasks raises the tail of
// each image of serving tasks. For one serving image s it models
//
//	tail = own tail of the step * (1 + sum over fill images f of coef_sf * used_f)
//
// where used_f is the share of the worker's processors that tasks of image f
// use, and follows the coefficients with a Kalman filter, because they may
// change. A step's own tail moves with its load; see ownTail.
type interferenceModel struct {
	columns map[string]int
	serving map[string]*tailModel
}

const (
	// maxBestEffortImages bounds the model; further images share the last column.
	maxBestEffortImages = 24
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
	// stdDevWeight adds a share of the standard deviation to a coefficient, so that
	// pairs that have not been tried are tried rarely, and relativeCaution a
	// quarter, because what a task uses is known roughly.
	stdDevWeight     = 1.0
	usageErrorFactor = 1.25
)

// tailModel is the filter of one serving image. Its entries are numbered like
// the columns of the fill images, from 1 on.
type tailModel struct {
	mean []float64
	cov  [][]float64
	// conservative holds what coefficient returns, and meanEffect the mean of all
	// coefficients; both are computed when they are asked for.
	conservative []float64
	meanEffect   float64
	valid        bool
}

func newInterferenceModel() *interferenceModel {
	return &interferenceModel{columns: map[string]int{}, serving: map[string]*tailModel{}}
}

// column returns the model's column of a fill image, from 1 on.
func (d *interferenceModel) column(image string) int {
	if i, ok := d.columns[image]; ok {
		return i
	}
	i := min(len(d.columns)+1, maxBestEffortImages)
	d.columns[image] = i
	return i
}

func (d *interferenceModel) model(image string) *tailModel {
	m := d.serving[image]
	if m == nil {
		m = &tailModel{}
		d.serving[image] = m
	}
	m.grow(min(len(d.columns), maxBestEffortImages) + 1)
	return m
}

func (m *tailModel) grow(n int) {
	for len(m.mean) < n {
		m.valid = false
		m.mean = append(m.mean, priorCoef)
		for i := range m.cov {
			m.cov[i] = append(m.cov[i], 0)
		}
		row := make([]float64, len(m.mean))
		row[len(row)-1] = priorVar
		m.cov = append(m.cov, row)
	}
}

// bestEffortUse is the share of a worker's processors by fill column; entry 0 is 0.
type bestEffortUse []float64

func (u bestEffortUse) total() float64 {
	sum := 0.0
	for _, share := range u {
		sum += share
	}
	return sum
}

// bestEffortUseOn returns what the filling tasks of a worker use now. It is valid until
// the next call.
func (c *Core) bestEffortUseOn(w *worker) bestEffortUse {
	for _, r := range w.runs {
		if r.task.step.spec.Fills {
			c.modelColumn(r.task.step)
		}
	}
	n := min(len(c.interference.columns), maxBestEffortImages) + 1
	c.useBuffer = append(c.useBuffer[:0], make(bestEffortUse, n)...)
	u := c.useBuffer
	for _, r := range w.runs {
		if r.task.step.spec.Fills && r.phase == running && w.info.Capacity.CPUMilli > 0 {
			u[c.modelColumn(r.task.step)] += r.smoothedUsage / float64(w.info.Capacity.CPUMilli)
		}
	}
	return u
}

// observe takes in the logarithm of a serving task's tail against its own tail.
// The logarithm keeps the readings' long upper tail from being taken for an
// effect of the filling tasks.
func (m *tailModel) observe(u bestEffortUse, rise float64) {
	m.grow(len(u))
	if u.total() > maxLearnUse {
		return
	}
	n := len(m.mean)
	gain := make([]float64, n)
	caused := m.predictedRise(u)
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
	m.valid = false
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
	if !m.valid || column >= len(m.conservative) {
		m.refresh(column + 1)
	}
	return m.conservative[column]
}

// meanCoefficient is the mean effect of all filling images.
func (m *tailModel) meanCoefficient() float64 {
	if !m.valid {
		m.refresh(1)
	}
	return m.meanEffect
}

func (m *tailModel) refresh(columns int) {
	m.grow(columns)
	m.conservative = m.conservative[:0]
	sum := 0.0
	for i, v := range m.mean {
		m.conservative = append(m.conservative, usageErrorFactor*v+stdDevWeight*math.Sqrt(max(m.cov[i][i], 0)))
		sum += v
	}
	m.meanEffect = (sum - m.mean[0]) / float64(max(len(m.mean)-1, 1))
	m.valid = true
}

// predictedRise is by how much the filling tasks raise a serving task's tail, as a
// share of its own tail.
func (m *tailModel) predictedRise(u bestEffortUse) float64 {
	m.grow(len(u))
	sum := 0.0
	for i := 1; i < len(u); i++ {
		sum += m.mean[i] * u[i]
	}
	return sum
}

// modelColumn is the model's column of the step's image.
func (c *Core) modelColumn(s *step) int {
	if s.modelColumn == 0 {
		s.modelColumn = c.interference.column(s.spec.Image)
	}
	return s.modelColumn
}

// tailModel is the model of the step's image as one that serves.
func (c *Core) tailModel(s *step) *tailModel {
	if s.tail == nil {
		s.tail = c.interference.model(s.spec.Image)
	}
	return s.tail
}

// learnedRecord is the record of what has been learnedRecord, for the next leader.
type learnedRecord struct {
	Images  []string             `json:"f"`
	Serving map[string][]float64 `json:"s"`
}

// inheritedVar is the variance of a coefficient taken over from a record: the
// coefficients change within seconds.
const inheritedVar = 0.3

// record encodes the coefficients.
func (d *interferenceModel) record() ([]byte, error) {
	out := learnedRecord{Images: make([]string, len(d.columns)), Serving: map[string][]float64{}}
	for image, i := range d.columns {
		if i <= len(out.Images) {
			out.Images[i-1] = image
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
func (d *interferenceModel) restore(value []byte) error {
	var in learnedRecord
	if err := json.Unmarshal(value, &in); err != nil {
		return errors.Wrap(err, "decode what was learned")
	}
	for _, image := range in.Images {
		if len(d.columns) < maxBestEffortImages {
			d.column(image)
		}
	}
	for image, mean := range in.Serving {
		m := d.model(image)
		m.valid = false
		for i := range min(len(mean), len(m.mean)) {
			m.mean[i] = max(mean[i], 0)
			m.cov[i][i] = min(m.cov[i][i], inheritedVar)
		}
	}
	return nil
}
