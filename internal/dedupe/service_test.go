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

// directPeer calls a service without a connection.
type directPeer struct {
	entryv1connect.EntryServiceClient
	service *Service
	// failing is how many calls that hand keys over are not answered, or nil.
	failing map[spec.InstanceID]*atomic.Int32
}

func (p directPeer) AskKey(ctx context.Context, r *connect.Request[entryv1.AskKeyRequest]) (*connect.Response[entryv1.AskKeyResponse], error) {
	return p.service.AskKey(ctx, r)
}

func (p directPeer) RegisterKey(ctx context.Context, r *connect.Request[entryv1.RegisterKeyRequest]) (*connect.Response[entryv1.RegisterKeyResponse], error) {
	return p.service.RegisterKey(ctx, r)
}

// Guards against a question that names the incarnation of the entry instead of
// the one that the members list: the asked entry then takes the asker for an
// instance that it has not noticed to be new, and never vouches for a key.
func TestQuestionNamesListedIncarnation(t *testing.T) {
	c := qt.New(t)
	now := 10 * time.Minute
	services := map[spec.InstanceID]*Service{}
	timing := Timing{
		Now: func() time.Duration { return now }, Wall: func() time.Time { return epoch.Add(now) },
		Call: time.Second,
	}
	peer := func(id spec.InstanceID) entryv1connect.EntryServiceClient { return directPeer{service: services[id]} }
	members := []Member{{"a", 20}, {"b", 21}, {"c", 22}}
	for i, m := range members {
		s := NewService(Settings{
			Self: Member{m.Instance, spec.Incarnation(i + 1)}, Retention: 5 * time.Minute, TakeoverWindow: time.Minute,
			ClockGuard: 5 * time.Second, MaxKeys: 100, MaxBytes: 1 << 16, MaxAnswer: 1 << 10, MaxWaiters: 8,
		}, timing, peer)
		s.SetMembers(members)
		services[m.Instance] = s
	}
	now += 2 * time.Minute
	services["a"].SetMembers(members[:2])
	services["b"].SetMembers(members[:2])
	services["c"].SetMembers(members[:2])
	run := newCluster(*seedFlag)
	run.now = now
	for range 40 {
		_, r := services["a"].Begin(context.Background(), Key{"t", "s", run.newKey(run.entries["e0"])}, 1, time.Second)
		c.Assert(r, qt.Equals, Reply{Kind: Proceed})
	}
}
