package sched

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"redwingvale/internal/ownership"
	"redwingvale/internal/spec"

	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// Limits of heartbeats.
const (
	heartbeatTimeout = 800 * time.Millisecond
	// maxOpenHeartbeats bounds the unanswered heartbeats to one member. Further
	// ones are dropped, because the member is not responding.
	maxOpenHeartbeats = 4
)

// heartbeatSender sends heartbeats to the other members.
type heartbeatSender struct {
	clients *Clients
	deliver func(context.Context, event)

	mu      sync.Mutex
	open    map[spec.InstanceID]int
	senders sync.WaitGroup
}

func newHeartbeatSender(clients *Clients, deliver func(context.Context, event)) *heartbeatSender {
	return &heartbeatSender{clients: clients, deliver: deliver, open: make(map[spec.InstanceID]int)}
}

// send starts one heartbeat.
func (h *heartbeatSender) send(ctx context.Context, out ownership.SendHeartbeat) {
	if !h.begin(out.To) {
		return
	}
	h.senders.Add(1)
	go func() {
		defer h.senders.Done()
		defer h.end(out.To)
		h.exchange(ctx, out)
	}()
}

func (h *heartbeatSender) begin(to spec.InstanceID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open[to] >= maxOpenHeartbeats {
		return false
	}
	h.open[to]++
	return true
}

func (h *heartbeatSender) end(to spec.InstanceID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open[to]--
}

func (h *heartbeatSender) exchange(ctx context.Context, out ownership.SendHeartbeat) {
	limited, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	response, err := h.clients.Peer(out.Addr).Heartbeat(limited, connect.NewRequest(out.Request))
	if err != nil {
		return
	}
	h.deliver(ctx, heartbeatAnswered{to: out.To, sentAt: out.SentAt, response: response.Msg})
}

// Heartbeat implements the PeerService.
func (s *Sched) Heartbeat(ctx context.Context, call *connect.Request[schedv1.HeartbeatRequest]) (*connect.Response[schedv1.HeartbeatResponse], error) {
	response := make(chan *schedv1.HeartbeatResponse, 1)
	err := s.events.Put(ctx, heartbeatReceived{request: call.Msg, response: response})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	select {
	case message := <-response:
		return connect.NewResponse(message), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}
