package dedupe

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"redwingvale/internal/code"
	entryv1 "redwingvale/internal/gen/redwingvale/entry/v1"
	"redwingvale/internal/spec"
)

// maxRegisterAttempts limits the attempts to register a request, at the
// homes that it is redirected to or after failures. With the pauses it
// covers a change of the home of about one second.
const maxRegisterAttempts = 10

// completionTimeout limits the attempts to report to a home how a request
// ended.
const completionTimeout = 10 * time.Second

// retryInterval is the pause between two attempts to reach a home.
const retryInterval = 100 * time.Millisecond

// Ticket permits the execution of one request with a key. Its holder must
// call End.
type Ticket struct {
	request Request
	home    spec.InstanceID
}

// Begin registers a request at the key's home before it is executed. With
// the reply Proceed the caller executes the request and calls End; with
// every other reply nothing has run and nothing may run. limit is the time
// after which the caller has ended the request.
func (s *Service) Begin(ctx context.Context, key Key, hash uint64, limit time.Duration) (*Ticket, Reply) {
	home, redirected := s.homeOf(key), false
	for attempt := 0; attempt < maxRegisterAttempts && home != ""; attempt++ {
		// Each attempt has its own call number, so that the completion which
		// undoes a failed attempt does not undo the next one.
		req := Request{Key: key, Hash: hash, Executor: s.newExecutor(), Limit: limit, Redirected: redirected}
		r, ok := s.registerAt(ctx, home, req)
		if !ok || (r.Kind == Reject && r.Code == code.HomeUnreachable) {
			home, redirected = s.homeAfterFailure(ctx, req, home), false
			continue
		}
		switch r.Kind {
		case Moved:
			home, redirected = r.Home, true
		case Proceed:
			localReply := s.beginExecution(req, home)
			if localReply.Kind == Proceed {
				return &Ticket{request: req, home: home}, r
			}
			s.complete(home, Completion{Key: key, Hash: hash, Executor: req.Executor, Outcome: code.NotRun})
			if localReply.Kind != Moved {
				return nil, localReply
			}
			home, redirected = localReply.Home, true
		default:
			return nil, r
		}
	}
	return nil, Reply{Kind: Reject, Code: code.HomeUnreachable, Detail: "the home of the idempotency key does not answer"}
}

func (s *Service) newExecutor() Executor {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	return Executor{Instance: s.self.Instance, Incarnation: s.self.Incarnation, Call: s.lastID}
}

func (s *Service) homeOf(key Key) spec.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Home(s.timing.Now(), key)
}

func (s *Service) beginExecution(req Request, home spec.InstanceID) Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.BeginExecution(s.timing.Now(), req, home)
}

// homeAfterFailure undoes a registration that may have taken effect, pauses
// and returns the home to try next.
func (s *Service) homeAfterFailure(ctx context.Context, req Request, home spec.InstanceID) spec.InstanceID {
	s.complete(home, Completion{Key: req.Key, Hash: req.Hash, Executor: req.Executor, Outcome: code.NotRun})
	select {
	case <-time.After(retryInterval):
	case <-ctx.Done():
	}
	return s.homeOf(req.Key)
}

// registerAt registers the request at home; ok is false when home did not
// answer.
func (s *Service) registerAt(ctx context.Context, home spec.InstanceID, req Request) (reply Reply, ok bool) {
	if home == s.self.Instance {
		return s.registerLocally(ctx, req), true
	}
	client := s.peer(home)
	if client == nil {
		return Reply{}, false
	}
	wait := req.Limit
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
		wait = time.Until(deadline)
	}
	wireReq := &entryv1.RegisterKeyRequest{
		Key:                 keyToWire(req.Key),
		ContentHash:         req.Hash,
		Executor:            string(req.Executor.Instance),
		ExecutorIncarnation: uint64(req.Executor.Incarnation),
		Call:                req.Executor.Call,
		LimitMs:             uint32(req.Limit / time.Millisecond),
		WaitMs:              uint32(max(wait, 0) / time.Millisecond),
		MovedHere:           req.Redirected,
	}
	resp, err := client.RegisterKey(ctx, connect.NewRequest(wireReq))
	if err != nil {
		return Reply{}, false
	}
	return replyFromWire(resp.Msg), true
}

// End reports to the home how the request ended. A nil answer is not kept.
// End does not block; the report is repeated while the home does not answer.
func (s *Service) End(t *Ticket, outcome code.Outcome, answer *Answer) {
	done := Completion{
		Key:      t.request.Key,
		Hash:     t.request.Hash,
		Executor: t.request.Executor,
		Outcome:  outcome,
		Answer:   answer,
	}
	s.mu.Lock()
	s.core.EndExecution(s.timing.Now(), done)
	s.mu.Unlock()
	s.complete(t.home, done)
}

// complete reports to home in the background, or synchronously when home is
// this instance.
func (s *Service) complete(home spec.InstanceID, done Completion) {
	if home == s.self.Instance {
		next := s.completeLocally(done)
		if next == "" || next == home {
			return
		}
		home = next
	}
	s.backgroundCalls.Add(1)
	go func() {
		defer s.backgroundCalls.Done()
		s.completeAt(home, done)
	}()
}

func (s *Service) completeLocally(done Completion) spec.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	home, effects := s.core.Complete(s.timing.Now(), done)
	s.applyEffects(effects)
	return home
}

// completeAt reports to home and to each further home that a reply names.
func (s *Service) completeAt(home spec.InstanceID, done Completion) {
	ctx, cancel := context.WithTimeout(context.Background(), completionTimeout)
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
		time.Sleep(retryInterval)
		home = s.homeOf(done.Key)
	}
}

func (s *Service) completeOnce(ctx context.Context, home spec.InstanceID, done Completion) (next spec.InstanceID, ok bool) {
	if home == s.self.Instance {
		return s.completeLocally(done), true
	}
	client := s.peer(home)
	if client == nil {
		return "", false
	}
	limited, cancel := context.WithTimeout(ctx, s.timing.CallTimeout)
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
