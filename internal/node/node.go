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

// Node is one instance. The event loop's goroutine owns the fields marked
// below; other goroutines access them by events that they put into the ring.
type Node struct {
	config   Config
	deps     Deps
	tele     *telemetry.Telemetry
	stats    stats
	clock    *clock
	ring     *ring.Ring[loopEvent]
	peerHTTP *http.Client
	// submitHTTP is the client for submissions to the leader, submitFreshHTTP the
	// same with a new connection for each call.
	submitHTTP, submitFreshHTTP *http.Client
	// requestsCtx ends when a stopping instance has to answer the callers' requests,
	// at requestsEndMS, which is 0 before.
	requestsCtx   context.Context
	endRequests   context.CancelFunc
	requestsEndMS atomic.Int64
	// direct appends records without the leader.
	direct *directAppender
	// contact holds the signs of life of the leader.
	contact leaderContact

	// routing is read by the request path without the event loop.
	routing atomic.Pointer[routingTable]
	// manifestCurrentMS is the time until which routing is known to have been
	// the newest version.
	manifestCurrentMS atomic.Int64
	// evacuations are the evacuations in force, or nil before the first read.
	evacuations atomic.Pointer[evacuations]
	// operatorsReadMS is the time up to which the operators' records have been
	// read, or 0.
	operatorsReadMS atomic.Int64
	// warned holds the warnings about operators' records that have been logged. It is
	// owned by followManifest.
	warned  map[[3]string]bool
	lookups lookups
	// leaderLooks counts the looks at jobs that this instance has passed to the
	// leader.
	leaderLooks atomic.Int64
	// leader is the current leader, or nil if none is known.
	leader   atomic.Pointer[leaderInfo]
	stopping atomic.Bool
	caughtUp atomic.Bool
	// lastLogReadMS is when the log was last read, on the clock of now; 0 if the
	// last read failed.
	lastLogReadMS atomic.Int64
	// logResponsiveSinceMS is the time since which the log has served each read
	// without delay; 0 if the last read failed or took too long.
	logResponsiveSinceMS atomic.Int64
	// logReadDurationMS is how long the last read of the log took.
	logReadDurationMS atomic.Int64

	// appendTimer determines the time limits of the leader's appends.
	appendTimer appendTimer

	// logEvidenceMS is the latest time at which the log is known to have held no
	// newer claim than this instance has read.
	logEvidenceMS atomic.Int64
	// jobBytes is the memory that the jobs of the log take on an instance that
	// leads.
	jobBytes atomic.Int64
	// jobLimit is the memory that they may take on the smallest instance; 0 without a
	// limit.
	jobLimit atomic.Int64
	bodies   *bodyMemory

	startedUnixMS int64
	// startedMS is the start on the clock of now.
	startedMS int64

	// The fields below are owned by the event loop.
	stateMachine *jobs.StateMachine
	appliedEnd   int64
	members      map[string]member
	claim        claim
	// sentClaim is the last claim that this instance has sent and for which it
	// has not begun a term.
	sentClaim claim
	// priorLeaseMS is the longest lease of the previous leaders whose runs may still
	// hold one, or 0 if it is unknown; priorClaimMS is when it was last determined.
	priorLeaseMS, priorClaimMS int64
	// claimReadMS is when claim was read, or 0 if the log held it before this
	// instance started.
	claimReadMS int64
	// caughtUpMS is when this instance first reached the end of the log, or 0.
	caughtUpMS int64
	// claimEndOffset is the end of the log just after claim.
	claimEndOffset int64
	term           *term
	manifest       *Manifest
	lastRequestID  uint64
	replies        map[uint64]chan planner.Reply
	lastHeartbeat  heartbeatState
	// delegated is the newest term in which this instance calls workers for the
	// leader, or nil.
	delegated *delegatedTerm
	// runCtx ends when Run returns.
	runCtx context.Context
	// resumedMS is when the instance last resumed from a suspension, or 0.
	resumedMS int64
	// stepTime is the time of the planner's last step.
	stepTime planner.Time
	// lastPostedMS is when the event that was handled last was posted.
	lastPostedMS int64
	// load measures the event loop.
	load *loadMeter
	// lastActiveMS is when the event loop last handled an event or a tick.
	lastActiveMS int64
}

// term is the state of a period in which this instance leads.
type term struct {
	epoch uint64
	core  *planner.Core
	// delegation passes calls to workers on to other instances. It is owned by
	// the event loop.
	delegation *delegation
	ctx        context.Context
	stop       context.CancelFunc
	writes     *ring.Ring[planner.Write]
	// appends counts the confirmed appends of the term; the sequence numbers
	// derive from it. It is owned by the log writer.
	appends uint64
	// lastAppendEnd is the end of this term's last append. It is owned by the
	// log writer.
	lastAppendEnd int64
	// startedMS is when the term began. heartbeatsAnswered maps the address of a
	// member to the time at which the last heartbeat was sent that it has answered,
	// inactive the members that do not count towards a majority. They are owned by
	// the event loop.
	startedMS          int64
	heartbeatsAnswered map[string]int64
	inactive           map[string]bool
	inactiveCheckedMS  int64
	// evacuations are those that the planner knows, and lookedUp the data centres
	// among them for which it was checked whether anything is there. They are owned
	// by the event loop.
	evacuations *evacuations
	lookedUp    map[string]bool
	// configured is set once the planner has the configuration. It is owned by
	// the event loop.
	configured bool
	// pendingSinceMS is when the outstanding write was sent, or 0.
	pendingSinceMS atomic.Int64
	// refusedSinceMS is when the log first refused that write, or 0.
	refusedSinceMS atomic.Int64
	// unconfirmedSinceMS is the time since which leadership is unconfirmed and
	// no commands are sent to workers, or 0.
	unconfirmedSinceMS atomic.Int64
}

// heartbeatState describes the last heartbeat received from a leader.
type heartbeatState struct {
	epoch uint64
	// receivedMS is when the heartbeat was received. It is also set when Run
	// begins and when a term ends, since the election timeout counts from it.
	receivedMS   int64
	logAvailable bool
	stopping     bool
	// replaceableSinceMS is the time since which the leader's heartbeats have
	// reported that it is stopping or has no access to the log, or 0.
	replaceableSinceMS int64
}

// New returns an instance, which does nothing until Run or Serve.
func New(config Config, deps Deps, tele *telemetry.Telemetry) *Node {
	n := &Node{
		config:       config,
		deps:         deps,
		tele:         tele,
		stats:        newStats(tele.Scope),
		load:         newLoadMeter(tele.Scope),
		clock:        newClock(),
		ring:         ring.New[loopEvent](ringSize),
		peerHTTP:     newPeerClient(),
		stateMachine: jobs.NewStateMachine(),
		members:      map[string]member{},
		replies:      map[uint64]chan planner.Reply{},
		bodies:       newBodyMemory(config),
		warned:       map[[3]string]bool{},

		submitHTTP:      newSubmitClient(false),
		submitFreshHTTP: newSubmitClient(true),

		startedUnixMS: time.Now().UnixMilli(),
	}
	n.direct = n.newDirectAppender()
	n.requestsCtx, n.endRequests = context.WithCancel(context.Background())
	n.load.reportedMS = n.now().MS
	n.jobLimit.Store(maxJobBytes(int(config.MemoryMB)))
	n.stats.jobBytesLimit.Update(float64(n.jobLimit.Load()))
	return n
}

// Run follows the log and the manifest, takes part in elections and leads when
// elected, until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	n.startedMS = n.now().MS
	n.lastHeartbeat.receivedMS, n.lastActiveMS = n.startedMS, n.startedMS
	group, ctx := errgroup.WithContext(ctx)
	n.runCtx = ctx
	group.Go(func() error { n.loop(ctx); return nil })
	group.Go(func() error { n.followManifest(ctx); return nil })
	group.Go(func() error { n.followLog(ctx); return nil })
	group.Go(func() error { n.campaign(ctx); return nil })
	return group.Wait()
}

// loop handles events one at a time until ctx ends.
func (n *Node) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			n.resign("stopped")
			return
		case event := <-n.ring.Receive():
			start := time.Now()
			// An event may have waited through a suspension.
			n.detectSuspension(start)
			n.lastPostedMS = n.clock.at(event.posted).MS
			n.load.delayed(start.Sub(event.posted))
			event.run()
			n.load.handled(event.duty, time.Since(start))
		case <-ticker.C:
			start := time.Now()
			n.tick(n.detectSuspension(start))
			n.load.handled(dutyTick, time.Since(start))
		}
	}
}

// tick does what is due by time.
func (n *Node) tick(nowMS int64) {
	n.step(planner.Tick{LagMS: n.load.lagSinceTick(), HandledMS: n.handledMS()})
	if t := n.term; t != nil {
		t.delegation.tick()
		n.passEvacuations(t)
		n.checkDataCentres(t)
		n.stats.evacuatedRuns.Update(float64(t.core.EvacuatedRuns()))
	}
	if n.load.due(nowMS) {
		n.reportLoad(nowMS)
	}
}

// handledMS returns the time up to which everything received, here or by a
// delegate, has been handled, or 0 if nothing waits. It runs in the event loop.
func (n *Node) handledMS() int64 {
	handled := n.loopHandledMS()
	if n.term == nil {
		return handled
	}
	if delegated := n.term.delegation.handledMS(); delegated > 0 && (handled == 0 || delegated < handled) {
		return delegated
	}
	return handled
}

// loopHandledMS returns the time up to which the event loop has handled everything
// that this instance received, or 0 if nothing waits.
func (n *Node) loopHandledMS() int64 {
	if n.ring.Len() == 0 {
		return 0
	}
	return n.lastPostedMS - milliseconds(postMargin)
}

// reportLoad updates the metrics of the load. A leader also logs it, as does any
// other instance that is behind.
func (n *Node) reportLoad(nowMS int64) {
	logged := n.term != nil || n.load.late()
	var work planner.Work
	if n.term != nil {
		work = n.term.core.Work()
	}
	fields := n.load.report(nowMS, n.ring.Len(), work)
	n.noteJobBytes()
	n.showBacklog()
	if logged {
		n.log("load", append(fields, zap.Bool("leading", n.term != nil))...)
	}
}

// detectSuspension detects that the process was suspended. Another instance may
// lead by now, so no commands are sent until the log has been read. It returns
// the time t, which has just been read.
func (n *Node) detectSuspension(t time.Time) int64 {
	now := n.clock.at(t).MS
	gap := now - n.lastActiveMS
	n.lastActiveMS = now
	if gap < milliseconds(suspensionThreshold) {
		return now
	}
	n.resumedMS = now
	n.log("resumed", zap.Int64("gap_ms", gap))
	if n.term != nil {
		n.step(planner.Suspended{})
		go n.confirmLeadership(n.term)
	}
	return now
}

// post puts an event into the ring of the event loop and reports whether it did
// so before ctx ended.
func (n *Node) post(ctx context.Context, d duty, event func()) bool {
	return n.ring.Put(ctx, loopEvent{duty: d, posted: time.Now(), run: event}) == nil
}

// runInLoop runs fn in the event loop and returns its result.
func runInLoop[T any](ctx context.Context, n *Node, d duty, fn func() T) (T, error) {
	result := make(chan T, 1)
	var zero T
	if !n.post(ctx, d, func() { result <- fn() }) {
		return zero, errors.Wrap(ctx.Err(), "ask the loop")
	}
	select {
	case value := <-result:
		return value, nil
	case <-ctx.Done():
		return zero, errors.Wrap(ctx.Err(), "wait for the loop")
	}
}

// step passes an event to the planner and executes the resulting effects. It
// runs in the event loop.
func (n *Node) step(e planner.Event) {
	if n.term == nil {
		return
	}
	t := n.term
	start := time.Now()
	n.stepTime = n.clock.at(start)
	effects := t.core.Step(n.stepTime, e)
	n.load.planned(dutyOf(e), time.Since(start))
	for _, effect := range effects {
		n.execute(t, effect)
	}
}

// postEvent posts a planner event of a term. The event is dropped once the term
// is over.
func (n *Node) postEvent(t *term, e planner.Event) {
	n.post(t.ctx, dutyOf(e), func() {
		if n.term == t {
			n.step(e)
		}
	})
}

// Ready reports whether the instance accepts requests.
func (n *Node) Ready() bool {
	return n.routing.Load() != nil && n.caughtUp.Load() && n.leader.Load() != nil && !n.stopping.Load()
}

func (n *Node) log(event string, fields ...zap.Field) { n.tele.Log.Info(event, fields...) }
