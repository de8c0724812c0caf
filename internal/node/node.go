package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"redwingvale/internal/jobs"
	"redwingvale/internal/planner"
	"redwingvale/internal/ring"
	"redwingvale/internal/telemetry"
)

// Node is one instance. The loop goroutine owns everything below it; other
// goroutines reach it through the ring.
type Node struct {
	config Config
	deps   Deps
	tele   *telemetry.Telemetry
	stats  stats
	ring   *ring.Ring[func()]
	peers  *http.Client

	// view is what the request path reads without the loop.
	view atomic.Pointer[view]
	// manifestMS is up to when view is known to be the newest version.
	manifestMS atomic.Int64
	// leader is where the current leader is.
	leader   atomic.Pointer[leaderInfo]
	stopping atomic.Bool
	caughtUp atomic.Bool
	// logReadMS is when the log was last read, on the node's clock.
	logReadMS atomic.Int64
	// logSinceMS is since when the log has served this instance without a break.
	logSinceMS atomic.Int64
	// logTookMS is how long that read took.
	logTookMS atomic.Int64

	startedMS int64
	// bootMS is the start on the clock of now.
	bootMS int64

	// Owned by the loop.
	book    *jobs.Book
	end     int64
	members map[string]member
	claim   claim
	// sentClaim is the last claim that this instance has sent and not led on.
	sentClaim claim
	// priorLeaseMS is the lease of the leader before, 0 if it is not known.
	priorLeaseMS int64
	// claimReadMS is when that claim was read, 0 for one that was in the log
	// before this instance started.
	claimReadMS int64
	// claimedAt is the end of the log just after that claim.
	claimedAt int64
	term      *term
	manifest  *Manifest
	nextReply uint64
	replies   map[uint64]chan planner.Reply
	heard     heard
	// tickedMS is when the loop was last seen at work.
	tickedMS int64
}

// term is the time in which this instance leads.
type term struct {
	epoch  uint64
	core   *planner.Core
	ctx    context.Context
	stop   context.CancelFunc
	writes *ring.Ring[planner.Write]
	// appends counts the confirmed appends of the term, and with them the
	// sequence numbers; the journal duty owns it.
	appends uint64
	// wroteTo is the end of this term's last append; the journal duty owns it.
	wroteTo int64
	// configured is set once the planner has the configuration; the loop owns it.
	configured bool
	// pendingMS is when the outstanding write was sent, or 0.
	pendingMS atomic.Int64
	// refusedMS is when the log first refused that write, or 0.
	refusedMS atomic.Int64
	// doubtMS is since when the leadership is in doubt and no orders go out, or 0.
	doubtMS atomic.Int64
}

// heard is the newest sign of life of a leader.
type heard struct {
	epoch        uint64
	atMS         int64
	logAvailable bool
	stopping     bool
	// askedMS is since when the leader has wanted to be replaced, or 0.
	askedMS int64
}

// New returns an instance.
func New(config Config, deps Deps, tele *telemetry.Telemetry) *Node {
	return &Node{
		config:  config,
		deps:    deps,
		tele:    tele,
		stats:   newStats(tele.Scope),
		ring:    ring.New[func()](ringSize),
		peers:   newPeerClient(),
		book:    jobs.NewBook(),
		members: map[string]member{},
		replies: map[uint64]chan planner.Reply{},

		startedMS: time.Now().UnixMilli(),
	}
}

// Run works until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	n.bootMS = n.now().MS
	n.heard.atMS, n.tickedMS = n.bootMS, n.bootMS
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { n.loop(ctx); return nil })
	group.Go(func() error { n.followManifest(ctx); return nil })
	group.Go(func() error { n.followLog(ctx); return nil })
	group.Go(func() error { n.stand(ctx); return nil })
	return group.Wait()
}

// loop carries out one event after the other.
func (n *Node) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			n.resign("stopped")
			return
		case event := <-n.ring.Out():
			// An event may have waited through a suspension.
			n.checkGap()
			event()
		case <-ticker.C:
			n.checkGap()
			n.step(planner.Tick{})
		}
	}
}

// checkGap notices that the instance has been suspended: another one may lead
// by now, so orders wait until the log has been read.
func (n *Node) checkGap() {
	now := n.now().MS
	gap := now - n.tickedMS
	n.tickedMS = now
	if gap < milliseconds(suspendedAfter) {
		return
	}
	n.log("resumed", zap.Int64("gap_ms", gap))
	if n.term != nil {
		n.step(planner.Suspended{})
		go n.recheck(n.term)
	}
}

// post hands an event to the loop.
func (n *Node) post(ctx context.Context, event func()) bool {
	return n.ring.Put(ctx, event) == nil
}

// ask runs a question in the loop and waits for its answer.
func ask[T any](ctx context.Context, n *Node, question func() T) (T, error) {
	answer := make(chan T, 1)
	var none T
	if !n.post(ctx, func() { answer <- question() }) {
		return none, errors.Wrap(ctx.Err(), "ask the loop")
	}
	select {
	case got := <-answer:
		return got, nil
	case <-ctx.Done():
		return none, errors.Wrap(ctx.Err(), "wait for the loop")
	}
}

// step gives an event to the planner and carries out what it wants. It runs
// in the loop.
func (n *Node) step(e planner.Event) {
	if n.term == nil {
		return
	}
	t := n.term
	for _, effect := range t.core.Step(n.now(), e) {
		n.carryOut(t, effect)
	}
}

// event posts a planner event of a term; it is dropped once the term is over.
func (n *Node) event(t *term, e planner.Event) {
	n.post(t.ctx, func() {
		if n.term == t {
			n.step(e)
		}
	})
}

// Ready reports whether the instance takes requests.
func (n *Node) Ready() bool {
	return n.view.Load() != nil && n.caughtUp.Load() && n.leader.Load() != nil && !n.stopping.Load()
}

func (n *Node) log(event string, fields ...zap.Field) { n.tele.Log.Info(event, fields...) }
