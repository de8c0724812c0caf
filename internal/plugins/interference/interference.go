// Package interference places, throttles, moves and evicts tasks according to
// the tail latency that they cause for the service on their worker.
//
// For each service it learns, from delayed and noisy reports, the p99 in
// milliseconds as base(load) + sum of slowdown(kind, load) over the tasks that
// the report lists, with a variance for each coefficient (model.go). The load
// of a worker is forecast over 480 s from its smoothed load and the slope of its
// data centre (forecast.go).
//
// The slowdown of the task to place counts as mean + 1 standard deviation where
// the forecast load is above a fifth of the largest seen, so that tasks of an
// unknown kind are not placed next to urgent work; elsewhere it counts as its
// mean.
//
// With after = the p99 predicted with the task, before = without it, T = the
// service's target (twice the base without one) and l = load / largest load:
//
//	extra = l * (after - before - typical) / base
//	score = 0.5 - extra / 8 - max(0, after/T - 1) / 8, within 0 and 1
//
// where typical is the mean slowdown at that load of the tasks placed recently,
// so that tasks with little interference leave the workers free on which tasks
// with more interference add little latency.
//
// Filter (stop placing), for tasks that can still wait, with q waiting tasks per
// worker:
//
//	after > (0.75 + 0.5 * min(1, q/2)) * T and after - before > 0.05 T
package interference

import (
	"time"

	"redwingvale/internal/framework"
	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// Name is the name of the plug-in.
const Name = "interference"

const (
	// lowLoadShare is the share of the largest load below which it is safe to
	// place tasks of an unknown kind.
	lowLoadShare = 0.2
	// stopShare and minAddedShare are shares of the target p99.
	stopShare     = 0.75
	minAddedShare = 0.05
	// queueShare is what a queue of longQueue tasks per worker adds to stopShare.
	queueShare = 0.5
	longQueue  = 2.0
	// minWaiting is the least time to the latest start of a task that can wait.
	minWaiting = time.Minute
	// addedLatencyWeight weights added latency, excessWeight a p99 above the
	// target.
	addedLatencyWeight = 0.125
	excessWeight       = 0.125
)

func init() { framework.Register(Name, New) }

// workerState holds the measurements and the forecast of one worker.
type workerState struct {
	// load is the smoothed load in requests per second.
	load    float64
	known   bool
	at      time.Duration
	trend   *trend
	service spec.ServiceID
	// p99 is the smoothed measured p99 in milliseconds.
	p99 float64
	// above counts successive reports above the target, below those well below
	// it.
	above, below int
	// slowdownSum caches the slowdown by the running tasks at the forecast load.
	slowdownSum float64
	position    int
	share       float64
}

// Plugin implements filter, score, reserve, throttle and evict.
type Plugin struct {
	models  []model
	targets []float64
	states  []workerState
	trends  []*trend
	weights []kindWeight
}

var (
	_ framework.Filterer     = (*Plugin)(nil)
	_ framework.Scorer       = (*Plugin)(nil)
	_ framework.Reserver     = (*Plugin)(nil)
	_ framework.Throttler    = (*Plugin)(nil)
	_ framework.Evicter      = (*Plugin)(nil)
	_ framework.Learner      = (*Plugin)(nil)
	_ framework.Configurable = (*Plugin)(nil)
)

// New returns the plug-in.
func New(framework.Config) framework.Plugin { return &Plugin{} }

// Name implements framework.Plugin.
func (*Plugin) Name() string { return Name }

// OnConfigure updates the targets. Models are kept by the position of a service;
// all are discarded when the number of services changes.
func (p *Plugin) OnConfigure(c *framework.Cluster) {
	if len(p.models) != len(c.Services) {
		p.models = make([]model, len(c.Services))
	}
	p.targets = p.targets[:0]
	for _, s := range c.Services {
		p.targets = append(p.targets, float64(s.TargetP99)/float64(time.Millisecond))
	}
}

// Observe updates the state of the worker. It also learns from a report that
// lists only tasks still known, none of which had an action after the
// measurement.
func (p *Plugin) Observe(c *framework.Cluster, w *framework.Worker, r *policy.Report) {
	if w.ServiceIndex < 0 || r.ServiceP99 <= 0 {
		return
	}
	s := p.stateOf(c, w)
	p.updateLoad(s, w, r)
	p99 := float64(r.ServiceP99) / float64(time.Millisecond)
	s.p99 = smoothP99(s.p99, p99)
	if tasks, known := p.kindWeights(c, r); known {
		p.models[w.ServiceIndex].learn(s.load, p99, tasks)
	}
	p.countReport(s, w)
	p.updateForecast(c, s, w)
}

// smoothP99 returns the smoothed p99; a new reading has half the weight.
func smoothP99(old, reading float64) float64 {
	if old == 0 {
		return reading
	}
	return (old + reading) / 2
}

// updateLoad updates the smoothed load of the worker and the trend of its data
// centre.
func (p *Plugin) updateLoad(s *workerState, w *framework.Worker, r *policy.Report) {
	if !s.known {
		s.known, s.load = true, r.ServiceLoad
	} else {
		elapsed := (r.MeasuredAt - s.at).Seconds()
		s.load += (r.ServiceLoad - s.load) * smoothingWeight(elapsed, loadSmoothing)
	}
	s.at = r.MeasuredAt
	s.trend = p.trendOf(w)
	s.trend.add(r.ServiceLoad, w.ReportedAt)
}

// trendOf returns the trend of the worker's data centre and service.
func (p *Plugin) trendOf(w *framework.Worker) *trend {
	for _, t := range p.trends {
		if t.dataCentre == w.DataCentre && t.service == w.ServiceIndex {
			return t
		}
	}
	t := &trend{dataCentre: w.DataCentre, service: w.ServiceIndex}
	p.trends = append(p.trends, t)
	return t
}

// kindWeights sums the weights of a report's tasks by kind. It returns false when
// one of them is unknown or had an action since the measurement, because its
// weight at that time is unknown.
func (p *Plugin) kindWeights(c *framework.Cluster, r *policy.Report) ([]kindWeight, bool) {
	p.weights = p.weights[:0]
	for i := range r.Tasks {
		t := c.Task(r.Tasks[i].Task)
		if t == nil || t.Worker == nil || (t.HasAction && t.LastAction >= r.MeasuredAt) {
			return nil, false
		}
		p.addWeight(t.NameIndex, throttleShareOf(t))
	}
	return p.weights, true
}

// addWeight adds the weight of a task to that of its kind.
func (p *Plugin) addWeight(kind int, weight float64) {
	for i := range p.weights {
		if p.weights[i].kind == kind {
			p.weights[i].weight += weight
			return
		}
	}
	p.weights = append(p.weights, kindWeight{kind, weight})
}

// throttleShareOf returns the processor share that a task's throttle allows.
func throttleShareOf(t *framework.TaskInfo) float64 { return float64(t.ThrottledTo) / 100 }

// updateForecast recomputes the forecast load and the slowdown by the running
// tasks.
func (p *Plugin) updateForecast(c *framework.Cluster, s *workerState, w *framework.Worker) {
	m := p.modelOf(w)
	if m == nil || !s.known {
		return
	}
	s.position, s.share = m.position(s.forecast(maxHorizon))
	s.slowdownSum = 0
	for _, t := range w.Running {
		s.slowdownSum += throttleShareOf(t) * m.kind(t.NameIndex).mean(s.position, s.share)
	}
}

// forecast returns the load expected after the horizon. A falling load counts as
// constant, because the task starts now.
func (s *workerState) forecast(horizon time.Duration) float64 {
	rise := s.trend.slope() * horizon.Seconds()
	return s.load + max(0, rise)
}

// slowdown returns the milliseconds that one unthrottled task of a kind adds.
func (m *model) slowdown(kind, below int, above float64) float64 {
	c := m.kind(kind)
	mean := c.mean(below, above)
	if float64(below)+above < lowLoadShare*(knots-1) {
		return mean
	}
	return mean + sqrt(c.variance(below, above))
}

// modelOf returns the model of the worker's service, or nil before its first
// reading.
func (p *Plugin) modelOf(w *framework.Worker) *model {
	if w.ServiceIndex < 0 || w.ServiceIndex >= len(p.models) || !p.models[w.ServiceIndex].ready {
		return nil
	}
	return &p.models[w.ServiceIndex]
}

// target returns the target p99 in milliseconds.
func (p *Plugin) target(m *model, w *framework.Worker) float64 {
	if t := p.targets[w.ServiceIndex]; t > 0 {
		return t
	}
	return 2 * m.initialBase
}

// Filter stops placing on a worker whose predicted p99 is too high.
func (p *Plugin) Filter(c *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) framework.Status {
	m, s := p.modelOf(w), p.knownState(w)
	if m == nil || s == nil || !canWait(c, t) {
		return framework.Status{}
	}
	added := m.slowdown(t.NameIndex, s.position, s.share)
	after := m.base.mean(s.position, s.share) + s.slowdownSum + added
	target := p.target(m, w)
	if after <= stopThreshold(c)*target || added <= minAddedShare*target {
		return framework.Status{}
	}
	return framework.Refuse(Name, "the service's predicted p99 would be above its target",
		framework.CapacityFreed|framework.MeasurementArrived)
}

// stopThreshold returns the share of the target above which placing stops. It
// rises with the length of the queue, because deferred tasks would otherwise
// start all at once later.
func stopThreshold(c *framework.Cluster) float64 {
	queue := float64(c.Waiting()) / float64(max(1, len(c.Workers)))
	return stopShare + queueShare*min(1, queue/longQueue)
}

// canWait reports whether a task may wait for a better worker: the time to its
// latest start exceeds half its remaining run time and minWaiting.
func canWait(c *framework.Cluster, t *framework.TaskInfo) bool {
	return t.LatestStart-c.Now > max(t.Remaining()/2, minWaiting)
}

// Score prefers workers on which the task adds the least latency, weighted by
// load.
func (p *Plugin) Score(_ *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) float64 {
	m, s := p.modelOf(w), p.knownState(w)
	if m == nil || s == nil {
		return 1
	}
	base := m.base.mean(s.position, s.share)
	added := m.slowdown(t.NameIndex, s.position, s.share)
	load := (float64(s.position) + s.share) / (knots - 1)
	extra := load * (added - m.typical(s.position, s.share)) / max(base, 1e-9)
	excess := max(0, (base+s.slowdownSum+added)/p.target(m, w)-1)
	return min(1, max(0, 0.5-addedLatencyWeight*extra-excessWeight*excess))
}

// Reserve keeps the cached slowdown up to date. It always succeeds.
func (p *Plugin) Reserve(c *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) framework.Status {
	p.adjustSlowdown(c, t, w, 1)
	if m := p.modelOf(w); m != nil {
		m.recordPlacement(t.NameIndex)
	}
	return framework.Status{}
}

// Unreserve keeps the cached slowdown up to date.
func (p *Plugin) Unreserve(c *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) {
	p.adjustSlowdown(c, t, w, -1)
}

func (p *Plugin) adjustSlowdown(c *framework.Cluster, t *framework.TaskInfo, w *framework.Worker, sign float64) {
	m, s := p.modelOf(w), p.stateOf(c, w)
	if m == nil || !s.known {
		return
	}
	s.slowdownSum = max(0, s.slowdownSum+sign*throttleShareOf(t)*m.kind(t.NameIndex).mean(s.position, s.share))
}

// Learn does nothing: only reports measure interference.
func (*Plugin) Learn(*framework.Cluster, *framework.TaskInfo, policy.EndKind, time.Duration) {}

// stateOf returns the state of a worker, which it creates when needed and resets
// when the worker's service has changed.
func (p *Plugin) stateOf(c *framework.Cluster, w *framework.Worker) *workerState {
	for len(p.states) < len(c.Workers) {
		p.states = append(p.states, workerState{})
	}
	s := &p.states[w.Index]
	if s.service != w.Service {
		*s = workerState{service: w.Service}
	}
	return s
}

// knownState returns the state of a worker, or nil before its first report.
func (p *Plugin) knownState(w *framework.Worker) *workerState {
	if w.Index >= len(p.states) || !p.states[w.Index].known {
		return nil
	}
	return &p.states[w.Index]
}
