package dedupe

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"redwingvale/internal/code"
	entryv1 "redwingvale/internal/gen/redwingvale/entry/v1"
	"redwingvale/internal/spec"
)

// maxHops bounds the attempts to register a use, at the homes that it follows
// the key to or after failures. With the pauses it covers a change of the home
// of about one second.
const maxHops = 10

// completeFor bounds the attempts to tell a home how a use ended.
const completeFor = 10 * time.Second

// retryPause is the time between two attempts to reach a home.
const retryPause = 100 * time.Millisecond

// Ticket is the right to carry out one use of a key. End must be called.
type Ticket struct {
	use  Use
	home spec.InstanceID
}

// Begin registers a use at the key's home before it is carried out. With the
// reply Proceed the caller carries the request out and calls End; with every
// other reply nothing has run and nothing may run. limit is the time after
// which the caller has ended the request.
func (s *Service) Begin(ctx context.Context, key Key, hash uint64, limit time.Duration) (*Ticket, Reply) {
	home, moved := s.homeOf(key), false
	for hop := 0; hop < maxHops && home != ""; hop++ {
		// Each attempt is a call of its own: the completion that undoes a
		// failed one must not undo the next.
		u := Use{Key: key, Hash: hash, Executor: s.newExecutor(), Limit: limit, MovedHere: moved}
		r, ok := s.registerAt(ctx, home, u)
		if !ok || (r.Kind == Refuse && r.Code == code.HomeUnreachable) {
			home, moved = s.homeAfterFailure(ctx, u, home), false
			continue
		}
		switch r.Kind {
		case Moved:
			home, moved = r.Home, true
		case Proceed:
			local := s.executing(u, home)
			if local.Kind == Proceed {
				return &Ticket{use: u, home: home}, r
			}
			s.complete(home, Completion{Key: key, Hash: hash, Executor: u.Executor, Outcome: code.NotRun})
			if local.Kind != Moved {
				return nil, local
			}
			home, moved = local.Home, true
		default:
			return nil, r
		}
	}
	return nil, Reply{Kind: Refuse, Code: code.HomeUnreachable, Detail: "the home of the idempotency key does not answer"}
}

func (s *Service) newExecutor() Executor {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	return Executor{Instance: s.self.Instance, Incarnation: s.self.Incarnation, Call: s.last}
}

func (s *Service) homeOf(key Key) spec.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Home(s.timing.Now(), key)
}

func (s *Service) executing(u Use, home spec.InstanceID) Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Executing(s.timing.Now(), u, home)
}

// homeAfterFailure undoes a registration that may have taken effect and
// returns the home to try next.
func (s *Service) homeAfterFailure(ctx context.Context, u Use, home spec.InstanceID) spec.InstanceID {
	s.complete(home, Completion{Key: u.Key, Hash: u.Hash, Executor: u.Executor, Outcome: code.NotRun})
	select {
	case <-time.After(retryPause):
	case <-ctx.Done():
	}
	return s.homeOf(u.Key)
}

// registerAt registers the use at home; ok is false when home did not answer.
func (s *Service) registerAt(ctx context.Context, home spec.InstanceID, u Use) (reply Reply, ok bool) {
	if home == s.self.Instance {
		return s.use(ctx, u), true
	}
	client := s.peer(home)
	if client == nil {
		return Reply{}, false
	}
	wait := u.Limit
	if deadline, has := ctx.Deadline(); has {
		wait = time.Until(deadline)
	}
	req := &entryv1.RegisterKeyRequest{
		Key:                 keyToWire(u.Key),
		ContentHash:         u.Hash,
		Executor:            string(u.Executor.Instance),
		ExecutorIncarnation: uint64(u.Executor.Incarnation),
		Call:                u.Executor.Call,
		LimitMs:             uint32(u.Limit / time.Millisecond),
		WaitMs:              uint32(max(wait, 0) / time.Millisecond),
		MovedHere:           u.MovedHere,
	}
	resp, err := client.RegisterKey(ctx, connect.NewRequest(req))
	if err != nil {
		return Reply{}, false
	}
	return replyFromWire(resp.Msg), true
}

// End tells the home how the use ended. The answer is nil when it is not to be
// kept. It returns at once; a home that does not answer is told again.
func (s *Service) End(t *Ticket, outcome code.Outcome, answer *Answer) {
	done := Completion{
		Key:      t.use.Key,
		Hash:     t.use.Hash,
		Executor: t.use.Executor,
		Outcome:  outcome,
		Answer:   answer,
	}
	s.mu.Lock()
	s.core.Executed(s.timing.Now(), done)
	s.mu.Unlock()
	s.complete(t.home, done)
}

// complete tells home in the background, or at once when it is this instance.
func (s *Service) complete(home spec.InstanceID, done Completion) {
	if home == s.self.Instance {
		next := s.completeHere(done)
		if next == "" || next == home {
			return
		}
		home = next
	}
	s.calls.Add(1)
	go func() {
		defer s.calls.Done()
		s.completeAt(home, done)
	}()
}

func (s *Service) completeHere(done Completion) spec.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	home, effects := s.core.Complete(s.timing.Now(), done)
	s.deliver(effects)
	return home
}

// completeAt tells the home and each further one that it names.
func (s *Service) completeAt(home spec.InstanceID, done Completion) {
	ctx, cancel := context.WithTimeout(context.Background(), completeFor)
	defer cancel()
	for ctx.Err() == nil {
		next, ok := s.completeOnce(ctx, home, done)
		if ok && (next == "" || next == home) {
			return
		}
		if ok {
			home = next
			continue
		}
		time.Sleep(retryPause)
		home = s.homeOf(done.Key)
	}
}

func (s *Service) completeOnce(ctx context.Context, home spec.InstanceID, done Completion) (next spec.InstanceID, ok bool) {
	if home == s.self.Instance {
		return s.completeHere(done), true
	}
	client := s.peer(home)
	if client == nil {
		return "", false
	}
	limited, cancel := context.WithTimeout(ctx, s.timing.Call)
	defer cancel()
	resp, err := client.CompleteKey(limited, connect.NewRequest(&entryv1.CompleteKeyRequest{
		Key:                 keyToWire(done.Key),
		ContentHash:         done.Hash,
		Executor:            string(done.Executor.Instance),
		ExecutorIncarnation: uint64(done.Executor.Incarnation),
		Call:                done.Executor.Call,
		Outcome:             string(done.Outcome),
		Answer:              answerToWire(done.Answer),
	}))
	if err != nil {
		return "", false
	}
	return spec.InstanceID(resp.Msg.GetHome()), true
}
