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

func (p directPeer) HandOverKeys(ctx context.Context, r *connect.Request[entryv1.HandOverKeysRequest]) (*connect.Response[entryv1.HandOverKeysResponse], error) {
	if left := p.failing[p.service.self.Instance]; left != nil && left.Add(-1) >= 0 {
		return nil, connect.NewError(connect.CodeUnavailable, context.Canceled)
	}
	return p.service.HandOverKeys(ctx, r)
}

// trio is three entries in one process that share a clock that only the test
// moves.
type trio struct {
	c        *qt.C
	now      time.Duration
	services map[spec.InstanceID]*Service
	// failing is how many calls that hand keys over an instance does not answer.
	failing map[spec.InstanceID]*atomic.Int32
}

func newTrio(c *qt.C) *trio {
	t := &trio{c: c, now: 10 * time.Minute, services: map[spec.InstanceID]*Service{}, failing: map[spec.InstanceID]*atomic.Int32{}}
	for i, id := range []spec.InstanceID{"e0", "e1", "e2"} {
		t.start(id, spec.Incarnation(i+1))
	}
	t.list([]Member{{"e0", 75}, {"e1", 77}, {"e2", 79}}, "e0", "e1", "e2")
	return t
}

// start puts a new process in the place of an instance's entry.
func (t *trio) start(id spec.InstanceID, incarnation spec.Incarnation) {
	timing := Timing{
		Now: func() time.Duration { return t.now }, Wall: func() time.Time { return epoch.Add(t.now) },
		Call: time.Second,
	}
	peer := func(id spec.InstanceID) entryv1connect.EntryServiceClient {
		return directPeer{service: t.services[id], failing: t.failing}
	}
	t.services[id] = NewService(Settings{
		Self: Member{id, incarnation}, Retention: 5 * time.Minute, TakeoverWindow: time.Minute,
		ClockGuard: 100 * time.Millisecond, MaxKeys: 100, MaxBytes: 1 << 16, MaxAnswer: 1 << 10, MaxWaiters: 8,
	}, timing, peer)
}

// list lets the instances learn the members.
func (t *trio) list(members []Member, at ...spec.InstanceID) {
	for _, id := range at {
		t.services[id].SetMembers(members)
	}
}

// keyOf returns a key made now whose home is first, and next without first.
func (t *trio) keyOf(first, next spec.InstanceID) Key {
	run := newCluster(*seedFlag)
	run.now = t.now
	run.entries["e0"].offset = 0
	all := []Member{{Instance: "e0"}, {Instance: "e1"}, {Instance: "e2"}}
	for {
		key := Key{"t", "s", run.newKey(run.entries["e0"])}
		_, ordered := timeOf(key.Key)
		if ordered && homeOf(key, all) == first && homeOf(key, all, first) == next {
			return key
		}
	}
}

// restartHome makes a key, restarts its home e0 with a hand-over, and registers
// a use at e2 that the stopped process has sent there.
func (t *trio) restartHome() *entryv1.RegisterKeyRequest {
	t.now += 2 * time.Minute
	key := t.keyOf("e0", "e2")
	t.now += 10 * time.Millisecond
	t.services["e0"].HandOver(context.Background())
	t.now += 60 * time.Millisecond
	t.start("e0", 4)
	t.now += 5 * time.Millisecond
	t.list([]Member{{"e0", 81}, {"e1", 77}, {"e2", 79}}, "e0", "e1", "e2")
	t.now += 10 * time.Millisecond
	return useOf(key)
}

// useOf returns a use of e1 that another instance has sent on.
func useOf(key Key) *entryv1.RegisterKeyRequest {
	return &entryv1.RegisterKeyRequest{
		Key: keyToWire(key), ContentHash: 1, Executor: "e1", ExecutorIncarnation: 2, Call: 1,
		LimitMs: 5000, WaitMs: 5000, MovedHere: true,
	}
}

func (t *trio) register(at spec.InstanceID, r *entryv1.RegisterKeyRequest) Reply {
	response, err := t.services[at].RegisterKey(context.Background(), connect.NewRequest(r))
	t.c.Assert(err, qt.IsNil)
	return replyFromWire(response.Msg)
}

// Guards against a new key that ends as undecidable (RW3007) in a planned
// restart: the stopping home sends its use on, and by then the home's successor
// has joined, which is younger than the key and can vouch for nothing.
func TestKeyIsDecidedWhileItsHomeRestarts(t *testing.T) {
	c := qt.New(t)
	world := newTrio(c)
	use := world.restartHome()
	c.Assert(world.register("e2", use).Kind, qt.Equals, Proceed)
}

// decidedAtHome lets e0 decide on a key without a question to the others, and
// returns a use of the key that an older view sends to e2.
func (t *trio) decidedAtHome() *entryv1.RegisterKeyRequest {
	t.now += 2 * time.Minute
	key := t.keyOf("e0", "e2")
	t.now += 10 * time.Millisecond
	ticket, reply := t.services["e0"].Begin(context.Background(), key, 1, 5*time.Second)
	t.c.Assert(reply.Kind, qt.Equals, Proceed)
	t.services["e0"].End(ticket, code.Ran, nil)
	return useOf(key)
}

// Guards against a second run of a key that its listed home has decided, when
// another instance names this one as the home.
func TestKeyOfListedHomeRunsOnce(t *testing.T) {
	c := qt.New(t)
	world := newTrio(c)
	use := world.decidedAtHome()
	c.Assert(world.register("e2", use).Kind, qt.Equals, AlreadyRan)
}

// Guards against a second run of a key whose use was lost with a process of
// the listed home: the process that answers is younger than the listing.
func TestKeyOfReplacedProcessStaysUndecided(t *testing.T) {
	c := qt.New(t)
	world := newTrio(c)
	use := world.decidedAtHome()
	world.start("e0", 4)
	world.now += 5 * time.Millisecond
	world.list([]Member{{"e0", 75}, {"e1", 77}, {"e2", 79}}, "e0")
	got := world.register("e2", use)
	c.Assert(got.Kind, qt.Equals, Refuse)
	c.Assert(got.Code, qt.Equals, code.KeyUndecidable)
}

// Guards against keys that end as undecidable after a planned stop, because
// their next home did not answer for a moment and the hand-over gave up.
func TestHandOverOutlastsAShortSilence(t *testing.T) {
	c := qt.New(t)
	world := newTrio(c)
	world.failing["e2"] = new(atomic.Int32)
	world.failing["e2"].Store(5)
	use := world.restartHome()
	c.Assert(world.register("e2", use).Kind, qt.Equals, Proceed)
}
