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
	// renewTimeout leaves time for a second attempt before a grant expires.
	renewTimeout = 400 * time.Millisecond
	// minRenewInterval limits the rate of renewals under load.
	minRenewInterval = 50 * time.Millisecond
)

// renewer renews the grants of one owner.
type renewer struct {
	entry    *Entry
	owner    spec.InstanceID
	stop     context.CancelFunc
	renewNow chan struct{}
}

// syncRenewers starts a renewer for each new owner, triggers those of the
// current owners and stops those of former owners.
func (v *viewWatcher) syncRenewers(ctx context.Context, owners map[string]spec.InstanceID) {
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
			r.requestRenewal()
			continue
		}
		renewerCtx, stop := context.WithCancel(ctx)
		r := &renewer{entry: v.entry, owner: owner, stop: stop, renewNow: make(chan struct{}, 1)}
		v.renewers[owner] = r
		v.entry.background.Add(1)
		go r.run(renewerCtx)
	}
}

func (v *viewWatcher) stopRenewers() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range v.renewers {
		r.stop()
	}
}

// renewUnderLoad renews grants before the next interval while requests wait
// for a slot.
func (e *Entry) renewUnderLoad(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.dispatch.renewNow:
			e.views.renewAllNow()
			_ = delay.Wait(ctx, minRenewInterval)
		}
	}
}

// renewAllNow requests an immediate renewal from all owners.
func (v *viewWatcher) renewAllNow() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range v.renewers {
		r.requestRenewal()
	}
}

func (r *renewer) requestRenewal() {
	select {
	case r.renewNow <- struct{}{}:
	default:
	}
}

// run renews the grants at every interval and when a renewal is requested.
func (r *renewer) run(ctx context.Context) {
	defer r.entry.background.Done()
	interval := ms(r.entry.config.RenewIntervalMS)
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for ctx.Err() == nil {
		began := time.Now()
		r.renew(ctx)
		_ = delay.Wait(ctx, min(minRenewInterval, interval)-time.Since(began))
		timer.Reset(max(interval-time.Since(began), 0))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.renewNow:
		}
	}
}

// renew reports the slots held and wanted to the owner and applies the grants
// in its response. The sequence number is taken before the holdings are read,
// and a renewer has only one request in flight. A larger sequence number
// therefore always comes with newer holdings.
func (r *renewer) renew(ctx context.Context) {
	e := r.entry
	client := e.views.schedClient(r.owner)
	if client == nil {
		return
	}
	draining := e.phase.Load() >= draining
	sent := e.now()
	req := &schedv1.RenewGrantsRequest{
		Entry:            e.config.Instance,
		EntryIncarnation: e.config.Incarnation,
		Draining:         draining,
		Sequence:         e.renewalSeq.Add(1),
		RunningMs:        uint64(sent.Milliseconds()),
	}
	for _, h := range e.dispatch.holdings(r.owner, e.phase.Load() >= closing) {
		req.Holdings = append(req.Holdings, &schedv1.Holding{
			Worker:          string(h.Worker),
			InUse:           uint32(h.InUse),
			Want:            uint32(h.Want),
			Connections:     uint32(e.pool.OpenConnections(h.Worker)),
			HeldSlots:       uint32(h.HeldSlots),
			HeldConnections: uint32(h.HeldConnections),
			Epoch:           uint64(h.Epoch),
		})
	}
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	resp, err := client.RenewGrants(callCtx, connect.NewRequest(req))
	if err != nil {
		return
	}
	e.applyGrants(sent, r.owner, resp.Msg.GetGrants())
}

// schedClient returns the client of a member's rwsched, or nil if its address
// is not known.
func (v *viewWatcher) schedClient(id spec.InstanceID) schedv1connect.SchedServiceClient {
	if string(id) == v.entry.config.Instance {
		return v.entry.deps.OwnSched
	}
	v.mu.Lock()
	addr := v.schedAddrs[id]
	v.mu.Unlock()
	if addr == "" {
		return nil
	}
	return v.client(addr)
}

// applyGrants sets the connection limits before it starts waiting requests, so
// that a picked target never has an outdated limit.
func (e *Entry) applyGrants(sent time.Duration, owner spec.InstanceID, granted []*schedv1.Grant) {
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
	e.dispatch.applyGrants(sent, owner, grants, e.pool)
}

// connectionLimiter sets the connection limit of a target.
type connectionLimiter interface {
	SetLimit(id spec.WorkerID, addr string, limit int)
}

func (d *dispatcher) applyGrants(sent time.Duration, owner spec.InstanceID, grants []route.Grant, limits connectionLimiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.router.ApplyGrants(now, sent, owner, grants)
	for _, g := range grants {
		if addr, ok := d.addrs[g.Worker]; ok {
			limits.SetLimit(g.Worker, addr, d.router.Connections(now, g.Worker))
		}
	}
	d.updateGrantedSlots(now)
	for _, s := range d.services {
		d.startWaiting(now, s)
	}
}

// holdings returns the holdings to report to the owner. A closing entry
// requests no slots.
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
