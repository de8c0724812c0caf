package node

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	nodev1 "redwingvale/internal/gen/redwingvale/node/v1"
	"redwingvale/internal/gen/redwingvale/node/v1/nodev1connect"
	"redwingvale/internal/jobs"
)

// peerConns bounds the connections to one other instance.
const peerConns = 16

func newPeerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: peerConns, MaxConnsPerHost: peerConns,
		DisableCompression: true, IdleConnTimeout: 30 * time.Second,
	}}
}

// traceSent returns a context for a call, and what tells whether the call has
// got a connection: until then nothing of it has been sent.
func traceSent(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), sent
}

func (n *Node) peer(address string) nodev1connect.NodeServiceClient {
	return nodev1connect.NewNodeServiceClient(n.peers, "http://"+address)
}

// sendHeartbeats tells every member that the leader is alive: the standbys in
// each round, the others by turns, so that the cost hardly grows with the
// number of members.
func (n *Node) sendHeartbeats(t *term) {
	clients := map[string]nodev1connect.NodeServiceClient{}
	for round := 0; t.ctx.Err() == nil; round++ {
		peers, err := ask(t.ctx, n, func() []ranked { return n.candidates(n.config.Instance) })
		if err != nil {
			return
		}
		for i, m := range peers {
			if i >= standbys && (round+i)%distantRounds != 0 {
				continue
			}
			if clients[m.Peer] == nil {
				clients[m.Peer] = n.peer(m.Peer)
			}
			go n.sendHeartbeat(t, clients[m.Peer])
		}
		pause(t.ctx, heartbeatInterval)
	}
}

func (n *Node) sendHeartbeat(t *term, client nodev1connect.NodeServiceClient) {
	ctx, cancel := context.WithTimeout(t.ctx, heartbeatTimeout)
	defer cancel()
	answer, err := client.Heartbeat(ctx, connect.NewRequest(&nodev1.HeartbeatRequest{
		Epoch: t.epoch, Leader: n.config.Instance, PeerAddress: n.config.advertised(),
		LogAvailable: n.logAvailable(t), Stopping: n.stopping.Load(),
	}))
	if err != nil {
		// Members that are gone stay in the list until their record is dropped.
		return
	}
	if answer.Msg.GetEpoch() > t.epoch {
		n.post(t.ctx, func() {
			if n.term == t {
				n.resign("a member knows a newer leader")
			}
		})
	}
}

func (n *Node) checkLeader(ctx context.Context, peer string, epoch uint64) bool {
	answer, err := n.peer(peer).CheckLeader(ctx, connect.NewRequest(&nodev1.CheckLeaderRequest{Epoch: epoch}))
	if err != nil {
		return false
	}
	return answer.Msg.GetLeaderAlive() || answer.Msg.GetEpoch() > epoch
}

// PeerHandler serves the other instances.
func (n *Node) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(nodev1connect.NewNodeServiceHandler(&peerServer{n}))
	return mux
}

type peerServer struct{ n *Node }

var _ nodev1connect.NodeServiceHandler = (*peerServer)(nil)

func (s *peerServer) Heartbeat(ctx context.Context, r *connect.Request[nodev1.HeartbeatRequest]) (*connect.Response[nodev1.HeartbeatResponse], error) {
	m := r.Msg
	epoch, err := ask(ctx, s.n, func() uint64 { return s.n.heartbeat(m) })
	return connect.NewResponse(&nodev1.HeartbeatResponse{Epoch: epoch}), err
}

// heartbeat takes in a leader's sign of life. It runs in the loop.
func (n *Node) heartbeat(m *nodev1.HeartbeatRequest) uint64 {
	if m.GetEpoch() < max(n.claim.Epoch, n.heard.epoch) {
		return max(n.claim.Epoch, n.heard.epoch)
	}
	if n.term != nil && m.GetEpoch() > n.term.epoch {
		n.resign("a newer leader is alive")
	}
	if n.term != nil {
		return n.term.epoch
	}
	if m.GetEpoch() > n.heard.epoch {
		n.log("leader_heard", zap.Uint64("epoch", m.GetEpoch()), zap.String("leader", m.GetLeader()))
	}
	now := n.now().MS
	news := heard{epoch: m.GetEpoch(), atMS: now, logAvailable: m.GetLogAvailable(), stopping: m.GetStopping()}
	if news.stopping || !news.logAvailable {
		news.askedMS = now
		if n.heard.epoch == news.epoch && n.heard.askedMS > 0 {
			news.askedMS = n.heard.askedMS
		}
	}
	n.heard = news
	if l := n.leader.Load(); l == nil || l.epoch <= m.GetEpoch() {
		n.leader.Store(&leaderInfo{epoch: m.GetEpoch(), peer: m.GetPeerAddress()})
	}
	return m.GetEpoch()
}

func (s *peerServer) CheckLeader(ctx context.Context, _ *connect.Request[nodev1.CheckLeaderRequest]) (*connect.Response[nodev1.CheckLeaderResponse], error) {
	n := s.n
	answer, err := ask(ctx, n, func() *nodev1.CheckLeaderResponse {
		alive := n.term != nil
		if n.term == nil && n.heard.epoch > 0 {
			age := n.now().MS - n.heard.atMS
			alive = age < 2*milliseconds(heartbeatInterval) && !n.heard.stopping && n.heard.logAvailable
		}
		return &nodev1.CheckLeaderResponse{Epoch: max(n.claim.Epoch, n.heard.epoch), LeaderAlive: alive}
	})
	return connect.NewResponse(answer), err
}

func (s *peerServer) SubmitJob(ctx context.Context, r *connect.Request[nodev1.SubmitJobRequest]) (*connect.Response[nodev1.SubmitJobResponse], error) {
	got := s.n.submitHere(ctx, jobs.ID(r.Msg.GetId()), r.Msg.GetJob())
	return connect.NewResponse(&nodev1.SubmitJobResponse{Code: uint32(got.Code), RetryAfterMs: uint32(got.RetryAfter.Milliseconds())}), nil
}

func (s *peerServer) CancelJob(ctx context.Context, r *connect.Request[nodev1.CancelJobRequest]) (*connect.Response[nodev1.CancelJobResponse], error) {
	got := s.n.cancelHere(ctx, jobs.ID(r.Msg.GetId()))
	return connect.NewResponse(&nodev1.CancelJobResponse{Code: uint32(got)}), nil
}

func (s *peerServer) GetJob(ctx context.Context, r *connect.Request[nodev1.GetJobRequest]) (*connect.Response[nodev1.GetJobResponse], error) {
	state, got := s.n.stateHere(ctx, jobs.ID(r.Msg.GetId()))
	return connect.NewResponse(&nodev1.GetJobResponse{Code: uint32(got), State: string(state)}), nil
}

func (s *peerServer) CountWaiting(ctx context.Context, r *connect.Request[nodev1.CountWaitingRequest]) (*connect.Response[nodev1.CountWaitingResponse], error) {
	waiting, got := s.n.waitingHere(ctx, r.Msg.GetQueue())
	return connect.NewResponse(&nodev1.CountWaitingResponse{Code: uint32(got), Waiting: uint32(waiting)}), nil
}
