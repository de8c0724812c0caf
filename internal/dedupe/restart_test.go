package dedupe

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
	entryv1 "redwingvale/internal/gen/redwingvale/entry/v1"
	"redwingvale/internal/gen/redwingvale/entry/v1/entryv1connect"
	"redwingvale/internal/spec"
)

func (p localPeer) HandOverKeys(ctx context.Context, r *connect.Request[entryv1.HandOverKeysRequest]) (*connect.Response[entryv1.HandOverKeysResponse], error) {
	if remaining := p.handOverFailures[p.service.self.Instance]; remaining != nil && remaining.Add(-1) >= 0 {
		return nil, connect.NewError(connect.CodeUnavailable, context.Canceled)
	}
	return p.service.HandOverKeys(ctx, r)
}

// threeEntries runs three entries in one process. They share a clock that
// only the test advances.
type threeEntries struct {
	c        *qt.C
	now      time.Duration
	services map[spec.InstanceID]*Service
	// handOverFailures is the number of HandOverKeys calls that an instance
	// fails to answer.
	handOverFailures map[spec.InstanceID]*atomic.Int32
}

func newThreeEntries(c *qt.C) *threeEntries {
	t := &threeEntries{c: c, now: 10 * time.Minute, services: map[spec.InstanceID]*Service{}, handOverFailures: map[spec.InstanceID]*atomic.Int32{}}
	for i, id := range []spec.InstanceID{"e0", "e1", "e2"} {
		t.start(id, spec.Incarnation(i+1))
	}
	t.setMembers([]Member{{"e0", 75}, {"e1", 77}, {"e2", 79}}, "e0", "e1", "e2")
	return t
}

// start starts a new process of an instance's entry in place of the old one.
func (t *threeEntries) start(id spec.InstanceID, incarnation spec.Incarnation) {
	timing := Timing{
		Now: func() time.Duration { return t.now }, Wall: func() time.Time { return epoch.Add(t.now) },
		CallTimeout: time.Second,
	}
	peer := func(id spec.InstanceID) entryv1connect.EntryServiceClient {
		return localPeer{service: t.services[id], handOverFailures: t.handOverFailures}
	}
	t.services[id] = NewService(Settings{
		Self: Member{id, incarnation}, Retention: 5 * time.Minute, TakeoverWindow: time.Minute,
		MaxClockSkew: 100 * time.Millisecond, MaxKeys: 100, MaxBytes: 1 << 16, MaxAnswer: 1 << 10, MaxWaiters: 8,
	}, timing, peer)
}

// setMembers sets the members at the given instances.
func (t *threeEntries) setMembers(members []Member, at ...spec.InstanceID) {
	for _, id := range at {
		t.services[id].SetMembers(members)
	}
}

// newKeyWithHomes returns a key created now whose home is first, and next
// when first is excluded.
func (t *threeEntries) newKeyWithHomes(first, next spec.InstanceID) Key {
	sim := newCluster(*seedFlag)
	sim.now = t.now
	sim.entries["e0"].clockOffset = 0
	all := []Member{{Instance: "e0"}, {Instance: "e1"}, {Instance: "e2"}}
	for {
		key := Key{"t", "s", sim.newKey(sim.entries["e0"])}
		_, ordered := keyTime(key.Key)
		if ordered && homeOf(key, all) == first && homeOf(key, all, first) == next {
			return key
		}
	}
}

// restartHome creates a key and restarts its home e0 with a hand-over. It
// returns a request that the stopped process has redirected to e2.
func (t *threeEntries) restartHome() *entryv1.RegisterKeyRequest {
	t.now += 2 * time.Minute
	key := t.newKeyWithHomes("e0", "e2")
	t.now += 10 * time.Millisecond
	t.services["e0"].HandOver(context.Background())
	t.now += 60 * time.Millisecond
	t.start("e0", 4)
	t.now += 5 * time.Millisecond
	t.setMembers([]Member{{"e0", 81}, {"e1", 77}, {"e2", 79}}, "e0", "e1", "e2")
	t.now += 10 * time.Millisecond
	return redirectedRequest(key)
}

// redirectedRequest returns a request of e1 that another instance
// redirected.
func redirectedRequest(key Key) *entryv1.RegisterKeyRequest {
	return &entryv1.RegisterKeyRequest{
		Key: keyToWire(key), ContentHash: 1, Executor: "e1", ExecutorIncarnation: 2, Call: 1,
		LimitMs: 5000, WaitMs: 5000, MovedHere: true,
	}
}

func (t *threeEntries) register(at spec.InstanceID, r *entryv1.RegisterKeyRequest) Reply {
	response, err := t.services[at].RegisterKey(context.Background(), connect.NewRequest(r))
	t.c.Assert(err, qt.IsNil)
	return replyFromWire(response.Msg)
}

// Guards against a new key that ends as undecidable (RW3007) in a planned
// restart: the stopping home redirects the request, and by then the home's
// successor has joined, which is younger than the key and not authoritative.
func TestNewKeyRunsWhileItsHomeRestarts(t *testing.T) {
	c := qt.New(t)
	entries := newThreeEntries(c)
	request := entries.restartHome()
	c.Assert(entries.register("e2", request).Kind, qt.Equals, Proceed)
}

// executeAtHome executes a key at its home e0, which decides without
// querying the others. It returns a request with the key that an outdated
// membership view redirects to e2.
func (t *threeEntries) executeAtHome() *entryv1.RegisterKeyRequest {
	t.now += 2 * time.Minute
	key := t.newKeyWithHomes("e0", "e2")
	t.now += 10 * time.Millisecond
	ticket, reply := t.services["e0"].Begin(context.Background(), key, 1, 5*time.Second)
	t.c.Assert(reply.Kind, qt.Equals, Proceed)
	t.services["e0"].End(ticket, code.Ran, nil)
	return redirectedRequest(key)
}

// Guards against a second run of a key that its listed home has decided,
// when another instance names this one as the home.
func TestKeyRunsOnceAfterRedirect(t *testing.T) {
	c := qt.New(t)
	entries := newThreeEntries(c)
	request := entries.executeAtHome()
	c.Assert(entries.register("e2", request).Kind, qt.Equals, AlreadyRan)
}

// Guards against a second run of a key whose record was lost with a process
// of the listed home: the process that answers is younger than its
// membership.
func TestKeyOfReplacedProcessIsUndecidable(t *testing.T) {
	c := qt.New(t)
	entries := newThreeEntries(c)
	request := entries.executeAtHome()
	entries.start("e0", 4)
	entries.now += 5 * time.Millisecond
	entries.setMembers([]Member{{"e0", 75}, {"e1", 77}, {"e2", 79}}, "e0")
	got := entries.register("e2", request)
	c.Assert(got.Kind, qt.Equals, Reject)
	c.Assert(got.Code, qt.Equals, code.KeyUndecidable)
}

// Guards against keys that end as undecidable after a planned stop, because
// their next home did not answer for a moment and the hand-over was not
// retried.
func TestHandOverRetriesUnavailableMember(t *testing.T) {
	c := qt.New(t)
	entries := newThreeEntries(c)
	entries.handOverFailures["e2"] = new(atomic.Int32)
	entries.handOverFailures["e2"].Store(5)
	request := entries.restartHome()
	c.Assert(entries.register("e2", request).Kind, qt.Equals, Proceed)
}
