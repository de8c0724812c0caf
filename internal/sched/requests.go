package sched

import (
	"context"
	"sync"

	"redwingvale/internal/code"
	"redwingvale/internal/group"
)

// maxOpenRequests bounds the requests that wait for the decision loop.
const maxOpenRequests = 8192

// openRequests connects the handlers of the connect servers with the decision
// loop: a handler waits for the reply to its request.
type openRequests struct {
	mu      sync.Mutex
	last    group.Request
	waiting map[group.Request]chan group.Reply
}

func newOpenRequests() *openRequests {
	return &openRequests{waiting: make(map[group.Request]chan group.Reply)}
}

func (o *openRequests) open() (group.Request, <-chan group.Reply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.waiting) >= maxOpenRequests {
		return 0, nil, code.New(code.Overloaded, "%d requests wait already", len(o.waiting))
	}
	o.last++
	reply := make(chan group.Reply, 1)
	o.waiting[o.last] = reply
	return o.last, reply, nil
}

func (o *openRequests) close(request group.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waiting, request)
}

// deliverReply passes a reply to the handler of its request, if the handler
// still waits.
func (o *openRequests) deliverReply(reply group.Reply) {
	o.mu.Lock()
	waiting := o.waiting[reply.Request]
	delete(o.waiting, reply.Request)
	o.mu.Unlock()
	if waiting != nil {
		waiting <- reply
	}
}

// sendRequest delivers the event that build makes for a new request and waits
// for the reply. onTimeout is the code of the error if ctx ends first.
func (s *Sched) sendRequest(ctx context.Context, onTimeout code.Code, build func(group.Request) event) (group.Reply, error) {
	request, reply, err := s.requests.open()
	if err != nil {
		return group.Reply{}, err
	}
	defer s.requests.close(request)
	if err := s.events.Put(ctx, build(request)); err != nil {
		return group.Reply{}, code.New(code.Overloaded, "the decision duty does not take requests in time")
	}
	select {
	case received := <-reply:
		return received, nil
	case <-ctx.Done():
		return group.Reply{}, code.New(onTimeout, "no decision in time")
	}
}
