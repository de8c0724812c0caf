package entry

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"redwingvale/internal/code"
	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
	"redwingvale/internal/gen/redwingvale/sched/v1/schedv1connect"
	"redwingvale/internal/spec"
)

// exponentialDraw returns an exponentially distributed value with mean 1 that
// is derived from the hash of an id.
func exponentialDraw(id string) float64 {
	u := (float64(xxhash.Sum64String(id)>>11) + 1) / (1 << 53)
	return -math.Log(u)
}

// fakeOwner is an rwsched that grants the slots of all workers and tracks them.
type fakeOwner struct {
	schedv1connect.SchedServiceClient
	cluster *testCluster

	mu          sync.Mutex
	grants      map[string]map[string]fakeGrantState
	jobs        map[string]*schedv1.JobResponse
	unavailable bool
	// failRenewalsOf is the name of an entry whose renewals fail.
	failRenewalsOf string
}

// StopInstance returns immediately and has no effect.
func (f *fakeOwner) StopInstance(context.Context, *connect.Request[schedv1.StopInstanceRequest]) (*connect.Response[schedv1.StopInstanceResponse], error) {
	return connect.NewResponse(&schedv1.StopInstanceResponse{}), nil
}

type fakeGrantState struct {
	slots int
	end   time.Time
	inUse int
}

// testCluster consists of targets, one owner of all of them, and entries.
type testCluster struct {
	tb       testing.TB
	owner    *fakeOwner
	services fakeServices

	mu          sync.Mutex
	targets     map[string]*fakeTarget
	workers     []*schedv1.WorkerView
	members     []*recordv1.Member
	version     uint64
	changed     chan struct{}
	slots       int
	connections int
}

type fakeServices map[spec.ServiceID]ServiceSettings

func (f fakeServices) Resolve(name string) (spec.TeamID, error) {
	switch name {
	case "desk", "K-100":
		return "desk", nil
	case "rival":
		return "rival", nil
	case "K-2":
		return "", code.New(code.AmbiguousAlias, "K-2 belongs to desk and rival")
	}
	return "", code.New(code.UnknownTeam, "no team %s", name)
}

func (f fakeServices) Service(_ spec.TeamID, service spec.ServiceID) (ServiceSettings, error) {
	s, ok := f[service]
	if !ok {
		return s, code.New(code.UnknownService, "no service %s", service)
	}
	return s, nil
}

// newTestCluster returns a cluster with n targets of the service "draft".
func newTestCluster(tb testing.TB, n int) *testCluster {
	cl := &testCluster{tb: tb, targets: map[string]*fakeTarget{}, version: 1, changed: make(chan struct{}), slots: 8, connections: 60}
	cl.services = fakeServices{"draft": {}, "safe": {Idempotent: true}, "batch": {NoUrgent: true}}
	cl.owner = &fakeOwner{cluster: cl, grants: map[string]map[string]fakeGrantState{}, jobs: map[string]*schedv1.JobResponse{}}
	for i := range n {
		cl.addTarget(fmt.Sprintf("w%03d", i), "draft", "dc1")
	}
	return cl
}

func (cl *testCluster) addTarget(id, service, dc string) *fakeTarget {
	t := newFakeTarget(cl.tb)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.targets[id] = t
	cl.workers = append(cl.workers, &schedv1.WorkerView{
		Id: id, Group: "g1", DataCentre: dc, TargetAddr: t.addr(), Service: service, ListStamp: 1,
	})
	cl.publishView()
	return t
}

// publishView increments the version of the view. The lock must be held.
func (cl *testCluster) publishView() {
	cl.version++
	close(cl.changed)
	cl.changed = make(chan struct{})
}

func (cl *testCluster) updateView(edit func()) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	edit()
	cl.publishView()
}

func (cl *testCluster) view() *schedv1.GetViewResponse {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return &schedv1.GetViewResponse{
		Version: cl.version,
		Members: append([]*recordv1.Member(nil), cl.members...),
		Groups:  []*schedv1.GroupView{{Id: "g1", Owner: "owner", Epoch: 1}},
		Workers: append([]*schedv1.WorkerView(nil), cl.workers...),

		ServicesKnown: true,
	}
}

func (o *fakeOwner) GetView(ctx context.Context, req *connect.Request[schedv1.GetViewRequest]) (*connect.Response[schedv1.GetViewResponse], error) {
	o.cluster.mu.Lock()
	version, changed := o.cluster.version, o.cluster.changed
	o.cluster.mu.Unlock()
	if version == req.Msg.GetKnownVersion() {
		select {
		case <-changed:
		case <-time.After(time.Duration(req.Msg.GetWaitMs()) * time.Millisecond):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return connect.NewResponse(o.cluster.view()), nil
}

const fakeGrantDuration = time.Second

// RenewGrants grants the requested slots up to the free capacity and an equal
// share.
func (o *fakeOwner) RenewGrants(_ context.Context, req *connect.Request[schedv1.RenewGrantsRequest]) (*connect.Response[schedv1.RenewGrantsResponse], error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unavailable || o.failRenewalsOf == req.Msg.GetEntry() {
		return nil, connect.NewError(connect.CodeUnavailable, context.Canceled)
	}
	entries := o.cluster.activeEntries()
	share := (o.cluster.slots + entries - 1) / entries
	out := &schedv1.RenewGrantsResponse{}
	now := time.Now()
	for _, h := range req.Msg.GetHoldings() {
		others := 0
		for entry, g := range o.grants[h.GetWorker()] {
			if entry != req.Msg.GetEntry() {
				others += max(g.inUse, g.slotsAt(now))
			}
		}
		slots := max(min(int(h.GetWant()), share, o.cluster.slots-others), 0)
		if o.grants[h.GetWorker()] == nil {
			o.grants[h.GetWorker()] = map[string]fakeGrantState{}
		}
		o.grants[h.GetWorker()][req.Msg.GetEntry()] = fakeGrantState{
			slots: max(slots, int(h.GetInUse())), end: now.Add(fakeGrantDuration), inUse: int(h.GetInUse()),
		}
		out.Grants = append(out.Grants, &schedv1.Grant{
			Worker: h.GetWorker(), Epoch: 1, Slots: uint32(slots),
			Connections: uint32(o.cluster.connections / entries), ValidMs: uint32(fakeGrantDuration.Milliseconds()),
		})
	}
	return connect.NewResponse(out), nil
}

// activeEntries returns the number of active members, at least 1.
func (cl *testCluster) activeEntries() int {
	n := 0
	for _, m := range cl.view().GetMembers() {
		if m.GetActive() {
			n++
		}
	}
	return max(n, 1)
}

func (g fakeGrantState) slotsAt(now time.Time) int {
	if now.After(g.end) {
		return 0
	}
	return g.slots
}

func (o *fakeOwner) SubmitJob(_ context.Context, req *connect.Request[schedv1.SubmitJobRequest]) (*connect.Response[schedv1.JobResponse], error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unavailable {
		return nil, connect.NewError(connect.CodeUnavailable, &net.OpError{Op: "dial", Err: context.Canceled})
	}
	response := &schedv1.JobResponse{Job: req.Msg.GetJob(), State: "accepted", Group: "g1"}
	o.jobs[req.Msg.GetJob().GetId().GetName()] = response
	return connect.NewResponse(response), nil
}

func (o *fakeOwner) GetJob(_ context.Context, req *connect.Request[schedv1.GetJobRequest]) (*connect.Response[schedv1.JobResponse], error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if response, ok := o.jobs[req.Msg.GetJob().GetName()]; ok {
		return connect.NewResponse(response), nil
	}
	return connect.NewResponse(&schedv1.JobResponse{Code: int32(code.UnknownJob)}), nil
}

func (o *fakeOwner) CancelJob(ctx context.Context, req *connect.Request[schedv1.CancelJobRequest]) (*connect.Response[schedv1.JobResponse], error) {
	return o.GetJob(ctx, connect.NewRequest(&schedv1.GetJobRequest{Job: req.Msg.GetJob()}))
}

// testEntry is a running entry.
type testEntry struct {
	*Entry
	stop context.CancelFunc
	done chan error
}

var incarnations uint64

// startEntry runs an entry, adds it to the members and waits for its grants.
func (cl *testCluster) startEntry(name string, configure func(*Config)) *testEntry {
	config := DefaultConfig()
	config.Instance, config.DataCentre = name, "dc1"
	config.Listen, config.PeerListen = "127.0.0.1:0", "127.0.0.1:0"
	config.BalancerWaitMS, config.ViewSpreadMS, config.Seed = 200, 0, 1
	config.KeyTakeoverMS, config.KeyClockGuardMS = 500, 100
	// The member list has the incarnation of the instance's rwsched, which is a
	// separate process.
	incarnations += 2
	config.Incarnation = incarnations
	if configure != nil {
		configure(&config)
	}
	e, err := New(config, Deps{
		Log: zap.NewNop(), Scope: tally.NoopScope, Services: cl.services, OwnSched: cl.owner,
		Sched: func(string) schedv1connect.SchedServiceClient { return cl.owner },
	})
	if err != nil {
		cl.tb.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t := &testEntry{Entry: e, stop: stop, done: make(chan error, 1)}
	cl.updateView(func() {
		cl.members = append(cl.members, &recordv1.Member{
			Instance: name, Incarnation: config.Incarnation + 1, DataCentre: "dc1",
			SchedAddr: "owner", EntryAddr: e.PeerAddr(), Active: true,
		})
		if len(cl.members) == 1 {
			cl.members = append(cl.members, &recordv1.Member{Instance: "owner", SchedAddr: "owner"})
		}
	})
	go func() { t.done <- e.Run(ctx) }()
	cl.tb.Cleanup(stop)
	cl.await("the entry's grants", func() bool { return t.Ready() && t.grantedSlots() > 0 })
	return t
}

func (t *testEntry) grantedSlots() int {
	t.dispatch.mu.Lock()
	defer t.dispatch.mu.Unlock()
	_, granted := t.dispatch.router.Slots(t.now(), "draft")
	return granted
}

// await polls until the condition holds. The time that it takes is not checked,
// but it fails the test after 3000 polls.
func (cl *testCluster) await(subject string, condition func() bool) {
	cl.tb.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	cl.tb.Fatal("timed out waiting for " + subject)
}

func (cl *testCluster) runCount(id string) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	total := 0
	for _, t := range cl.targets {
		total += t.runCount(id)
	}
	return total
}

func (cl *testCluster) setModes(mode int32) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, t := range cl.targets {
		t.mode.Store(mode)
	}
}

// client returns an HTTP client that closes its connections after the test.
func (cl *testCluster) client() *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	cl.tb.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// knownCount returns the number of current peers.
func (p *peerSet) knownCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers)
}
