package dedupe

import (
	"time"

	"redwingvale/internal/code"
	entryv1 "redwingvale/internal/gen/redwingvale/entry/v1"
	"redwingvale/internal/spec"
)

func keyToWire(k Key) *entryv1.Key {
	return &entryv1.Key{Team: string(k.Team), Service: string(k.Service), Key: k.Key}
}

func keyFromWire(k *entryv1.Key) Key {
	return Key{Team: spec.TeamID(k.GetTeam()), Service: spec.ServiceID(k.GetService()), Key: k.GetKey()}
}

func answerToWire(a *Answer) *entryv1.Answer {
	if a == nil {
		return nil
	}
	out := &entryv1.Answer{Status: int32(a.Status), Body: a.Body}
	for _, h := range a.Headers {
		out.Headers = append(out.Headers, &entryv1.Header{Name: h.Name, Value: h.Value})
	}
	return out
}

func answerFromWire(a *entryv1.Answer) *Answer {
	if a == nil {
		return nil
	}
	out := &Answer{Status: int(a.GetStatus()), Body: a.GetBody()}
	for _, h := range a.GetHeaders() {
		out.Headers = append(out.Headers, Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return out
}

func recordToWire(r Record) *entryv1.KeyRecord {
	return &entryv1.KeyRecord{
		Key:                 keyToWire(r.Key),
		ContentHash:         r.Hash,
		State:               stateToWire[r.State],
		Answer:              answerToWire(r.Answer),
		Executor:            string(r.Executor.Instance),
		ExecutorIncarnation: uint64(r.Executor.Incarnation),
		Call:                r.Executor.Call,
		RemainingMs:         uint32(r.Remaining / time.Millisecond),
	}
}

func recordFromWire(r *entryv1.KeyRecord) Record {
	return Record{
		Key:      keyFromWire(r.GetKey()),
		Hash:     r.GetContentHash(),
		State:    stateFromWire(r.GetState()),
		Executor: executorOf(r.GetExecutor(), r.GetExecutorIncarnation(), r.GetCall()),
		Answer:   answerFromWire(r.GetAnswer()),
		// Rounded up, so that the record does not expire early.
		Remaining: time.Duration(r.GetRemainingMs()+1) * time.Millisecond,
	}
}

func executorOf(instance string, incarnation, call uint64) Executor {
	return Executor{
		Instance:    spec.InstanceID(instance),
		Incarnation: spec.Incarnation(incarnation),
		Call:        call,
	}
}

var stateToWire = map[State]entryv1.KeyState{
	InFlight:         entryv1.KeyState_KEY_STATE_IN_FLIGHT,
	Answered:         entryv1.KeyState_KEY_STATE_ANSWERED,
	RanWithoutAnswer: entryv1.KeyState_KEY_STATE_RAN,
	OutcomeUnknown:   entryv1.KeyState_KEY_STATE_UNKNOWN,
}

// stateFromWire maps an unlisted state to OutcomeUnknown, with which the key
// never runs again.
func stateFromWire(s entryv1.KeyState) State {
	for state, wire := range stateToWire {
		if wire == s {
			return state
		}
	}
	return OutcomeUnknown
}

func replyToWire(r Reply) *entryv1.RegisterKeyResponse {
	out := &entryv1.RegisterKeyResponse{
		Answer: answerToWire(r.Answer),
		Code:   int32(r.Code),
		Detail: r.Detail,
		Home:   string(r.Home),
	}
	switch r.Kind {
	case Proceed:
		out.State = entryv1.KeyState_KEY_STATE_PROCEED
	case Replay:
		out.State = entryv1.KeyState_KEY_STATE_ANSWERED
	case AlreadyRan:
		out.State = entryv1.KeyState_KEY_STATE_RAN
	case Moved:
		out.State = entryv1.KeyState_KEY_STATE_MOVED
	default:
		out.State = entryv1.KeyState_KEY_STATE_REFUSED
	}
	return out
}

func replyFromWire(r *entryv1.RegisterKeyResponse) Reply {
	out := Reply{
		Kind:   Reject,
		Answer: answerFromWire(r.GetAnswer()),
		Code:   code.Code(r.GetCode()),
		Detail: r.GetDetail(),
		Home:   spec.InstanceID(r.GetHome()),
	}
	switch r.GetState() {
	case entryv1.KeyState_KEY_STATE_PROCEED:
		out.Kind = Proceed
	case entryv1.KeyState_KEY_STATE_ANSWERED:
		out.Kind = Replay
	case entryv1.KeyState_KEY_STATE_RAN:
		out.Kind = AlreadyRan
	case entryv1.KeyState_KEY_STATE_MOVED:
		out.Kind = Moved
	}
	return out
}

func membersToWire(members []Member) []*entryv1.MemberName {
	out := make([]*entryv1.MemberName, 0, len(members))
	for _, m := range members {
		out = append(out, &entryv1.MemberName{Instance: string(m.Instance), Incarnation: uint64(m.Incarnation)})
	}
	return out
}

func membersFromWire(names []*entryv1.MemberName) []Member {
	out := make([]Member, 0, len(names))
	for _, m := range names {
		out = append(out, Member{Instance: spec.InstanceID(m.GetInstance()), Incarnation: spec.Incarnation(m.GetIncarnation())})
	}
	return out
}
