package entry

import (
	"context"
	"sort"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"redwingvale/internal/dedupe"
	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
	"redwingvale/internal/gen/redwingvale/sched/v1/schedv1connect"
	"redwingvale/internal/route"
	"redwingvale/internal/spec"
)

// The timing of the view.
const (
	viewWait       = time.Second
	viewRetryPause = 100 * time.Millisecond
	// viewSlack is added to the wait for the answer's way back.
	viewSlack = time.Second
)

// viewKeeper keeps the last known view of members, owners and workers.
type viewKeeper struct {
	entry *Entry

	mu sync.Mutex
	// clients holds the rwsched clients by address.
	clients map[string]schedv1connect.SchedServiceClient
	scheds  map[spec.InstanceID]string
	workers []route.Worker
	// renewers holds the running renewals by owner.
	renewers map[spec.InstanceID]*renewer
	version  uint64
	has      bool
	// member states that the last view lists this instance as active.
	member bool
	// services states that a view came from an rwsched that knows all services.
	services bool
	// source is the rwsched that the version comes from: "" is the own one.
	source string
}

func newViewKeeper(e *Entry) *viewKeeper {
	return &viewKeeper{
		entry:    e,
		clients:  make(map[string]schedv1connect.SchedServiceClient),
		scheds:   make(map[spec.InstanceID]string),
		renewers: make(map[spec.InstanceID]*renewer),
	}
}

// active reports whether the instance is an active member and knows the
// services. Owners grant slots to active members only, so callers are better
// served elsewhere otherwise.
func (v *viewKeeper) active() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.has && v.member && v.services
}

// run follows the view of the own rwsched, or of another member's while the
// own one does not answer.
func (v *viewKeeper) run(ctx context.Context) {
	defer v.stopRenewers()
	for ctx.Err() == nil {
		if v.fetch(ctx, "", v.entry.deps.OwnSched) {
			continue
		}
		if v.fetchElsewhere(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(viewRetryPause):
		}
	}
}

func (v *viewKeeper) fetchElsewhere(ctx context.Context) bool {
	for _, addr := range v.otherScheds() {
		if ctx.Err() == nil && v.fetch(ctx, addr, v.client(addr)) {
			return true
		}
	}
	return false
}

// otherScheds returns the addresses of the other members' rwsched, in the
// order of their instances.
func (v *viewKeeper) otherScheds() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	ids := make([]string, 0, len(v.scheds))
	for id := range v.scheds {
		if string(id) != v.entry.config.Instance {
			ids = append(ids, string(id))
		}
	}
	sort.Strings(ids)
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		out = append(out, v.scheds[spec.InstanceID(id)])
	}
	return out
}

func (v *viewKeeper) client(addr string) schedv1connect.SchedServiceClient {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.clients[addr]
	if c == nil {
		c = v.entry.deps.Sched(addr)
		v.clients[addr] = c
	}
	return c
}

// fetch waits for a view that differs from the known one.
func (v *viewKeeper) fetch(ctx context.Context, source string, client schedv1connect.SchedServiceClient) bool {
	if client == nil {
		return false
	}
	version := v.versionFrom(source)
	limited, cancel := context.WithTimeout(ctx, viewWait+viewSlack)
	defer cancel()
	req := &schedv1.GetViewRequest{KnownVersion: version, WaitMs: uint32(viewWait.Milliseconds())}
	resp, err := client.GetView(limited, connect.NewRequest(req))
	if err != nil {
		return false
	}
	if resp.Msg.GetVersion() == version && version != 0 {
		return true
	}
	v.apply(ctx, source, resp.Msg)
	return true
}

// versionFrom returns the version that is known from the source. Versions of
// different sources cannot be compared.
func (v *viewKeeper) versionFrom(source string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.source != source {
		return 0
	}
	return v.version
}

// apply takes a view in.
func (v *viewKeeper) apply(ctx context.Context, source string, view *schedv1.GetViewResponse) {
	owners := make(map[string]spec.InstanceID, len(view.GetGroups()))
	for _, g := range view.GetGroups() {
		owners[g.GetId()] = spec.InstanceID(g.GetOwner())
	}
	workers := make([]route.Worker, 0, len(view.GetWorkers()))
	for _, w := range view.GetWorkers() {
		workers = append(workers, workerOf(w, owners[w.GetGroup()]))
	}
	v.applyMembers(view)
	v.mu.Lock()
	v.workers = workers
	v.version = view.GetVersion()
	v.source = source
	v.has = true
	v.services = v.services || view.GetServicesKnown()
	v.mu.Unlock()
	v.entry.dispatch.setWorkers(workers)
	if v.entry.deps.OnView != nil {
		v.entry.deps.OnView(view)
	}
	v.startRenewers(ctx, owners)
	v.entry.deps.Log.Debug("view", zap.Uint64("version", view.GetVersion()), zap.Int("workers", len(workers)))
}

func workerOf(w *schedv1.WorkerView, owner spec.InstanceID) route.Worker {
	return route.Worker{
		ID:         spec.WorkerID(w.GetId()),
		Service:    spec.ServiceID(w.GetService()),
		DataCentre: spec.DataCentre(w.GetDataCentre()),
		Addr:       w.GetTargetAddr(),
		Owner:      owner,
		Leaving:    w.GetLeaving(),
		Stamp:      w.GetListStamp(),
	}
}

// applyMembers takes the members in: their rwsched, their entry, and whether
// they are homes of idempotency keys.
func (v *viewKeeper) applyMembers(view *schedv1.GetViewResponse) {
	entries := make(map[spec.InstanceID]string)
	var active []dedupe.Member
	v.mu.Lock()
	v.member = false
	for _, m := range view.GetMembers() {
		id := spec.InstanceID(m.GetInstance())
		v.scheds[id] = m.GetSchedAddr()
		if !m.GetActive() || m.GetEntryAddr() == "" {
			continue
		}
		member := dedupe.Member{Instance: id, Incarnation: spec.Incarnation(m.GetIncarnation())}
		if m.GetInstance() == v.entry.config.Instance {
			v.member = true
		} else {
			entries[id] = m.GetEntryAddr()
		}
		active = append(active, member)
	}
	v.mu.Unlock()
	v.entry.peers.set(entries)
	v.entry.dispatch.setEntries(len(active))
	v.entry.keys.SetMembers(active)
}

// applyLimits sets the connection limits to the grants of this moment, so that
// connections are closed when their grant has ended.
func (v *viewKeeper) applyLimits() {
	v.mu.Lock()
	workers := v.workers
	v.mu.Unlock()
	limits := v.entry.dispatch.connectionLimits(workers)
	for i, w := range workers {
		v.entry.pool.SetLimit(w.ID, w.Addr, limits[i])
	}
}

func (d *dispatcher) setWorkers(workers []route.Worker) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.router.SetWorkers(now, workers)
	d.addrs = make(map[spec.WorkerID]string, len(workers))
	for _, w := range workers {
		d.addrs[w.ID] = w.Addr
	}
	for _, s := range d.services {
		d.pump(now, s)
	}
}

func (d *dispatcher) setEntries(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = max(n, 1)
}

func (d *dispatcher) connectionLimits(workers []route.Worker) []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.countSlots(now)
	out := make([]int, len(workers))
	for i, w := range workers {
		out[i] = d.router.Connections(now, w.ID)
	}
	return out
}
