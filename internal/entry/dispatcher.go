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

// dispatcher combines admission and routing: it starts a waiting request when a
// slot is free. A single mutex, held only briefly, guards both.
type dispatcher struct {
	now    func() time.Duration
	config Config

	mu         sync.Mutex
	router     route.Router
	services   map[spec.ServiceID]*serviceState
	lastID     admit.RequestID
	entryCount int
	// addrs holds the target address of each known worker.
	addrs map[spec.WorkerID]string
	// renewNow requests a renewal of the grants before the next interval.
	renewNow chan struct{}
}

// serviceState is the admission state of one service.
type serviceState struct {
	id        spec.ServiceID
	admission *admit.Controller
	waiters   map[admit.RequestID]chan waitResult
	retries   *admit.Budget
	hedges    *admit.Budget
	latency   latencyEstimator
	granted   int
}

// waitResult ends the wait of a request: either a pick, or the code with which
// it is rejected.
type waitResult struct {
	pick route.Pick
	code code.Code
}

func newDispatcher(router route.Router, now func() time.Duration, config Config) *dispatcher {
	return &dispatcher{
		now:        now,
		config:     config,
		router:     router,
		services:   make(map[spec.ServiceID]*serviceState),
		entryCount: 1,
		renewNow:   make(chan struct{}, 1),
	}
}

func (d *dispatcher) state(id spec.ServiceID) *serviceState {
	s := d.services[id]
	if s == nil {
		settings := admit.DefaultSettings()
		settings.FIFOOnly = d.config.Baseline
		s = &serviceState{
			id:        id,
			admission: admit.New(settings),
			waiters:   make(map[admit.RequestID]chan waitResult),
			retries:   admit.NewBudget(admit.RetryShare),
			hedges:    admit.NewBudget(admit.HedgeShare),
		}
		d.services[id] = s
		_, s.granted = d.router.Slots(d.now(), id)
		s.admission.SetGranted(s.granted)
	}
	return s
}

// hasSlots reports whether any slot of the service was granted when the granted
// slots were last counted.
func (d *dispatcher) hasSlots(id spec.ServiceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state(id).granted > 0
}

// slot is the admission and the target slot that a started request holds.
type slot struct {
	state *serviceState
	id    admit.RequestID
	pick  route.Pick
	began time.Duration
}

// acquire waits until the request may start. The code of its errors has the
// outcome not_run.
func (d *dispatcher) acquire(ctx context.Context, team spec.TeamID, service spec.ServiceID, settings ServiceSettings, deadline time.Duration) (*slot, error) {
	result := make(chan waitResult, 1)
	d.mu.Lock()
	if !d.router.HasTarget(service) {
		d.mu.Unlock()
		return nil, code.New(code.NoTarget, "service %s has no target", service)
	}
	s := d.state(service)
	s.admission.SetTeam(team, d.teamLimits(settings))
	d.lastID++
	id := d.lastID
	now := d.now()
	s.retries.Deposit()
	s.hedges.Deposit()
	s.waiters[id] = result
	request := admit.Request{ID: id, Team: team, Class: spec.Urgent, Deadline: deadline}
	d.applyDecisions(s, s.admission.Arrive(now, request))
	d.startWaiting(now, s)
	d.mu.Unlock()
	return d.await(ctx, s, id, result, deadline)
}

// teamLimits returns the team's limits at this entry. The quota applies to all
// entries together and is divided evenly among them.
func (d *dispatcher) teamLimits(settings ServiceSettings) admit.Team {
	bound := settings.QueueBound
	if bound <= 0 {
		bound = d.config.QueueBound
	}
	quota := 0
	if settings.QuotaSlots > 0 {
		quota = (settings.QuotaSlots + d.entryCount - 1) / d.entryCount
	}
	return admit.Team{Quota: quota, Weight: settings.Weight, QueueBound: bound}
}

func (d *dispatcher) await(ctx context.Context, s *serviceState, id admit.RequestID, result chan waitResult, deadline time.Duration) (*slot, error) {
	select {
	case r := <-result:
		return d.slotFrom(s, id, r)
	default:
	}
	timer := time.NewTimer(deadline - d.now())
	defer timer.Stop()
	select {
	case r := <-result:
		return d.slotFrom(s, id, r)
	case <-timer.C:
		return d.cancelWait(s, id, result, code.WaitTimeExceeded)
	case <-ctx.Done():
		return d.cancelWait(s, id, result, code.WaitTimeExceeded)
	}
}

func (d *dispatcher) slotFrom(s *serviceState, id admit.RequestID, r waitResult) (*slot, error) {
	if r.code != code.OK {
		return nil, code.New(r.code, "service %s", s.id)
	}
	return &slot{state: s, id: id, pick: r.pick, began: r.pick.Start}, nil
}

// cancelWait removes the request from the queue, unless it has just started.
func (d *dispatcher) cancelWait(s *serviceState, id admit.RequestID, result chan waitResult, reason code.Code) (*slot, error) {
	d.mu.Lock()
	waited := s.admission.Cancel(id)
	delete(s.waiters, id)
	if waited {
		d.router.SetQueued(d.now(), s.id, s.admission.Waiting())
	}
	d.mu.Unlock()
	if waited {
		return nil, code.New(reason, "service %s", s.id)
	}
	return d.slotFrom(s, id, <-result)
}

// applyDecisions notifies the requests that admission rejects. The lock must be
// held.
func (d *dispatcher) applyDecisions(s *serviceState, decisions []admit.Decision) {
	for _, decision := range decisions {
		if decision.Kind != admit.Reject {
			continue
		}
		d.notifyWaiter(s, decision.ID, waitResult{code: decision.Code})
	}
}

func (d *dispatcher) notifyWaiter(s *serviceState, id admit.RequestID, r waitResult) {
	if waiter, ok := s.waiters[id]; ok {
		delete(s.waiters, id)
		waiter <- r
	}
}

// startWaiting starts waiting requests while slots are free. The lock must be
// held.
func (d *dispatcher) startWaiting(now time.Duration, s *serviceState) {
	if s.admission.Waiting() == 0 {
		return
	}
	d.applyDecisions(s, s.admission.Expire(now))
	for s.admission.Waiting() > 0 {
		pick, ok := d.router.Choose(now, s.id, nil)
		if !ok {
			break
		}
		if !d.startNext(now, s, pick) {
			d.router.Finished(now, pick, route.Unmeasured)
		}
	}
	waiting := s.admission.Waiting()
	d.router.SetQueued(now, s.id, waiting)
	if waiting > 0 {
		d.requestRenewal()
	}
}

// startNext starts the next request with the pick. It returns false if no
// request is left to start.
func (d *dispatcher) startNext(now time.Duration, s *serviceState, pick route.Pick) bool {
	for _, decision := range s.admission.Next(now) {
		if decision.Kind == admit.Start {
			d.notifyWaiter(s, decision.ID, waitResult{pick: pick})
			return true
		}
		d.notifyWaiter(s, decision.ID, waitResult{code: decision.Code})
	}
	return false
}

// requestRenewal requests a renewal of the grants; the renewer limits the rate.
func (d *dispatcher) requestRenewal() {
	select {
	case d.renewNow <- struct{}{}:
	default:
	}
}

// pickAnother takes a slot for another attempt of a started request.
func (d *dispatcher) pickAnother(s *serviceState, avoid []spec.WorkerID) (route.Pick, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.router.Choose(d.now(), s.id, avoid)
}

// pickSpare takes a slot if no request is waiting for one.
func (d *dispatcher) pickSpare(service spec.ServiceID) (*serviceState, route.Pick, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state(service)
	if s.admission.Waiting() > 0 {
		return s, route.Pick{}, false
	}
	pick, ok := d.router.Choose(d.now(), service, nil)
	return s, pick, ok
}

// release releases the slot at the target and starts waiting requests.
func (d *dispatcher) release(s *serviceState, pick route.Pick, result route.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.router.Finished(now, pick, result)
	if result == route.Answered {
		s.latency.record(now - pick.Start)
	}
	d.startWaiting(now, s)
}

// finish releases the request's admission. measured is false if its duration
// says nothing about the service.
func (d *dispatcher) finish(held *slot, measured bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	held.state.admission.Finished(held.id, d.now()-held.began, measured)
}

// withdrawRetry takes a retry from the budget, or returns false if none is
// left.
func (d *dispatcher) withdrawRetry(s *serviceState) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return s.retries.Withdraw()
}

// pickHedge takes a slot for a hedge if no request is waiting and the budget
// allows it.
func (d *dispatcher) pickHedge(s *serviceState, avoid []spec.WorkerID) (route.Pick, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.admission.Waiting() > 0 {
		return route.Pick{}, false
	}
	pick, ok := d.router.Choose(d.now(), s.id, avoid)
	if ok && !s.hedges.Withdraw() {
		d.router.Finished(d.now(), pick, route.Unmeasured)
		return route.Pick{}, false
	}
	return pick, ok
}

// hedgeDelay returns the time without a response after which a hedge is sent.
func (d *dispatcher) hedgeDelay(s *serviceState) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(s.latency.p95(), ms(d.config.MinHedgeMS))
}

// tick expires waiting requests and starts others in all queues.
func (d *dispatcher) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for _, s := range d.services {
		d.startWaiting(now, s)
	}
}

// updateGrantedSlots updates the number of granted slots in admission. It
// iterates over all targets and is therefore not done for each request.
func (d *dispatcher) updateGrantedSlots(now time.Duration) {
	for id, s := range d.services {
		_, s.granted = d.router.Slots(now, id)
		s.admission.SetGranted(s.granted)
	}
}

func (d *dispatcher) applySignal(id spec.WorkerID, signal route.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router.ApplySignal(d.now(), id, signal)
}
