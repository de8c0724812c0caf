package node

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"redwingvale/internal/code"
	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/gen/redwingvale/node/v1/nodev1connect"
	"redwingvale/internal/jobs"
)

// knowsOverloadHeader is set on submissions by instances that know the code
// OverloadedQueue. Earlier releases would answer it with 500; they get JobMemoryFull,
// which they answer with 503 and Retry-After as well.
const knowsOverloadHeader = "Rw-Knows-Overload"

// maxPeerConns limits the connections to one other instance.
const maxPeerConns = 16

func newPeerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxPeerConns, MaxConnsPerHost: maxPeerConns,
		DisableCompression: true, IdleConnTimeout: 30 * time.Second,
	}}
}

// newSubmitClient returns a client for submissions, which wait for the leader and must
// not keep other calls from their connections.
func newSubmitClient(fresh bool) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxPeerConns, MaxConnsPerHost: maxSubmitConns, DisableKeepAlives: fresh,
		DisableCompression: true, IdleConnTimeout: 30 * time.Second,
	}}
}

// traceConnection returns a context for a call, and a flag that is set once the
// call has a connection: before that nothing of the call has been sent.
func traceConnection(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), sent
}

func (n *Node) peerClient(address string) nodev1connect.NodeServiceClient {
	return nodev1connect.NewNodeServiceClient(n.peerHTTP, "http://"+address)
}

// sendHeartbeats sends the leader's heartbeats until the term ends: to the
// standbys in each round, to the other members in turn, so that the cost hardly
// grows with the number of members.
//
// They do not wait for the event loop, which a new leader of many workers keeps
// busy for a second, but stop when it has not responded for loopStallLimit.
func (n *Node) sendHeartbeats(t *term) {
	var latest atomic.Pointer[heartbeatTargets]
	go n.refreshTargets(t, &latest)
	clients := map[string]nodev1connect.NodeServiceClient{}
	for round := 0; t.ctx.Err() == nil; round++ {
		targets := latest.Load()
		if targets == nil || n.now().MS-targets.readMS > milliseconds(loopStallLimit) {
			pause(t.ctx, tickInterval)
			continue
		}
		for i, m := range targets.members {
			if i >= standbyCount && (round+i)%n.nonStandbyInterval() != 0 {
				continue
			}
			if clients[m.Peer] == nil {
				clients[m.Peer] = n.peerClient(m.Peer)
			}
			go n.sendHeartbeat(t, m.Peer, clients[m.Peer])
		}
		pause(t.ctx, heartbeatInterval)
	}
}

// nonStandbyInterval returns how many rounds pass between two heartbeats to a
// member that is not a standby. While the log does not confirm the leadership, all
// members have to.
func (n *Node) nonStandbyInterval() int {
	if n.now().MS-n.logEvidenceMS.Load() > milliseconds(2*heartbeatInterval) {
		return nonStandbyRoundsWithoutLog
	}
	return nonStandbyRounds
}

// heartbeatTargets are the members that get heartbeats, strongest first, as of
// the time when the event loop listed them.
type heartbeatTargets struct {
	members []candidate
	readMS  int64
}

// refreshTargets keeps the targets of heartbeats and the delegates current until
// the term ends.
func (n *Node) refreshTargets(t *term, latest *atomic.Pointer[heartbeatTargets]) {
	for t.ctx.Err() == nil {
		members, err := runInLoop(t.ctx, n, dutyMembers, func() []candidate {
			members := n.candidates(n.config.Instance)
			if n.term == t {
				t.delegation.update(members)
				n.noteMajority(t)
			}
			return members
		})
		if err != nil {
			return
		}
		latest.Store(&heartbeatTargets{members, n.now().MS})
		pause(t.ctx, heartbeatInterval)
	}
}

func (n *Node) sendHeartbeat(t *term, peer string, client nodev1connect.NodeServiceClient) {
	ctx, cancel := context.WithTimeout(t.ctx, heartbeatTimeout)
	defer cancel()
	sentMS := n.now().MS
	response, err := client.Heartbeat(ctx, connect.NewRequest(&nodev1.HeartbeatRequest{
		Epoch: t.epoch, Leader: n.config.Instance, PeerAddress: n.config.advertisedPeerAddr(),
		LogAvailable: n.logAvailable(t), Stopping: n.stopping.Load(), Delegates: t.delegation.activeAddresses(),
	}))
	if err != nil {
		// Members that have gone stay in the list until their record is deleted.
		return
	}
	n.post(t.ctx, dutyMembers, func() {
		switch {
		case n.term != t:
		case response.Msg.GetEpoch() > t.epoch:
			n.resign("a member reported a newer leader")
		default:
			t.delegation.responded(peer)
			if response.Msg.GetKnowsLog() {
				n.noteHeartbeatResponse(t, peer, sentMS)
			}
		}
	})
}

func (n *Node) checkLeader(ctx context.Context, peer string, epoch uint64) bool {
	response, err := n.peerClient(peer).CheckLeader(ctx, connect.NewRequest(&nodev1.CheckLeaderRequest{Epoch: epoch}))
	if err != nil {
		return false
	}
	return response.Msg.GetLeaderAlive() || response.Msg.GetEpoch() > epoch
}

// PeerHandler returns the handler for calls from other instances.
func (n *Node) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(nodev1connect.NewNodeServiceHandler(&peerServer{n}))
	return mux
}

type peerServer struct{ n *Node }

var _ nodev1connect.NodeServiceHandler = (*peerServer)(nil)

func (s *peerServer) Heartbeat(ctx context.Context, r *connect.Request[nodev1.HeartbeatRequest]) (*connect.Response[nodev1.HeartbeatResponse], error) {
	m := r.Msg
	epoch, err := runInLoop(ctx, s.n, dutyMembers, func() uint64 { return s.n.handleHeartbeat(m) })
	return connect.NewResponse(&nodev1.HeartbeatResponse{Epoch: epoch, KnowsLog: s.n.caughtUp.Load()}), err
}

// handleHeartbeat processes a leader's heartbeat and returns the highest epoch
// that this instance has seen. It runs in the event loop.
func (n *Node) handleHeartbeat(m *nodev1.HeartbeatRequest) uint64 {
	if m.GetEpoch() < max(n.claim.Epoch, n.lastHeartbeat.epoch) {
		return max(n.claim.Epoch, n.lastHeartbeat.epoch)
	}
	if n.term != nil && m.GetEpoch() > n.term.epoch {
		n.resign("received a heartbeat of a newer leader")
	}
	if n.term != nil {
		return n.term.epoch
	}
	if m.GetEpoch() > n.lastHeartbeat.epoch {
		n.log("leader_heard", zap.Uint64("epoch", m.GetEpoch()), zap.String("leader", m.GetLeader()))
	}
	now := n.now().MS
	latest := heartbeatState{epoch: m.GetEpoch(), receivedMS: now, logAvailable: m.GetLogAvailable(), stopping: m.GetStopping()}
	if latest.stopping || !latest.logAvailable {
		latest.replaceableSinceMS = now
		if n.lastHeartbeat.epoch == latest.epoch && n.lastHeartbeat.replaceableSinceMS > 0 {
			latest.replaceableSinceMS = n.lastHeartbeat.replaceableSinceMS
		}
	}
	n.lastHeartbeat = latest
	n.contact.noteHeartbeat(latest.epoch, latest.logAvailable, now)
	n.lookups.setDelegates(n.byNearness(m.GetDelegates()))
	if l := n.leader.Load(); l == nil || l.epoch <= m.GetEpoch() {
		n.leader.Store(&leaderInfo{epoch: m.GetEpoch(), peer: m.GetPeerAddress()})
	}
	return m.GetEpoch()
}

func (s *peerServer) CheckLeader(ctx context.Context, _ *connect.Request[nodev1.CheckLeaderRequest]) (*connect.Response[nodev1.CheckLeaderResponse], error) {
	n := s.n
	response, err := runInLoop(ctx, n, dutyMembers, func() *nodev1.CheckLeaderResponse {
		alive := n.term != nil
		if n.term == nil && n.lastHeartbeat.epoch > 0 {
			age := n.now().MS - n.lastHeartbeat.receivedMS
			alive = age < 2*milliseconds(heartbeatInterval) && !n.lastHeartbeat.stopping && n.lastHeartbeat.logAvailable
		}
		return &nodev1.CheckLeaderResponse{Epoch: max(n.claim.Epoch, n.lastHeartbeat.epoch), LeaderAlive: alive}
	})
	return connect.NewResponse(response), err
}

func (s *peerServer) SubmitJob(ctx context.Context, r *connect.Request[nodev1.SubmitJobRequest]) (*connect.Response[nodev1.SubmitJobResponse], error) {
	// A leader that is stopping answers in time, too.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.n.requestsCtx, cancel)()
	wait := time.Duration(r.Msg.GetWaitMs()) * time.Millisecond
	result := s.n.submitLocal(ctx, jobs.ID(r.Msg.GetId()), r.Msg.GetJob(), wait)
	if result.Code == code.OverloadedQueue && r.Header().Get(knowsOverloadHeader) == "" {
		result.Code = code.JobMemoryFull
	}
	return connect.NewResponse(&nodev1.SubmitJobResponse{Code: uint32(result.Code), RetryAfterMs: uint32(result.RetryAfter.Milliseconds())}), nil
}

func (s *peerServer) CancelJob(ctx context.Context, r *connect.Request[nodev1.CancelJobRequest]) (*connect.Response[nodev1.CancelJobResponse], error) {
	status := s.n.cancelLocal(ctx, jobs.ID(r.Msg.GetId()))
	return connect.NewResponse(&nodev1.CancelJobResponse{Code: uint32(status)}), nil
}

func (s *peerServer) GetJob(ctx context.Context, r *connect.Request[nodev1.GetJobRequest]) (*connect.Response[nodev1.GetJobResponse], error) {
	state, status := s.n.stateForPeer(ctx, jobs.ID(r.Msg.GetId()))
	return connect.NewResponse(&nodev1.GetJobResponse{Code: uint32(status), State: string(state)}), nil
}

func (s *peerServer) CountWaiting(ctx context.Context, r *connect.Request[nodev1.CountWaitingRequest]) (*connect.Response[nodev1.CountWaitingResponse], error) {
	waiting, status := s.n.waitingLocal(ctx, r.Msg.GetQueue())
	return connect.NewResponse(&nodev1.CountWaitingResponse{Code: uint32(status), Waiting: uint32(waiting)}), nil
}
