package planner

import (
	"encoding/json"
	"maps"
	"math"
	"slices"

	"github.com/cockroachdb/errors"
)

// interferenceModel learns by how much each image of best-effort tasks raises
// the tail latency of each image of serving tasks. For a serving image s it
// models
//
//	tail = baseline * (1 + sum over best-effort images b of coef_sb * use_b)
//
// where use_b is the share of the worker's processors that tasks of image b
// use. It tracks the coefficients with a Kalman filter, because they may
// change. The baseline of a step varies with its load; see baselineTail.
type interferenceModel struct {
	columns map[string]int
	serving map[string]*tailModel
	// lookups numbers the lookups of serving images.
	lookups int64
}

const (
	// maxBestEffortImages bounds the size of the model; further images share
	// the last column.
	maxBestEffortImages = 64
	// maxServingImages bounds the filters. Callers name the images, and a filter
	// takes 34 KB at its full size; the one looked up longest ago gives way.
	maxServingImages = 128
	// priorCoef is assumed for a pair of images without readings: the tail
	// rises by half when half of the processors go to best-effort tasks.
	// priorVar allows for harmful pairs, whose coefficients are 5 to 10.
	priorCoef = 1.0
	priorVar  = 4.0
	// noiseVar is the variance of the logarithm of one reading. driftVar is
	// added to the variance of a coefficient with each reading, at some 100
	// readings a second.
	noiseVar = 0.08
	driftVar = 0.0005
	// readingsPerSecond bounds the readings that the filter of one image takes, on
	// average; readingBurst is the number that it takes at once. A large site has
	// more readings than the filter needs to follow the coefficients, each of which
	// costs the square of the number of images.
	readingsPerSecond = 200
	readingBurst      = 50
	// maxRatio caps a single reading as a multiple of its target; maxRise caps
	// the logarithm of a reading relative to the baseline.
	maxRatio = 3.0
	maxRise  = 1.6
	// maxLearnUse is the share of the processors above which serving tasks also
	// lack processor time, which is not an effect of an image.
	maxLearnUse = 0.5
	// stdDevWeight is the share of its standard deviation that is added to a
	// coefficient, so that pairs without readings are tried rarely.
	// usageErrorFactor adds a quarter of the coefficient, because the processor
	// use of a task is only known roughly.
	stdDevWeight     = 1.0
	usageErrorFactor = 1.25
)

// tailModel is the filter of one serving image. Its entries are numbered like
// the columns of the best-effort images, from 1 on.
type tailModel struct {
	mean []float64
	cov  [][]float64
	// lookedUp is the number of the last lookup.
	lookedUp int64
	// conservative holds the values that coefficient returns and meanEffect the
	// mean of all coefficients; both are computed on demand while valid is
	// false.
	conservative []float64
	meanEffect   float64
	valid        bool
	// readings is the number of readings that the filter may take now, as of
	// readingsMS.
	readings   float64
	readingsMS int64
	// gain is a scratch buffer of observe.
	gain []float64
}

func newInterferenceModel() *interferenceModel {
	return &interferenceModel{columns: map[string]int{}, serving: map[string]*tailModel{}}
}

// column returns the model's column of a best-effort image, from 1 on.
func (im *interferenceModel) column(image string) int {
	if i, ok := im.columns[image]; ok {
		return i
	}
	if len(im.columns) == maxBestEffortImages {
		return maxBestEffortImages
	}
	i := len(im.columns) + 1
	im.columns[image] = i
	return i
}

func (im *interferenceModel) model(image string) *tailModel {
	m := im.serving[image]
	if m == nil {
		im.makeRoom()
		m = &tailModel{}
		im.serving[image] = m
	}
	im.lookups++
	m.lookedUp = im.lookups
	m.grow(min(len(im.columns), maxBestEffortImages) + 1)
	return m
}

// makeRoom drops the filter that was looked up longest ago if there are as many as
// there may be. Steps that use it keep it.
func (im *interferenceModel) makeRoom() {
	if len(im.serving) < maxServingImages {
		return
	}
	oldest := ""
	for image, m := range im.serving {
		if oldest == "" || m.lookedUp < im.serving[oldest].lookedUp {
			oldest = image
		}
	}
	delete(im.serving, oldest)
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

// bestEffortUse is the share of a worker's processors in use by column of the
// model; entry 0 is 0.
type bestEffortUse []float64

func (u bestEffortUse) total() float64 {
	sum := 0.0
	for _, share := range u {
		sum += share
	}
	return sum
}

// bestEffortUseOn returns the current use by the best-effort tasks of a worker.
// The result is valid until the next call.
func (c *Core) bestEffortUseOn(w *worker) bestEffortUse {
	for _, r := range w.runs {
		if r.task.step.spec.BestEffort {
			c.modelColumn(r.task.step)
		}
	}
	n := min(len(c.interference.columns), maxBestEffortImages) + 1
	c.useBuffer = append(c.useBuffer[:0], make(bestEffortUse, n)...)
	u := c.useBuffer
	for _, r := range w.runs {
		if r.task.step.spec.BestEffort && r.phase == running && w.info.Capacity.CPUMilli > 0 {
			u[c.modelColumn(r.task.step)] += r.smoothedUsage / float64(w.info.Capacity.CPUMilli)
		}
	}
	return u
}

// observe updates the coefficients with the logarithm of a serving task's tail
// relative to its baseline. The logarithm keeps the long upper tail of the
// readings from being attributed to the best-effort tasks.
func (m *tailModel) observe(u bestEffortUse, rise float64) {
	m.grow(len(u))
	if u.total() > maxLearnUse {
		return
	}
	n := len(m.mean)
	m.gain = append(m.gain[:0], make([]float64, n)...)
	gain := m.gain
	predicted := m.predictedRise(u)
	innovation, variance := min(rise, maxRise)-math.Log1p(predicted), noiseVar
	for j, share := range u {
		if share == 0 {
			continue
		}
		for i := range n {
			gain[i] += m.cov[i][j] * share / (1 + predicted)
		}
	}
	for i, share := range u {
		variance += gain[i] * share / (1 + predicted)
	}
	m.valid = false
	for i := range m.mean {
		row := m.cov[i]
		if gain[i] != 0 {
			scaled := gain[i] / variance
			m.mean[i] = max(m.mean[i]+scaled*innovation, 0)
			for j, g := range gain {
				row[j] -= scaled * g
			}
		}
		row[i] = min(row[i]+driftVar, priorVar)
	}
}

// takesReading reports whether the filter takes another reading now.
func (m *tailModel) takesReading(nowMS int64) bool {
	m.readings = min(m.readings+readingsPerSecond*float64(nowMS-m.readingsMS)/1000, readingBurst)
	m.readingsMS = nowMS
	if m.readings < 1 {
		return false
	}
	m.readings--
	return true
}

// coefficient returns a conservative estimate of the rise of the serving
// image's tail, as a share of its baseline, if the best-effort image of the
// column used all processors.
func (m *tailModel) coefficient(column int) float64 {
	if !m.valid || column >= len(m.conservative) {
		m.refresh(column + 1)
	}
	return m.conservative[column]
}

// meanCoefficient returns the mean effect of all best-effort images.
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

// predictedRise returns the expected rise of a serving task's tail caused by
// the best-effort tasks, as a share of its baseline.
func (m *tailModel) predictedRise(u bestEffortUse) float64 {
	m.grow(len(u))
	sum := 0.0
	for i := 1; i < len(u); i++ {
		sum += m.mean[i] * u[i]
	}
	return sum
}

// modelColumn returns the model's column of the step's image.
func (c *Core) modelColumn(s *step) int {
	if s.modelColumn == 0 {
		s.modelColumn = c.interference.column(s.spec.Image)
	}
	return s.modelColumn
}

// tailModel returns the model of the step's image as a serving image.
func (c *Core) tailModel(s *step) *tailModel {
	if s.tail == nil {
		s.tail = c.interference.model(s.spec.Image)
	}
	return s.tail
}

// modelRecord is the encoding of the model's coefficients for the next leader.
type modelRecord struct {
	Images  []string             `json:"f"`
	Serving map[string][]float64 `json:"s"`
}

// restoredVar is the initial variance of a coefficient restored from a record:
// the coefficients change within seconds.
const restoredVar = 0.3

// record encodes the coefficients.
func (im *interferenceModel) record() ([]byte, error) {
	out := modelRecord{Images: make([]string, len(im.columns)), Serving: map[string][]float64{}}
	for image, i := range im.columns {
		if i <= len(out.Images) {
			out.Images[i-1] = image
		}
	}
	for image, m := range im.serving {
		rounded := make([]float64, len(m.mean))
		for i, v := range m.mean {
			rounded[i] = math.Round(v*100) / 100
		}
		out.Serving[image] = rounded
	}
	return json.Marshal(out)
}

// restore loads the coefficients from a record.
func (im *interferenceModel) restore(value []byte) error {
	var in modelRecord
	if err := json.Unmarshal(value, &in); err != nil {
		return errors.Wrap(err, "decode the interference model")
	}
	for _, image := range in.Images {
		if len(im.columns) < maxBestEffortImages {
			im.column(image)
		}
	}
	for _, image := range slices.Sorted(maps.Keys(in.Serving)) {
		mean, m := in.Serving[image], im.model(image)
		m.valid = false
		for i := range min(len(mean), len(m.mean)) {
			m.mean[i] = max(mean[i], 0)
			m.cov[i][i] = min(m.cov[i][i], restoredVar)
		}
	}
	return nil
}
