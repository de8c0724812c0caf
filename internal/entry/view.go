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

// The timing of view requests.
const (
	viewPollWait   = time.Second
	viewRetryDelay = 100 * time.Millisecond
	// viewResponseMargin is the time that a response may take beyond the wait
	// at the server.
	viewResponseMargin = time.Second
)

// viewWatcher follows the view of members, owners and workers and holds its
// latest version.
type viewWatcher struct {
	entry *Entry

	mu sync.Mutex
	// clients holds the rwsched clients by address, schedAddrs the rwsched
	// address of each known member.
	clients    map[string]schedv1connect.SchedServiceClient
	schedAddrs map[spec.InstanceID]string
	workers    []route.Worker
	// renewers holds the running renewers by owner.
	renewers map[spec.InstanceID]*renewer
	version  uint64
	received bool
	// isMember is set if the latest view lists this instance as active.
	isMember bool
	// servicesKnown is set once a view came from an rwsched that has read all
	// services.
	servicesKnown bool
	// source is the address of the rwsched that the version comes from, or ""
	// for the rwsched of this instance.
	source string
}

func newViewWatcher(e *Entry) *viewWatcher {
	return &viewWatcher{
		entry:      e,
		clients:    make(map[string]schedv1connect.SchedServiceClient),
		schedAddrs: make(map[spec.InstanceID]string),
		renewers:   make(map[spec.InstanceID]*renewer),
	}
}

// active reports whether the instance is an active member and servicesKnown is
// set. Otherwise callers should go to another entry, because owners grant
// slots only to active members.
func (v *viewWatcher) active() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.received && v.isMember && v.servicesKnown
}

// run follows the view of the instance's own rwsched, or that of another member
// while its own does not respond.
func (v *viewWatcher) run(ctx context.Context) {
	defer v.stopRenewers()
	for ctx.Err() == nil {
		if v.fetch(ctx, "", v.entry.deps.OwnSched) {
			continue
		}
		if v.fetchFromOthers(ctx) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(viewRetryDelay):
		}
	}
}

func (v *viewWatcher) fetchFromOthers(ctx context.Context) bool {
	for _, addr := range v.otherSchedAddrs() {
		if ctx.Err() == nil && v.fetch(ctx, addr, v.client(addr)) {
			return true
		}
	}
	return false
}

// otherSchedAddrs returns the rwsched addresses of the other members, ordered
// by instance.
func (v *viewWatcher) otherSchedAddrs() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	ids := make([]string, 0, len(v.schedAddrs))
	for id := range v.schedAddrs {
		if string(id) != v.entry.config.Instance {
			ids = append(ids, string(id))
		}
	}
	sort.Strings(ids)
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		out = append(out, v.schedAddrs[spec.InstanceID(id)])
	}
	return out
}

func (v *viewWatcher) client(addr string) schedv1connect.SchedServiceClient {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.clients[addr]
	if c == nil {
		c = v.entry.deps.Sched(addr)
		v.clients[addr] = c
	}
	return c
}

// fetch requests the view and waits until it differs from the known version or
// the wait ends. It returns false if the rwsched did not respond.
func (v *viewWatcher) fetch(ctx context.Context, source string, client schedv1connect.SchedServiceClient) bool {
	if client == nil {
		return false
	}
	version := v.versionFrom(source)
	fetchCtx, cancel := context.WithTimeout(ctx, viewPollWait+viewResponseMargin)
	defer cancel()
	req := &schedv1.GetViewRequest{KnownVersion: version, WaitMs: uint32(viewPollWait.Milliseconds())}
	resp, err := client.GetView(fetchCtx, connect.NewRequest(req))
	if err != nil {
		return false
	}
	if resp.Msg.GetVersion() == version && version != 0 {
		return true
	}
	v.apply(ctx, source, resp.Msg)
	return true
}

// versionFrom returns the known version if it comes from the source, and
// otherwise 0. Versions of different sources cannot be compared.
func (v *viewWatcher) versionFrom(source string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.source != source {
		return 0
	}
	return v.version
}

// apply makes the view the current one.
func (v *viewWatcher) apply(ctx context.Context, source string, view *schedv1.GetViewResponse) {
	owners := make(map[string]spec.InstanceID, len(view.GetGroups()))
	for _, g := range view.GetGroups() {
		owners[g.GetId()] = spec.InstanceID(g.GetOwner())
	}
	workers := make([]route.Worker, 0, len(view.GetWorkers()))
	for _, w := range view.GetWorkers() {
		workers = append(workers, routeWorker(w, owners[w.GetGroup()]))
	}
	v.applyMembers(view)
	v.mu.Lock()
	v.workers = workers
	v.version = view.GetVersion()
	v.source = source
	v.received = true
	v.servicesKnown = v.servicesKnown || view.GetServicesKnown()
	v.mu.Unlock()
	v.entry.dispatch.setWorkers(workers)
	if v.entry.deps.OnView != nil {
		v.entry.deps.OnView(view)
	}
	v.syncRenewers(ctx, owners)
	v.entry.deps.Log.Debug("view", zap.Uint64("version", view.GetVersion()), zap.Int("workers", len(workers)))
}

func routeWorker(w *schedv1.WorkerView, owner spec.InstanceID) route.Worker {
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

// applyMembers applies the members of a view: their rwsched addresses, their
// entry addresses, and the homes of idempotency keys.
func (v *viewWatcher) applyMembers(view *schedv1.GetViewResponse) {
	entries := make(map[spec.InstanceID]string)
	var active []dedupe.Member
	v.mu.Lock()
	v.isMember = false
	for _, m := range view.GetMembers() {
		id := spec.InstanceID(m.GetInstance())
		v.schedAddrs[id] = m.GetSchedAddr()
		if !m.GetActive() || m.GetEntryAddr() == "" {
			continue
		}
		member := dedupe.Member{Instance: id, Incarnation: spec.Incarnation(m.GetIncarnation())}
		if m.GetInstance() == v.entry.config.Instance {
			v.isMember = true
		} else {
			entries[id] = m.GetEntryAddr()
		}
		active = append(active, member)
	}
	v.mu.Unlock()
	v.entry.peers.set(entries)
	v.entry.dispatch.setEntryCount(len(active))
	v.entry.keys.SetMembers(active)
}

// applyLimits sets the connection limits to the current grants, so that
// connections are closed when their grant has expired.
func (v *viewWatcher) applyLimits() {
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
		d.startWaiting(now, s)
	}
}

func (d *dispatcher) setEntryCount(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entryCount = max(n, 1)
}

func (d *dispatcher) connectionLimits(workers []route.Worker) []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.updateGrantedSlots(now)
	out := make([]int, len(workers))
	for i, w := range workers {
		out[i] = d.router.Connections(now, w.ID)
	}
	return out
}
