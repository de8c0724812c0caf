// Package interference places tasks and acts on them by the tail latency that
// they cause for the service on their worker.
//
// For each service it learns, from lagged and noisy reports, the p99 in
// milliseconds as base(load) + sum of slowdown(kind, load) over the tasks that
// the report lists, with a variance for each coefficient (model.go). The load
// of a worker is forecast over 480 s from its smoothed load and the slope of its
// data centre (forecast.go).
//
// The slowdown of the task to place counts as mean + 1 standard deviation where the forecast load is
// above a fifth of the largest seen, so that what is unknown is not tried next
// to urgent work; elsewhere it counts as its mean.
//
// With after = the p99 predicted with the task, before = without it, T = the
// service's target (twice the base without one) and l = load / largest load:
//
//	extra = l * (after - before - typical) / base
//	score = 0.5 - extra / 8 - max(0, after/T - 1) / 8, within 0 and 1
//
// where typical is what the tasks placed lately add at that load on average, so
// that quiet tasks leave the workers on which noisy ones do little harm.
//
// Filter (stop placing), for tasks that can still wait, with q waiting tasks for
// each worker:
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
	// quietShare is the share of the largest load below which trying is safe.
	quietShare = 0.2
	// stopShare and noticeable are shares of the target p99.
	stopShare  = 0.75
	noticeable = 0.05
	// queueShare is what a queue of longQueue tasks a worker adds to stopShare.
	queueShare = 0.5
	longQueue  = 2.0
	// minWaiting is the least time to the latest start of a task that waits.
	minWaiting = time.Minute
	// harmWeight weighs added latency, excessWeight a p99 above the target.
	harmWeight   = 0.125
	excessWeight = 0.125
)

func init() { framework.Register(Name, New) }

// state is what is known about one worker.
type state struct {
	// load is the smoothed load in requests per second.
	load    float64
	known   bool
	at      time.Duration
	trend   *trend
	service spec.ServiceID
	// p99 is the smoothed measured p99 in milliseconds.
	p99 float64
	// above counts successive reports above the target, below those far under.
	above, below int
	// sum caches the slowdown of the running tasks at the forecast position.
	sum      float64
	position int
	share    float64
}

// Plugin implements filter, score, reserve, throttle and evict.
type Plugin struct {
	models  []model
	targets []float64
	states  []state
	trends  []*trend
	tasks   []presence
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

// OnConfigure keeps the targets. What was learned stays with the position of a
// service, and starts anew when the services change places.
func (p *Plugin) OnConfigure(c *framework.Cluster) {
	if len(p.models) != len(c.Services) {
		p.models = make([]model, len(c.Services))
	}
	p.targets = p.targets[:0]
	for _, s := range c.Services {
		p.targets = append(p.targets, float64(s.TargetP99)/float64(time.Millisecond))
	}
}

// Observe learns from a report that lists only tasks still known, none of
// which was acted on after the measurement.
func (p *Plugin) Observe(c *framework.Cluster, w *framework.Worker, r *policy.Report) {
	if w.ServiceIndex < 0 || r.ServiceP99 <= 0 {
		return
	}
	s := p.state(c, w)
	p.takeLoad(s, w, r)
	p99 := float64(r.ServiceP99) / float64(time.Millisecond)
	s.p99 = average(s.p99, p99)
	if tasks, known := p.presences(c, r); known {
		p.models[w.ServiceIndex].learn(s.load, p99, tasks)
	}
	p.count(s, w)
	p.refresh(c, s, w)
}

// average gives a new p99 reading half the weight.
func average(old, reading float64) float64 {
	if old == 0 {
		return reading
	}
	return (old + reading) / 2
}

// takeLoad smooths the load of the worker and of its data centre.
func (p *Plugin) takeLoad(s *state, w *framework.Worker, r *policy.Report) {
	if !s.known {
		s.known, s.load = true, r.ServiceLoad
	} else {
		elapsed := (r.MeasuredAt - s.at).Seconds()
		s.load += (r.ServiceLoad - s.load) * smooth(elapsed, loadSmoothing)
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

// presences lists the tasks of a report by kind. It is false when one of them
// is unknown or was acted on since, because its part at the time is unclear.
func (p *Plugin) presences(c *framework.Cluster, r *policy.Report) ([]presence, bool) {
	p.tasks = p.tasks[:0]
	for i := range r.Tasks {
		t := c.Task(r.Tasks[i].Task)
		if t == nil || t.Worker == nil || (t.HasAction && t.LastAction >= r.MeasuredAt) {
			return nil, false
		}
		p.add(t.NameIndex, weight(t))
	}
	return p.tasks, true
}

// add counts a task of a kind.
func (p *Plugin) add(kind int, weight float64) {
	for i := range p.tasks {
		if p.tasks[i].kind == kind {
			p.tasks[i].weight += weight
			return
		}
	}
	p.tasks = append(p.tasks, presence{kind, weight})
}

// weight is the processor share that a task's throttle leaves.
func weight(t *framework.TaskInfo) float64 { return float64(t.ThrottledTo) / 100 }

// refresh computes the forecast position and the slowdown of what runs.
func (p *Plugin) refresh(c *framework.Cluster, s *state, w *framework.Worker) {
	m := p.modelOf(w)
	if m == nil || !s.known {
		return
	}
	s.position, s.share = m.position(s.forecast(maxHorizon))
	s.sum = 0
	for _, t := range w.Running {
		s.sum += weight(t) * m.kind(t.NameIndex).mean(s.position, s.share)
	}
}

// forecast returns the load expected after some time, at least the present one
// when the load falls, because the task starts now.
func (s *state) forecast(horizon time.Duration) float64 {
	rise := s.trend.slope() * horizon.Seconds()
	return s.load + max(0, rise)
}

// slowdown returns the milliseconds that one unthrottled task of a kind adds.
func (m *model) slowdown(kind, below int, above float64) float64 {
	c := m.kind(kind)
	mean := c.mean(below, above)
	if float64(below)+above < quietShare*(knots-1) {
		return mean
	}
	return mean + sqrt(c.variance(below, above))
}

// modelOf returns the model of the worker's service once it has a reading.
func (p *Plugin) modelOf(w *framework.Worker) *model {
	if w.ServiceIndex < 0 || w.ServiceIndex >= len(p.models) || !p.models[w.ServiceIndex].ready {
		return nil
	}
	return &p.models[w.ServiceIndex]
}

// target returns the wanted p99 in milliseconds.
func (p *Plugin) target(m *model, w *framework.Worker) float64 {
	if t := p.targets[w.ServiceIndex]; t > 0 {
		return t
	}
	return 2 * m.unit
}

// Filter stops placing on a worker whose predicted p99 is too high.
func (p *Plugin) Filter(c *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) framework.Status {
	m, s := p.modelOf(w), p.peek(w)
	if m == nil || s == nil || !canWait(c, t) {
		return framework.Status{}
	}
	added := m.slowdown(t.NameIndex, s.position, s.share)
	after := m.base.mean(s.position, s.share) + s.sum + added
	target := p.target(m, w)
	if after <= stopAt(c)*target || added <= noticeable*target {
		return framework.Status{}
	}
	return framework.Refuse(Name, "the service's predicted p99 would be above its target",
		framework.CapacityFreed|framework.MeasurementArrived)
}

// stopAt returns the share of the target from which placing stops. It rises with
// the length of the queue, because work that is held back now comes all at once
// later.
func stopAt(c *framework.Cluster) float64 {
	queue := float64(c.Waiting()) / float64(max(1, len(c.Workers)))
	return stopShare + queueShare*min(1, queue/longQueue)
}

// canWait reports whether a task may be kept waiting for a better worker: its
// latest start is further away than half its run time, and than a minute.
func canWait(c *framework.Cluster, t *framework.TaskInfo) bool {
	return t.LatestStart-c.Now > max(t.Remaining()/2, minWaiting)
}

// Score prefers workers on which the task adds least latency for least load.
func (p *Plugin) Score(_ *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) float64 {
	m, s := p.modelOf(w), p.peek(w)
	if m == nil || s == nil {
		return 1
	}
	base := m.base.mean(s.position, s.share)
	added := m.slowdown(t.NameIndex, s.position, s.share)
	load := (float64(s.position) + s.share) / (knots - 1)
	extra := load * (added - m.typical(s.position, s.share)) / max(base, 1e-9)
	excess := max(0, (base+s.sum+added)/p.target(m, w)-1)
	return min(1, max(0, 0.5-harmWeight*extra-excessWeight*excess))
}

// Reserve keeps the cached slowdown up to date. It always succeeds.
func (p *Plugin) Reserve(c *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) framework.Status {
	p.change(c, t, w, 1)
	if m := p.modelOf(w); m != nil {
		m.placed(t.NameIndex)
	}
	return framework.Status{}
}

// Unreserve keeps the cached slowdown up to date.
func (p *Plugin) Unreserve(c *framework.Cluster, t *framework.TaskInfo, w *framework.Worker) {
	p.change(c, t, w, -1)
}

func (p *Plugin) change(c *framework.Cluster, t *framework.TaskInfo, w *framework.Worker, sign float64) {
	m, s := p.modelOf(w), p.state(c, w)
	if m == nil || !s.known {
		return
	}
	s.sum = max(0, s.sum+sign*weight(t)*m.kind(t.NameIndex).mean(s.position, s.share))
}

// Learn does nothing: only reports say something about interference.
func (*Plugin) Learn(*framework.Cluster, *framework.TaskInfo, policy.EndKind, time.Duration) {}

// state returns what is known about a worker, which it makes when new.
func (p *Plugin) state(c *framework.Cluster, w *framework.Worker) *state {
	for len(p.states) < len(c.Workers) {
		p.states = append(p.states, state{})
	}
	s := &p.states[w.Index]
	if s.service != w.Service {
		*s = state{service: w.Service}
	}
	return s
}

// peek returns what is known about a worker, or nil.
func (p *Plugin) peek(w *framework.Worker) *state {
	if w.Index >= len(p.states) || !p.states[w.Index].known {
		return nil
	}
	return &p.states[w.Index]
}
