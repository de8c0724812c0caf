package dedupe

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"redwingvale/internal/code"
	"redwingvale/internal/delay"
	entryv1 "redwingvale/internal/gen/redwingvale/entry/v1"
	"redwingvale/internal/spec"
)

// RegisterKey serves a use of a key whose home is this instance.
func (s *Service) RegisterKey(ctx context.Context, req *connect.Request[entryv1.RegisterKeyRequest]) (*connect.Response[entryv1.RegisterKeyResponse], error) {
	m := req.Msg
	limited, cancel := context.WithTimeout(ctx, time.Duration(m.GetWaitMs())*time.Millisecond)
	defer cancel()
	r := s.use(limited, Use{
		Key:      keyFromWire(m.GetKey()),
		Hash:     m.GetContentHash(),
		Executor: executorOf(m.GetExecutor(), m.GetExecutorIncarnation(), m.GetCall()),
		Limit:    time.Duration(m.GetLimitMs()) * time.Millisecond,

		MovedHere: m.GetMovedHere(),
	})
	return connect.NewResponse(replyToWire(r)), nil
}

// CompleteKey serves the end of a use.
func (s *Service) CompleteKey(_ context.Context, req *connect.Request[entryv1.CompleteKeyRequest]) (*connect.Response[entryv1.CompleteKeyResponse], error) {
	m := req.Msg
	home := s.completeHere(Completion{
		Key:      keyFromWire(m.GetKey()),
		Hash:     m.GetContentHash(),
		Executor: executorOf(m.GetExecutor(), m.GetExecutorIncarnation(), m.GetCall()),
		Outcome:  code.Outcome(m.GetOutcome()),
		Answer:   answerFromWire(m.GetAnswer()),
	})
	return connect.NewResponse(&entryv1.CompleteKeyResponse{Home: string(home)}), nil
}

// AskKey serves a question of a key's new home.
func (s *Service) AskKey(_ context.Context, req *connect.Request[entryv1.AskKeyRequest]) (*connect.Response[entryv1.AskKeyResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	asker := Member{
		Instance:    spec.InstanceID(req.Msg.GetHome()),
		Incarnation: spec.Incarnation(req.Msg.GetHomeIncarnation()),
	}
	key := keyFromWire(req.Msg.GetKey())
	found, movedTo, authoritative, effects := s.core.Ask(s.timing.Now(), s.timing.Wall(), key, asker)
	s.deliver(effects)
	out := &entryv1.AskKeyResponse{
		Authoritative: authoritative,
		MovedTo:       string(movedTo),
		ProcessAgeMs:  uint64(s.core.Age(s.timing.Now()) / time.Millisecond),
	}
	if found != nil {
		out.Record = recordToWire(*found)
	}
	return connect.NewResponse(out), nil
}

// HandOverKeys serves the records of a stopping instance.
func (s *Service) HandOverKeys(_ context.Context, req *connect.Request[entryv1.HandOverKeysRequest]) (*connect.Response[entryv1.HandOverKeysResponse], error) {
	m := req.Msg
	records := make([]Record, 0, len(m.GetRecords()))
	for _, r := range m.GetRecords() {
		records = append(records, recordFromWire(r))
	}
	from := Member{Instance: spec.InstanceID(m.GetFrom()), Incarnation: spec.Incarnation(m.GetFromIncarnation())}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.core.TakeOver(s.timing.Now(), s.timing.Wall(), from, records, m.GetLast()))
	return connect.NewResponse(&entryv1.HandOverKeysResponse{}), nil
}

// handOverBatch is the number of records in one message.
const handOverBatch = 500

// HandOver gives the keys of this instance to their next homes, all at the same
// time, and ends its duty as a home. It returns the number of records that
// reached a next home, and the members that could not be told.
func (s *Service) HandOver(ctx context.Context) (moved int, untold []spec.InstanceID) {
	s.mu.Lock()
	byHome, effects := s.core.HandOver(s.timing.Now())
	from := s.core.selfMember()
	s.deliver(effects)
	s.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, handOverFor)
	defer cancel()
	var all sync.WaitGroup
	var mu sync.Mutex
	for home, records := range byHome {
		all.Add(1)
		go func() {
			defer all.Done()
			n, told := s.handOverTo(limited, from, home, records)
			mu.Lock()
			defer mu.Unlock()
			moved += n
			if !told {
				untold = append(untold, home)
			}
		}()
	}
	all.Wait()
	slices.Sort(untold)
	return moved, untold
}

// handOverTo sends one member its records, also when there are none: the last
// message tells it that nothing is lost with this instance.
func (s *Service) handOverTo(ctx context.Context, from Member, home spec.InstanceID, records []Record) (moved int, told bool) {
	for first := true; first || len(records) > 0; first = false {
		n := min(len(records), handOverBatch)
		req := &entryv1.HandOverKeysRequest{
			From:            string(from.Instance),
			FromIncarnation: uint64(from.Incarnation),
			Last:            n == len(records),
		}
		for _, r := range records[:n] {
			req.Records = append(req.Records, recordToWire(r))
		}
		if !s.sendBatch(ctx, home, req) {
			return moved, false
		}
		records = records[n:]
		moved += n
	}
	return moved, true
}

// handOverFor bounds a hand-over. It covers the 4.2 s in which a member that is
// dead is removed and its duties move (section 5 of docs/design.md); a member
// that answers later would have lost its place.
const handOverFor = 4200 * time.Millisecond

// sendBatch sends one batch until it is answered or ctx ends. A repeat does no
// harm.
func (s *Service) sendBatch(ctx context.Context, home spec.InstanceID, req *entryv1.HandOverKeysRequest) bool {
	for ctx.Err() == nil {
		if client := s.peer(home); client != nil {
			limited, cancel := context.WithTimeout(ctx, s.timing.Call)
			_, err := client.HandOverKeys(limited, connect.NewRequest(req))
			cancel()
			if err == nil {
				return true
			}
		}
		_ = delay.Wait(ctx, retryPause)
	}
	return false
}

// Wait returns when no call to another entry goes on in the background.
func (s *Service) Wait() { s.calls.Wait() }
