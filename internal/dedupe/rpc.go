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

// RegisterKey registers a request whose home is this instance.
func (s *Service) RegisterKey(ctx context.Context, req *connect.Request[entryv1.RegisterKeyRequest]) (*connect.Response[entryv1.RegisterKeyResponse], error) {
	m := req.Msg
	limited, cancel := context.WithTimeout(ctx, time.Duration(m.GetWaitMs())*time.Millisecond)
	defer cancel()
	reply := s.registerLocally(limited, Request{
		Key:      keyFromWire(m.GetKey()),
		Hash:     m.GetContentHash(),
		Executor: executorOf(m.GetExecutor(), m.GetExecutorIncarnation(), m.GetCall()),
		Limit:    time.Duration(m.GetLimitMs()) * time.Millisecond,

		Redirected: m.GetMovedHere(),
	})
	return connect.NewResponse(replyToWire(reply)), nil
}

// CompleteKey records how a request ended.
func (s *Service) CompleteKey(_ context.Context, req *connect.Request[entryv1.CompleteKeyRequest]) (*connect.Response[entryv1.CompleteKeyResponse], error) {
	m := req.Msg
	home := s.completeLocally(Completion{
		Key:      keyFromWire(m.GetKey()),
		Hash:     m.GetContentHash(),
		Executor: executorOf(m.GetExecutor(), m.GetExecutorIncarnation(), m.GetCall()),
		Outcome:  code.Outcome(m.GetOutcome()),
		Answer:   answerFromWire(m.GetAnswer()),
	})
	return connect.NewResponse(&entryv1.CompleteKeyResponse{Home: string(home)}), nil
}

// AskKey answers a query of a key's new home.
func (s *Service) AskKey(_ context.Context, req *connect.Request[entryv1.AskKeyRequest]) (*connect.Response[entryv1.AskKeyResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newHome := Member{
		Instance:    spec.InstanceID(req.Msg.GetHome()),
		Incarnation: spec.Incarnation(req.Msg.GetHomeIncarnation()),
	}
	key := keyFromWire(req.Msg.GetKey())
	found, movedTo, authoritative, effects := s.core.AnswerQuery(s.timing.Now(), s.timing.Wall(), key, newHome)
	s.applyEffects(effects)
	out := &entryv1.AskKeyResponse{
		Authoritative: authoritative,
		MovedTo:       string(movedTo),
		ProcessAgeMs:  uint64(s.core.ProcessAge(s.timing.Now()) / time.Millisecond),
	}
	if found != nil {
		out.Record = recordToWire(*found)
	}
	return connect.NewResponse(out), nil
}

// HandOverKeys receives the records of a stopping instance.
func (s *Service) HandOverKeys(_ context.Context, req *connect.Request[entryv1.HandOverKeysRequest]) (*connect.Response[entryv1.HandOverKeysResponse], error) {
	m := req.Msg
	records := make([]Record, 0, len(m.GetRecords()))
	for _, r := range m.GetRecords() {
		records = append(records, recordFromWire(r))
	}
	from := Member{Instance: spec.InstanceID(m.GetFrom()), Incarnation: spec.Incarnation(m.GetFromIncarnation())}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEffects(s.core.AcceptHandOver(s.timing.Now(), s.timing.Wall(), from, records, m.GetLast(), membersFromWire(m.GetRecipients())))
	return connect.NewResponse(&entryv1.HandOverKeysResponse{}), nil
}

// handOverBatchSize is the largest number of records in one message.
const handOverBatchSize = 500

// HandOver sends the keys of this instance to their next homes concurrently
// and ends its role as a home. It returns the number of records that reached
// a next home, and the members that could not be reached.
func (s *Service) HandOver(ctx context.Context) (moved int, unreached []spec.InstanceID) {
	s.mu.Lock()
	byHome, effects := s.core.HandOver(s.timing.Now())
	from, recipients := s.core.selfMember(), membersToWire(s.core.otherMembers())
	s.applyEffects(effects)
	s.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for home, records := range byHome {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n, ok := s.handOverTo(limited, from, recipients, home, records)
			mu.Lock()
			defer mu.Unlock()
			moved += n
			if !ok {
				unreached = append(unreached, home)
			}
		}()
	}
	wg.Wait()
	slices.Sort(unreached)
	return moved, unreached
}

// handOverTo sends one member its records, even if there are none: the last
// message states that no state is lost when this instance stops.
func (s *Service) handOverTo(ctx context.Context, from Member, recipients []*entryv1.MemberName, home spec.InstanceID, records []Record) (moved int, reached bool) {
	for first := true; first || len(records) > 0; first = false {
		n := min(len(records), handOverBatchSize)
		req := &entryv1.HandOverKeysRequest{
			From:            string(from.Instance),
			FromIncarnation: uint64(from.Incarnation),
			Last:            n == len(records),
			Recipients:      recipients,
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

// handOverTimeout limits a hand-over. It covers the 4.2 s in which an
// unresponsive member is removed and its duties move (section 5 of
// docs/design.md); a member that answers later would already have been
// removed.
const handOverTimeout = 4200 * time.Millisecond

// sendBatch repeats one batch until it is acknowledged or ctx ends. The
// receiver tolerates duplicates.
func (s *Service) sendBatch(ctx context.Context, home spec.InstanceID, req *entryv1.HandOverKeysRequest) bool {
	for ctx.Err() == nil {
		if client := s.peer(home); client != nil {
			limited, cancel := context.WithTimeout(ctx, s.timing.CallTimeout)
			_, err := client.HandOverKeys(limited, connect.NewRequest(req))
			cancel()
			if err == nil {
				return true
			}
		}
		_ = delay.Wait(ctx, retryInterval)
	}
	return false
}

// Wait blocks until no call to another entry is in progress in the
// background.
func (s *Service) Wait() { s.backgroundCalls.Wait() }
