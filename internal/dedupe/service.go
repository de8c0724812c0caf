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

// Peer returns the client of an entry instance, or nil when it is unknown.
type Peer func(spec.InstanceID) entryv1connect.EntryServiceClient

// Timing holds the clocks and time limits of a Service.
type Timing struct {
	// Now is the process's monotonic time, Wall the wall clock.
	Now  func() time.Duration
	Wall func() time.Time
	// Call bounds one call to another instance.
	Call time.Duration
}

// Service runs the core: it carries out its effects and calls other entries.
// It is safe for concurrent use.
type Service struct {
	timing Timing
	peer   Peer
	self   Member

	mu      sync.Mutex
	core    *Core
	waiting map[WaiterID]chan Reply
	last    uint64
	// calls counts calls to other entries that go on in the background.
	calls sync.WaitGroup
}

// NewService returns a service without members.
func NewService(settings Settings, timing Timing, peer Peer) *Service {
	settings.Born = timing.Now()
	return &Service{
		timing:  timing,
		peer:    peer,
		self:    settings.Self,
		core:    New(settings),
		waiting: make(map[WaiterID]chan Reply),
	}
}

// SetMembers takes the active entry instances in.
func (s *Service) SetMembers(members []Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.SetMembers(s.timing.Now(), s.timing.Wall(), members)
}

// Tick forgets old keys; call it about once a second.
func (s *Service) Tick() {
	s.mu.Lock()
	effects := s.core.Tick(s.timing.Now())
	s.deliver(effects)
	s.mu.Unlock()
}

// deliver sends replies to their waiters and starts questions. It is called
// with the lock held.
func (s *Service) deliver(effects []Effect) {
	for _, e := range effects {
		if e.Ask != nil {
			s.calls.Add(1)
			go s.ask(e)
			continue
		}
		if to, ok := s.waiting[e.Waiter]; ok {
			delete(s.waiting, e.Waiter)
			to <- e.Reply
		}
	}
}

// use takes a use in as its home and waits for the reply until ctx ends.
func (s *Service) use(ctx context.Context, u Use) Reply {
	replies := make(chan Reply, 1)
	s.mu.Lock()
	s.last++
	u.Waiter = WaiterID(s.last)
	s.waiting[u.Waiter] = replies
	s.deliver(s.core.Use(s.timing.Now(), s.timing.Wall(), u))
	s.mu.Unlock()
	select {
	case r := <-replies:
		return r
	case <-ctx.Done():
		return s.stopWaiting(u, replies)
	}
}

// stopWaiting ends the wait of a use. A reply that was sent meanwhile counts.
func (s *Service) stopWaiting(u Use, replies chan Reply) Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, u.Waiter)
	if s.core.Cancel(u.Key, u.Waiter) {
		return Reply{Kind: Refuse, Code: code.TimeLimit, Detail: "an earlier use of the key has not ended"}
	}
	select {
	case r := <-replies:
		return r
	default:
		return Reply{Kind: Refuse, Code: code.TimeLimit, Detail: "an earlier use of the key has not ended"}
	}
}

// ask asks the other entries about a key and takes the findings in.
func (s *Service) ask(e Effect) {
	defer s.calls.Done()
	if e.Again {
		time.Sleep(retryPause)
	}
	key, entries := e.Key, e.Ask
	s.mu.Lock()
	asker := s.core.selfMember()
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), s.timing.Call)
	defer cancel()
	answers := make([]*entryv1.AskKeyResponse, len(entries))
	var all sync.WaitGroup
	for i, id := range entries {
		all.Add(1)
		go func() {
			defer all.Done()
			answers[i] = s.askOne(ctx, asker, key, id)
		}()
	}
	all.Wait()
	findings := findingsOf(entries, answers)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.core.Asked(s.timing.Now(), key, findings))
}

func (s *Service) askOne(ctx context.Context, asker Member, key Key, id spec.InstanceID) *entryv1.AskKeyResponse {
	client := s.peer(id)
	if client == nil {
		return nil
	}
	req := &entryv1.AskKeyRequest{
		Key:             keyToWire(key),
		Home:            string(asker.Instance),
		HomeIncarnation: uint64(asker.Incarnation),
	}
	resp, err := client.AskKey(ctx, connect.NewRequest(req))
	if err != nil {
		return nil
	}
	return resp.Msg
}

func findingsOf(entries []spec.InstanceID, answers []*entryv1.AskKeyResponse) Findings {
	f := Findings{Ages: make(map[spec.InstanceID]time.Duration, len(entries))}
	for i, answer := range answers {
		if answer != nil {
			f.Ages[entries[i]] = time.Duration(answer.GetProcessAgeMs()) * time.Millisecond
		}
		switch {
		case answer == nil:
			f.Silent = append(f.Silent, entries[i])
		case answer.GetMovedTo() != "":
			f.MovedTo = spec.InstanceID(answer.GetMovedTo())
		case answer.GetRecord() != nil:
			f.Records = append(f.Records, recordFromWire(answer.GetRecord()))
		case answer.GetAuthoritative():
			f.Authoritative = append(f.Authoritative, entries[i])
		}
	}
	return f
}
