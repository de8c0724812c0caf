package sched

import (
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"redwingvale/internal/record"
	"redwingvale/internal/spec"

	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// maxViewWait bounds how long a call may wait for a new view.
const maxViewWait = 10 * time.Second

// viewKey is the only key of the notifier of view changes.
type viewKey struct{}

// sharedView is the newest view, for the handlers of the connect servers.
type sharedView struct {
	current       atomic.Pointer[schedv1.GetViewResponse]
	groupByWorker atomic.Pointer[map[string]spec.GroupID]
	changed       *changeNotifier[viewKey]
}

func newSharedView() *sharedView {
	view := &sharedView{changed: newChangeNotifier[viewKey]()}
	view.current.Store(&schedv1.GetViewResponse{})
	view.groupByWorker.Store(&map[string]spec.GroupID{})
	return view
}

// groupOfWorker returns the group of each known worker. The map must not be
// changed.
func (v *sharedView) groupOfWorker() map[string]spec.GroupID { return *v.groupByWorker.Load() }

// publishView replaces the shared view with the current state of the cores.
func (d *decisionLoop) publishView() {
	view := d.sched.view
	next := &schedv1.GetViewResponse{
		Version:  view.current.Load().GetVersion() + 1,
		Members:  d.ownership.Members(),
		Services: d.config.State().Revisions(),

		ServicesKnown: d.configLoaded,
	}
	for _, owner := range d.ownership.Owners() {
		next.Groups = append(next.Groups, &schedv1.GroupView{
			Id:    string(owner.Group),
			Owner: string(owner.Owner),
			Epoch: uint64(owner.Epoch),
		})
	}
	index := make(map[string]spec.GroupID)
	for _, known := range d.workers.sorted() {
		next.Workers = append(next.Workers, workerView(known))
		index[string(known.worker.ID)] = known.worker.Group
	}
	view.groupByWorker.Store(&index)
	view.current.Store(next)
	view.changed.notify(viewKey{})
}

func workerView(known knownWorker) *schedv1.WorkerView {
	return &schedv1.WorkerView{
		Id:         string(known.worker.ID),
		Group:      string(known.worker.Group),
		Rack:       string(known.worker.Rack),
		DataCentre: string(known.worker.DataCentre),
		TargetAddr: known.worker.TargetAddr,
		Service:    string(known.worker.Service),
		Leaving:    known.leaving,
		ListStamp:  known.stamp,
		Capacity:   record.FromResources(known.worker.Capacity),
	}
}

// GetView implements the SchedService. If the caller has the current version,
// it waits for the next one until the time limit.
func (s *Sched) GetView(ctx context.Context, call *connect.Request[schedv1.GetViewRequest]) (*connect.Response[schedv1.GetViewResponse], error) {
	limit := min(milliseconds(int64(call.Msg.GetWaitMs())), maxViewWait)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		changed := s.view.changed.next(viewKey{})
		current := s.view.current.Load()
		if current.GetVersion() != call.Msg.GetKnownVersion() || !wait(ctx, changed) {
			return connect.NewResponse(current), nil
		}
	}
}

// ownerOf returns the address of the rwsched that owns a group, and whether
// it is this one.
func (s *Sched) ownerOf(id spec.GroupID) (addr string, own bool) {
	view := s.view.current.Load()
	owner := ""
	for _, g := range view.GetGroups() {
		if g.GetId() == string(id) {
			owner = g.GetOwner()
		}
	}
	if owner == s.config.Instance {
		return s.sockets.Peer.Addr().String(), true
	}
	return memberAddress(view, owner), false
}

func memberAddress(view *schedv1.GetViewResponse, instance string) string {
	for _, member := range view.GetMembers() {
		if member.GetInstance() == instance {
			return member.GetSchedAddr()
		}
	}
	return ""
}

func (d *decisionLoop) addressOfOwner(id spec.GroupID) string {
	addr, _ := d.sched.ownerOf(id)
	return addr
}
