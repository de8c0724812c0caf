package dedupe

import (
	"context"
	"sort"
	"time"

	"connectrpc.com/connect"

	"redwingvale/internal/code"
	entryv1 "redwingvale/internal/gen/redwingvale/entry/v1"
	"redwingvale/internal/gen/redwingvale/entry/v1/entryv1connect"
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

// HandOver gives the keys of this instance to their next homes and ends its
// duty as a home. It returns the number of records that reached a next home.
func (s *Service) HandOver(ctx context.Context) int {
	s.mu.Lock()
	byHome, effects := s.core.HandOver(s.timing.Now())
	from := s.core.selfMember()
	s.deliver(effects)
	s.mu.Unlock()
	homes := make([]spec.InstanceID, 0, len(byHome))
	for home := range byHome {
		homes = append(homes, home)
	}
	sort.Slice(homes, func(i, j int) bool { return homes[i] < homes[j] })
	moved := 0
	for _, home := range homes {
		moved += s.handOverTo(ctx, from, home, byHome[home])
	}
	return moved
}

func (s *Service) handOverTo(ctx context.Context, from Member, home spec.InstanceID, records []Record) int {
	client := s.peer(home)
	if client == nil {
		return 0
	}
	moved := 0
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
		if !s.sendBatch(ctx, client, req) {
			return moved
		}
		records = records[n:]
		moved += n
	}
	return moved
}

// handOverTries bounds the attempts to send one batch. A repeat does no harm.
const handOverTries = 3

func (s *Service) sendBatch(ctx context.Context, client entryv1connect.EntryServiceClient, req *entryv1.HandOverKeysRequest) bool {
	for range handOverTries {
		limited, cancel := context.WithTimeout(ctx, s.timing.Call)
		_, err := client.HandOverKeys(limited, connect.NewRequest(req))
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

// Wait returns when no call to another entry goes on in the background.
func (s *Service) Wait() { s.calls.Wait() }
