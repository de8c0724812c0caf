package dedupe

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"redwingvale/internal/code"
	entryv1 "redwingvale/internal/gen/redwingvale/entry/v1"
	"redwingvale/internal/gen/redwingvale/entry/v1/entryv1connect"
	"redwingvale/internal/spec"
)

// PeerClient returns the client of an entry instance, or nil when the
// instance is unknown.
type PeerClient func(spec.InstanceID) entryv1connect.EntryServiceClient

// Timing holds the clocks and time limits of a Service.
type Timing struct {
	// Now is the process's monotonic time, Wall the wall clock.
	Now  func() time.Duration
	Wall func() time.Time
	// CallTimeout limits one call to another instance.
	CallTimeout time.Duration
}

// Service runs a Core: it applies the effects of the core and calls other
// entries. It is safe for concurrent use.
type Service struct {
	timing Timing
	peer   PeerClient
	self   Member

	mu      sync.Mutex
	core    *Core
	waiting map[WaiterID]chan Reply
	lastID  uint64
	// backgroundCalls counts the calls to other entries that are in progress
	// in the background.
	backgroundCalls sync.WaitGroup
}

// NewService returns a service without members.
func NewService(settings Settings, timing Timing, peer PeerClient) *Service {
	settings.StartedAt = timing.Now()
	return &Service{
		timing:  timing,
		peer:    peer,
		self:    settings.Self,
		core:    New(settings),
		waiting: make(map[WaiterID]chan Reply),
	}
}

// SetMembers sets the active entry instances.
func (s *Service) SetMembers(members []Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.SetMembers(s.timing.Now(), s.timing.Wall(), members)
}

// Tick removes expired keys; it is called about once a second.
func (s *Service) Tick() {
	s.mu.Lock()
	effects := s.core.Tick(s.timing.Now())
	s.applyEffects(effects)
	s.mu.Unlock()
}

// applyEffects sends replies to their waiters and starts queries. The caller
// must hold s.mu.
func (s *Service) applyEffects(effects []Effect) {
	for _, e := range effects {
		if e.QueryPeers != nil {
			s.backgroundCalls.Add(1)
			go s.queryPeers(e)
			continue
		}
		if to, ok := s.waiting[e.Waiter]; ok {
			delete(s.waiting, e.Waiter)
			to <- e.Reply
		}
	}
}

// registerLocally registers a request at this instance as its home and waits
// for the reply until ctx ends.
func (s *Service) registerLocally(ctx context.Context, req Request) Reply {
	replies := make(chan Reply, 1)
	s.mu.Lock()
	s.lastID++
	req.Waiter = WaiterID(s.lastID)
	s.waiting[req.Waiter] = replies
	s.applyEffects(s.core.Register(s.timing.Now(), s.timing.Wall(), req))
	s.mu.Unlock()
	select {
	case r := <-replies:
		return r
	case <-ctx.Done():
		return s.cancelWait(req, replies)
	}
}

// cancelWait ends the wait of a request. A reply that was sent in the
// meantime is returned.
func (s *Service) cancelWait(req Request, replies chan Reply) Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, req.Waiter)
	if s.core.Cancel(req.Key, req.Waiter) {
		return Reply{Kind: Reject, Code: code.TimeLimit, Detail: "an earlier use of the key has not ended"}
	}
	select {
	case r := <-replies:
		return r
	default:
		return Reply{Kind: Reject, Code: code.TimeLimit, Detail: "an earlier use of the key has not ended"}
	}
}

// queryPeers queries the other entries about a key and applies the result.
func (s *Service) queryPeers(e Effect) {
	defer s.backgroundCalls.Done()
	if e.Retry {
		time.Sleep(retryInterval)
	}
	key, peers := e.Key, e.QueryPeers
	s.mu.Lock()
	self := s.core.selfMember()
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), s.timing.CallTimeout)
	defer cancel()
	responses := make([]*entryv1.AskKeyResponse, len(peers))
	var wg sync.WaitGroup
	for i, id := range peers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			responses[i] = s.queryPeer(ctx, self, key, id)
		}()
	}
	wg.Wait()
	result := queryResultOf(peers, responses)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEffects(s.core.ResolveQuery(s.timing.Now(), key, result))
}

func (s *Service) queryPeer(ctx context.Context, self Member, key Key, id spec.InstanceID) *entryv1.AskKeyResponse {
	client := s.peer(id)
	if client == nil {
		return nil
	}
	req := &entryv1.AskKeyRequest{
		Key:             keyToWire(key),
		Home:            string(self.Instance),
		HomeIncarnation: uint64(self.Incarnation),
	}
	resp, err := client.AskKey(ctx, connect.NewRequest(req))
	if err != nil {
		return nil
	}
	return resp.Msg
}

func queryResultOf(peers []spec.InstanceID, responses []*entryv1.AskKeyResponse) QueryResult {
	result := QueryResult{ProcessAges: make(map[spec.InstanceID]time.Duration, len(peers))}
	for i, response := range responses {
		if response != nil {
			result.ProcessAges[peers[i]] = time.Duration(response.GetProcessAgeMs()) * time.Millisecond
		}
		switch {
		case response == nil:
			result.Unanswered = append(result.Unanswered, peers[i])
		case response.GetMovedTo() != "":
			result.MovedTo = spec.InstanceID(response.GetMovedTo())
		case response.GetRecord() != nil:
			result.Records = append(result.Records, recordFromWire(response.GetRecord()))
		case response.GetAuthoritative():
			result.Authoritative = append(result.Authoritative, peers[i])
		}
	}
	return result
}
