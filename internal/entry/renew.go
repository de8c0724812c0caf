package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"redwingvale/internal/delay"
	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
	"redwingvale/internal/gen/redwingvale/sched/v1/schedv1connect"
	"redwingvale/internal/route"
	"redwingvale/internal/spec"
)

// The timing of renewals.
const (
	// renewTimeout leaves time for a second attempt before a grant ends.
	renewTimeout = 400 * time.Millisecond
	// minRenewPause spaces renewals under pressure.
	minRenewPause = 50 * time.Millisecond
)

// renewer renews the grants of one owner.
type renewer struct {
	entry *Entry
	owner spec.InstanceID
	stop  context.CancelFunc
	kick  chan struct{}
}

// startRenewers starts a renewer for each new owner and stops those of former
// owners.
func (v *viewKeeper) startRenewers(ctx context.Context, owners map[string]spec.InstanceID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	current := make(map[spec.InstanceID]bool)
	for _, owner := range owners {
		if owner != "" {
			current[owner] = true
		}
	}
	for owner, r := range v.renewers {
		if !current[owner] {
			r.stop()
			delete(v.renewers, owner)
		}
	}
	for owner := range current {
		if r := v.renewers[owner]; r != nil {
			r.nudge()
			continue
		}
		own, stop := context.WithCancel(ctx)
		r := &renewer{entry: v.entry, owner: owner, stop: stop, kick: make(chan struct{}, 1)}
		v.renewers[owner] = r
		v.entry.background.Add(1)
		go r.run(own)
	}
}

func (v *viewKeeper) stopRenewers() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range v.renewers {
		r.stop()
	}
}

// followPressure renews ahead of time while requests wait for a slot.
func (e *Entry) followPressure(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.dispatch.kick:
			e.views.nudgeRenewers()
			_ = delay.Wait(ctx, minRenewPause)
		}
	}
}

// nudgeRenewers asks all owners for grants now.
func (v *viewKeeper) nudgeRenewers() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range v.renewers {
		r.nudge()
	}
}

func (r *renewer) nudge() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// run renews every interval, and at once under pressure.
func (r *renewer) run(ctx context.Context) {
	defer r.entry.background.Done()
	interval := ms(r.entry.config.RenewIntervalMS)
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for ctx.Err() == nil {
		began := time.Now()
		r.renew(ctx)
		_ = delay.Wait(ctx, min(minRenewPause, interval)-time.Since(began))
		timer.Reset(max(interval-time.Since(began), 0))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.kick:
		}
	}
}

// renew reports what is held and wanted, and takes the grants in. The sequence
// is taken before the holdings, and one renewer has one request open at a
// time, so an owner that sees a larger sequence sees newer holdings.
func (r *renewer) renew(ctx context.Context) {
	e := r.entry
	client := e.views.schedOf(r.owner)
	if client == nil {
		return
	}
	draining := e.phase.Load() >= draining
	sent := e.now()
	req := &schedv1.RenewGrantsRequest{
		Entry:            e.config.Instance,
		EntryIncarnation: e.config.Incarnation,
		Draining:         draining,
		Sequence:         e.renewals.Add(1),
		RunningMs:        uint64(sent.Milliseconds()),
	}
	for _, h := range e.dispatch.holdings(r.owner, e.phase.Load() >= closing) {
		req.Holdings = append(req.Holdings, &schedv1.Holding{
			Worker:          string(h.Worker),
			InUse:           uint32(h.InUse),
			Want:            uint32(h.Want),
			Connections:     uint32(e.pool.Open(h.Worker)),
			HeldSlots:       uint32(h.Held),
			HeldConnections: uint32(h.HeldConnections),
			Epoch:           uint64(h.Epoch),
		})
	}
	limited, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	resp, err := client.RenewGrants(limited, connect.NewRequest(req))
	if err != nil {
		return
	}
	e.takeGrants(sent, r.owner, resp.Msg.GetGrants())
}

// schedOf returns the client of a member's rwsched, or nil.
func (v *viewKeeper) schedOf(id spec.InstanceID) schedv1connect.SchedServiceClient {
	if string(id) == v.entry.config.Instance {
		return v.entry.deps.OwnSched
	}
	v.mu.Lock()
	addr := v.scheds[id]
	v.mu.Unlock()
	if addr == "" {
		return nil
	}
	return v.client(addr)
}

// takeGrants sets the connection limits first, so that a pick never finds an
// older one, and then lets requests start.
func (e *Entry) takeGrants(sent time.Duration, owner spec.InstanceID, granted []*schedv1.Grant) {
	grants := make([]route.Grant, 0, len(granted))
	for _, g := range granted {
		grants = append(grants, route.Grant{
			Worker:      spec.WorkerID(g.GetWorker()),
			Epoch:       spec.Epoch(g.GetEpoch()),
			Slots:       int(g.GetSlots()),
			Connections: int(g.GetConnections()),
			Valid:       time.Duration(g.GetValidMs()) * time.Millisecond,
		})
	}
	e.dispatch.granted(sent, owner, grants, e.pool)
}

// limiter sets the connection limit of a target.
type limiter interface {
	SetLimit(id spec.WorkerID, addr string, limit int)
}

func (d *dispatcher) granted(sent time.Duration, owner spec.InstanceID, grants []route.Grant, limits limiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.router.Granted(now, sent, owner, grants)
	for _, g := range grants {
		if addr, ok := d.addrs[g.Worker]; ok {
			limits.SetLimit(g.Worker, addr, d.router.Connections(now, g.Worker))
		}
	}
	d.countSlots(now)
	for _, s := range d.services {
		d.pump(now, s)
	}
}

// holdings returns what to report to the owner. A closing entry wants nothing.
func (d *dispatcher) holdings(owner spec.InstanceID, closing bool) []route.Holding {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.router.Holdings(d.now(), owner)
	if closing {
		for i := range out {
			out[i].Want = 0
		}
	}
	return out
}
