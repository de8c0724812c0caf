package planner

import (
	"encoding/json"
	"math"

	"github.com/cockroachdb/errors"
)

// disturbance learns how much each image of filling tasks raises the tail of
// each image of serving tasks. For one serving image s it models
//
//	tail / target = base_s + sum over fill images f of coef_sf * used_f
//
// where used_f is the share of the worker's processors that tasks of image f
// use, and follows base and coefficients with a Kalman filter, because they
// change within seconds.
type disturbance struct {
	fills   map[string]int
	serving map[string]*tailModel
}

const (
	// maxFillImages bounds the model; further images share the last column.
	maxFillImages = 24
	// priorBase and priorCoef are what is assumed of images never seen: half of
	// the target without disturbance, and the target reached when three
	// tenths of the processors go to filling tasks.
	priorBase    = 0.5
	priorCoef    = 1.5
	priorBaseVar = 0.05
	priorCoefVar = 2.0
	// noiseVar is the variance of one reading, driftVar what a second-old
	// coefficient gains per reading at some 100 readings a second.
	noiseVar = 0.15
	driftVar = 0.0002
	// maxRatio cuts single readings off.
	maxRatio = 3.0
	// caution adds a share of the standard deviation to a coefficient, so that
	// pairs that have not been tried are tried rarely.
	caution = 1.3
)

// tailModel is the filter of one serving image.
type tailModel struct {
	mean []float64
	cov  [][]float64
}

func newDisturbance() *disturbance {
	return &disturbance{fills: map[string]int{}, serving: map[string]*tailModel{}}
}

// column returns the model's column of a fill image; column 0 is the base.
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
		mean, variance := priorCoef, priorCoefVar
		if len(m.mean) == 0 {
			mean, variance = priorBase, priorBaseVar
		}
		m.mean = append(m.mean, mean)
		for i := range m.cov {
			m.cov[i] = append(m.cov[i], 0)
		}
		row := make([]float64, len(m.mean))
		row[len(row)-1] = variance
		m.cov = append(m.cov, row)
	}
}

// used is the share of a worker's processors by fill column; entry 0 is 1.
type used []float64

// usedOn returns what the filling tasks of a worker use now.
func (d *disturbance) usedOn(w *worker) used {
	for _, r := range w.runs {
		if r.task.step.spec.Fills {
			d.column(r.task.step.spec.Image)
		}
	}
	u := make(used, min(len(d.fills), maxFillImages)+1)
	u[0] = 1
	for _, r := range w.runs {
		if spec := r.task.step.spec; spec.Fills && r.phase == running && w.info.Capacity.CPUMilli > 0 {
			u[d.column(spec.Image)] += r.use / float64(w.info.Capacity.CPUMilli)
		}
	}
	return u
}

// observe takes in one reading of a serving task's tail.
func (d *disturbance) observe(image string, u used, ratio float64) {
	m := d.model(image)
	n := len(m.mean)
	gain := make([]float64, n)
	innovation, variance := min(ratio, maxRatio), noiseVar
	for i := range u {
		innovation -= m.mean[i] * u[i]
		for j := range u {
			gain[i] += m.cov[i][j] * u[j]
		}
		variance += gain[i] * u[i]
	}
	for i := len(u); i < n; i++ {
		for j := range u {
			gain[i] += m.cov[i][j] * u[j]
		}
	}
	for i := range m.mean {
		m.mean[i] = max(m.mean[i]+gain[i]/variance*innovation, 0)
		for j := range m.mean {
			m.cov[i][j] -= gain[i] * gain[j] / variance
		}
		limit := priorCoefVar
		if i == 0 {
			limit = priorBaseVar
		}
		m.cov[i][i] = min(m.cov[i][i]+driftVar, limit)
	}
}

// coefficient returns by how much a filling image that uses all processors
// would raise the serving image's tail, in shares of its target.
func (d *disturbance) coefficient(serving, fill string) float64 {
	i := d.column(fill)
	m := d.model(serving)
	return m.mean[i] + caution*math.Sqrt(max(m.cov[i][i], 0))
}

// meanCoefficient is the mean effect of all filling images on a serving image.
func (d *disturbance) meanCoefficient(serving string) float64 {
	m := d.model(serving)
	if len(m.mean) < 2 {
		return 0
	}
	sum := 0.0
	for _, v := range m.mean[1:] {
		sum += v
	}
	return sum / float64(len(m.mean)-1)
}

// base is the tail that the model expects without disturbance.
func (d *disturbance) base(serving string) float64 { return d.model(serving).mean[0] }

// caused is the part of a serving task's tail that the model ascribes to the
// filling tasks.
func (d *disturbance) caused(serving string, u used) float64 {
	m := d.model(serving)
	sum := 0.0
	for i := 1; i < len(u); i++ {
		sum += m.mean[i] * u[i]
	}
	return sum
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
		for i := range min(len(mean), len(m.mean)) {
			m.mean[i] = max(mean[i], 0)
			m.cov[i][i] = min(m.cov[i][i], inheritedVar)
		}
	}
	return nil
}
