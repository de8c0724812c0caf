package entry

import (
	"context"
	"sync"
	"time"

	"redwingvale/internal/admit"
	"redwingvale/internal/code"
	"redwingvale/internal/route"
	"redwingvale/internal/spec"
)

// dispatcher joins admission and routing: a waiting request starts when a slot
// is free. One short lock guards the pure cores.
type dispatcher struct {
	now    func() time.Duration
	config Config

	mu       sync.Mutex
	router   route.Router
	services map[spec.ServiceID]*serviceState
	lastID   admit.RequestID
	entries  int
	// addrs holds the address of each known worker's target.
	addrs map[spec.WorkerID]string
	// kick asks for a renewal of the grants ahead of time.
	kick chan struct{}
}

// serviceState is the admission state of the slots of one service.
type serviceState struct {
	id      spec.ServiceID
	core    *admit.Core
	waiters map[admit.RequestID]chan start
	retries *admit.Budget
	hedges  *admit.Budget
	latency quantile
	granted int
}

// start is the end of a wait: a pick, or why the request is refused.
type start struct {
	pick route.Pick
	code code.Code
}

func newDispatcher(router route.Router, now func() time.Duration, config Config) *dispatcher {
	return &dispatcher{
		now:      now,
		config:   config,
		router:   router,
		services: make(map[spec.ServiceID]*serviceState),
		entries:  1,
		kick:     make(chan struct{}, 1),
	}
}

func (d *dispatcher) state(id spec.ServiceID) *serviceState {
	s := d.services[id]
	if s == nil {
		settings := admit.DefaultSettings()
		settings.Plain = d.config.Plain
		s = &serviceState{
			id:      id,
			core:    admit.New(settings),
			waiters: make(map[admit.RequestID]chan start),
			retries: admit.NewBudget(admit.RetryShare),
			hedges:  admit.NewBudget(admit.HedgeShare),
		}
		d.services[id] = s
		_, s.granted = d.router.Slots(d.now(), id)
		s.core.SetGranted(s.granted)
	}
	return s
}

// hasSlots reports whether any slot of the service was granted at the last
// count.
func (d *dispatcher) hasSlots(id spec.ServiceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state(id).granted > 0
}

// slot is a started request's hold on admission and on one target.
type slot struct {
	state *serviceState
	id    admit.RequestID
	pick  route.Pick
	began time.Duration
}

// acquire waits until the request may start. The error has a code with the
// outcome not_run.
func (d *dispatcher) acquire(ctx context.Context, team spec.TeamID, service spec.ServiceID, settings ServiceSettings, deadline time.Duration) (*slot, error) {
	wait := make(chan start, 1)
	d.mu.Lock()
	if !d.router.Known(service) {
		d.mu.Unlock()
		return nil, code.New(code.NoTarget, "service %s has no target", service)
	}
	s := d.state(service)
	s.core.SetTeam(team, d.share(settings))
	d.lastID++
	id := d.lastID
	now := d.now()
	s.retries.Earn()
	s.hedges.Earn()
	s.waiters[id] = wait
	request := admit.Request{ID: id, Team: team, Class: spec.Urgent, Deadline: deadline}
	d.deliver(s, s.core.Arrive(now, request))
	d.pump(now, s)
	d.mu.Unlock()
	return d.await(ctx, s, id, wait, deadline)
}

// share turns a team's quota over all entries into this entry's part.
func (d *dispatcher) share(settings ServiceSettings) admit.Team {
	bound := settings.QueueBound
	if bound <= 0 {
		bound = d.config.QueueBound
	}
	quota := 0
	if settings.QuotaSlots > 0 {
		quota = (settings.QuotaSlots + d.entries - 1) / d.entries
	}
	return admit.Team{Quota: quota, Weight: settings.Weight, QueueBound: bound}
}

func (d *dispatcher) await(ctx context.Context, s *serviceState, id admit.RequestID, wait chan start, deadline time.Duration) (*slot, error) {
	select {
	case got := <-wait:
		return d.started(s, id, got)
	default:
	}
	timer := time.NewTimer(deadline - d.now())
	defer timer.Stop()
	select {
	case got := <-wait:
		return d.started(s, id, got)
	case <-timer.C:
		return d.stopWaiting(s, id, wait, code.WaitTimeExceeded)
	case <-ctx.Done():
		return d.stopWaiting(s, id, wait, code.WaitTimeExceeded)
	}
}

func (d *dispatcher) started(s *serviceState, id admit.RequestID, got start) (*slot, error) {
	if got.code != code.OK {
		return nil, code.New(got.code, "service %s", s.id)
	}
	return &slot{state: s, id: id, pick: got.pick, began: got.pick.Start}, nil
}

// stopWaiting takes the request out of the queue, unless it has just started.
func (d *dispatcher) stopWaiting(s *serviceState, id admit.RequestID, wait chan start, why code.Code) (*slot, error) {
	d.mu.Lock()
	waited := s.core.Cancel(id)
	delete(s.waiters, id)
	if waited {
		d.router.Queued(d.now(), s.id, s.core.Waiting())
	}
	d.mu.Unlock()
	if waited {
		return nil, code.New(why, "service %s", s.id)
	}
	return d.started(s, id, <-wait)
}

// deliver carries out the effects of admission, with the lock held.
func (d *dispatcher) deliver(s *serviceState, effects []admit.Effect) {
	for _, e := range effects {
		if e.Kind != admit.Reject {
			continue
		}
		d.tell(s, e.ID, start{code: e.Code})
	}
}

func (d *dispatcher) tell(s *serviceState, id admit.RequestID, got start) {
	if wait, ok := s.waiters[id]; ok {
		delete(s.waiters, id)
		wait <- got
	}
}

// pump starts waiting requests while slots are free, with the lock held.
func (d *dispatcher) pump(now time.Duration, s *serviceState) {
	if s.core.Waiting() == 0 {
		return
	}
	d.deliver(s, s.core.Expire(now))
	for s.core.Waiting() > 0 {
		pick, ok := d.router.Choose(now, s.id, nil)
		if !ok {
			break
		}
		if !d.startNext(now, s, pick) {
			d.router.Finished(now, pick, route.Unmeasured)
		}
	}
	waiting := s.core.Waiting()
	d.router.Queued(now, s.id, waiting)
	if waiting > 0 {
		d.wantMore()
	}
}

// startNext gives the pick to the next request and reports whether one took it.
func (d *dispatcher) startNext(now time.Duration, s *serviceState, pick route.Pick) bool {
	for _, e := range s.core.Next(now) {
		if e.Kind == admit.Start {
			d.tell(s, e.ID, start{pick: pick})
			return true
		}
		d.tell(s, e.ID, start{code: e.Code})
	}
	return false
}

// wantMore asks for a renewal; renewals are spaced by the renewer.
func (d *dispatcher) wantMore() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// another takes a slot for a further attempt of a started request.
func (d *dispatcher) another(s *serviceState, avoid []spec.WorkerID) (route.Pick, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.Choose(d.now(), s.id, avoid)
}

// spare takes a slot that no request waits for.
func (d *dispatcher) spare(service spec.ServiceID) (*serviceState, route.Pick, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state(service)
	if s.core.Waiting() > 0 {
		return s, route.Pick{}, false
	}
	pick, ok := d.router.Choose(d.now(), service, nil)
	return s, pick, ok
}

// release returns a target's slot and starts the next request.
func (d *dispatcher) release(s *serviceState, pick route.Pick, result route.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.router.Finished(now, pick, result)
	if result == route.Answered {
		s.latency.add(now - pick.Start)
	}
	d.pump(now, s)
}

// finish ends a request's hold on admission.
func (d *dispatcher) finish(h *slot, learn bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h.state.core.Finished(h.id, d.now()-h.began, learn)
}

// spendRetry takes a retry from the budget and reports whether there was one.
func (d *dispatcher) spendRetry(s *serviceState) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return s.retries.Spend()
}

// hedge takes a slot for a hedge within the budget, if nobody waits for it.
func (d *dispatcher) hedge(s *serviceState, avoid []spec.WorkerID) (route.Pick, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.core.Waiting() > 0 {
		return route.Pick{}, false
	}
	pick, ok := d.router.Choose(d.now(), s.id, avoid)
	if ok && !s.hedges.Spend() {
		d.router.Finished(d.now(), pick, route.Unmeasured)
		return route.Pick{}, false
	}
	return pick, ok
}

// hedgeAfter returns the time after which an answer is late.
func (d *dispatcher) hedgeAfter(s *serviceState) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(s.latency.p95(), ms(d.config.MinHedgeMS))
}

// tick lets time pass for all queues.
func (d *dispatcher) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for _, s := range d.services {
		d.pump(now, s)
	}
}

// countSlots tells admission how many slots are granted. It looks at every
// target, so it is not done for each request.
func (d *dispatcher) countSlots(now time.Duration) {
	for id, s := range d.services {
		_, s.granted = d.router.Slots(now, id)
		s.core.SetGranted(s.granted)
	}
}

func (d *dispatcher) sign(id spec.WorkerID, sign route.Sign) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.Sign(d.now(), id, sign)
}
