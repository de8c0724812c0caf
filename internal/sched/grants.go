package sched

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"redwingvale/internal/code"
	"redwingvale/internal/group"
	"redwingvale/internal/spec"

	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
)

// renewTimeout bounds the renewal of an entry's grants.
const renewTimeout = 800 * time.Millisecond

// RenewGrants implements the SchedService. Each owned group renews the grants
// of its own workers; the results are combined.
func (s *Sched) RenewGrants(ctx context.Context, call *connect.Request[schedv1.RenewGrantsRequest]) (*connect.Response[schedv1.RenewGrantsResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	response := &schedv1.RenewGrantsResponse{}
	for id, holdings := range s.holdingsByOwnedGroup(call.Msg) {
		response.Grants = append(response.Grants, s.renewGroupGrants(ctx, id, call.Msg, holdings)...)
	}
	return connect.NewResponse(response), nil
}

// holdingsByOwnedGroup splits the holdings by group and keeps those of groups
// that this instance owns.
func (s *Sched) holdingsByOwnedGroup(request *schedv1.RenewGrantsRequest) map[spec.GroupID][]*schedv1.Holding {
	index := s.view.groupOfWorker()
	out := make(map[spec.GroupID][]*schedv1.Holding)
	for _, holding := range request.GetHoldings() {
		id, known := index[holding.GetWorker()]
		if !known {
			continue
		}
		if _, own := s.ownerOf(id); own {
			out[id] = append(out[id], holding)
		}
	}
	return out
}

func (s *Sched) renewGroupGrants(ctx context.Context, id spec.GroupID, request *schedv1.RenewGrantsRequest, holdings []*schedv1.Holding) []*schedv1.Grant {
	renewal := proto.CloneOf(request)
	renewal.Holdings = holdings
	reply, err := s.sendRequest(ctx, code.OwnerUnknown, func(r group.Request) event {
		return groupEvent{group: id, request: r, event: group.RenewGrants{Request: r, Renewal: renewal}}
	})
	if err != nil {
		return nil
	}
	return reply.Grants
}
