package dedupe

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	entryv1 "redwingvale/internal/gen/redwingvale/entry/v1"
	"redwingvale/internal/gen/redwingvale/entry/v1/entryv1connect"
	"redwingvale/internal/spec"
)

// localPeer calls a service directly, without a connection.
type localPeer struct {
	entryv1connect.EntryServiceClient
	service *Service
	// handOverFailures is the number of HandOverKeys calls that are not
	// answered, by instance, or nil.
	handOverFailures map[spec.InstanceID]*atomic.Int32
}

func (p localPeer) AskKey(ctx context.Context, r *connect.Request[entryv1.AskKeyRequest]) (*connect.Response[entryv1.AskKeyResponse], error) {
	return p.service.AskKey(ctx, r)
}

func (p localPeer) RegisterKey(ctx context.Context, r *connect.Request[entryv1.RegisterKeyRequest]) (*connect.Response[entryv1.RegisterKeyResponse], error) {
	return p.service.RegisterKey(ctx, r)
}

// Guards against a query that states the incarnation of the entry instead of
// the one in the list of members: the queried entry then takes the new home
// for a restarted instance and is never authoritative.
func TestQueryNamesListedIncarnation(t *testing.T) {
	c := qt.New(t)
	now := 10 * time.Minute
	services := map[spec.InstanceID]*Service{}
	timing := Timing{
		Now: func() time.Duration { return now }, Wall: func() time.Time { return epoch.Add(now) },
		CallTimeout: time.Second,
	}
	peer := func(id spec.InstanceID) entryv1connect.EntryServiceClient { return localPeer{service: services[id]} }
	members := []Member{{"a", 20}, {"b", 21}, {"c", 22}}
	for i, m := range members {
		s := NewService(Settings{
			Self: Member{m.Instance, spec.Incarnation(i + 1)}, Retention: 5 * time.Minute, TakeoverWindow: time.Minute,
			MaxClockSkew: 5 * time.Second, MaxKeys: 100, MaxBytes: 1 << 16, MaxAnswer: 1 << 10, MaxWaiters: 8,
		}, timing, peer)
		s.SetMembers(members)
		services[m.Instance] = s
	}
	now += 2 * time.Minute
	services["a"].SetMembers(members[:2])
	services["b"].SetMembers(members[:2])
	services["c"].SetMembers(members[:2])
	sim := newCluster(*seedFlag)
	sim.now = now
	for range 40 {
		_, r := services["a"].Begin(context.Background(), Key{"t", "s", sim.newKey(sim.entries["e0"])}, 1, time.Second)
		c.Assert(r, qt.Equals, Reply{Kind: Proceed})
	}
}
