package sched

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"redwingvale/internal/journal"
	"redwingvale/internal/operator"
	"redwingvale/internal/platform"
	"redwingvale/internal/policy"
	"redwingvale/internal/ring"
	"redwingvale/internal/spec"
	"redwingvale/internal/telemetry"

	"redwingvale/internal/gen/redwingvale/sched/v1/schedv1connect"
)

// Sizes of the ring buffers, periods and time limits.
const (
	tickPeriod     = 50 * time.Millisecond
	eventRingSize  = 8192
	appendCallers  = 8
	appendRingSize = 256
	appendTimeout  = 3 * time.Second
	stopTimeout    = 2 * time.Second
	leaveTimeout   = 15 * time.Second
)

// Deps are the dependencies of a Sched.
type Deps struct {
	Log       platform.Log
	List      platform.InstanceList
	Workers   platform.Workers
	Telemetry *telemetry.Telemetry
	// NewDecider returns the policy of one group.
	NewDecider func(id spec.GroupID) policy.Decider
	// Incarnation is larger than that of any earlier process of this instance.
	Incarnation spec.Incarnation
}

// Sched is one rwsched process: the decision loop and the goroutines around it.
type Sched struct {
	config      Config
	deps        Deps
	sockets     Sockets
	log         *zap.Logger
	start       time.Time
	incarnation spec.Incarnation

	events     *ring.Ring[event]
	requests   *openRequests
	jobChanges *jobChanges
	view       *sharedView
	clients    *Clients
	documents  atomic.Pointer[documentIndex]
	appender   *journal.Appender
	calls      *workerCalls
	heartbeats *heartbeatSender
	metrics    *metrics

	goroutines sync.WaitGroup
	draining   atomic.Bool
	// allOwnersSeen is set the first time that every worker group has an owner.
	allOwnersSeen  atomic.Bool
	leaveCompleted chan struct{}
	leaveOnce      sync.Once
	// drainRequested is closed when a planned stop is requested.
	drainRequested chan struct{}
	drainOnce      sync.Once
	// drainAttribution names the operator who requested a planned stop, or is
	// nil.
	drainAttribution atomic.Pointer[attribution]
}

// New returns an rwsched that does not run yet.
func New(config Config, sockets Sockets, deps Deps) *Sched {
	s := &Sched{
		config:         config,
		deps:           deps,
		sockets:        sockets,
		log:            deps.Telemetry.Log,
		start:          time.Now(),
		incarnation:    deps.Incarnation,
		events:         ring.New[event](eventRingSize),
		requests:       newOpenRequests(),
		jobChanges:     newChangeNotifier[spec.JobID](),
		view:           newSharedView(),
		clients:        NewClients(),
		metrics:        newMetrics(deps.Telemetry.Scope),
		leaveCompleted: make(chan struct{}),
		drainRequested: make(chan struct{}),
	}
	s.calls = newWorkerCalls(deps.Workers, s.now, s.deliver)
	s.heartbeats = newHeartbeatSender(s.clients, s.deliver)
	s.appender = journal.NewAppender(deps.Log, appendCallers, appendRingSize, appendTimeout, s.deliverAppend)
	return s
}

// now returns the monotonic time since the start of the process.
func (s *Sched) now() time.Duration { return time.Since(s.start) }

// deliver sends an event to the decision loop.
func (s *Sched) deliver(ctx context.Context, e event) { _ = s.events.Put(ctx, e) }

func (s *Sched) deliverAppend(ctx context.Context, done journal.AppendDone) error {
	return s.events.Put(ctx, appendDone{done: done})
}

// Run runs the process until ctx ends. It does not leave the membership: in a
// planned stop, Leave is called before ctx is cancelled.
func (s *Sched) Run(ctx context.Context) error {
	s.log.Info("sched_started",
		zap.String("peer_addr", s.sockets.Peer.Addr().String()),
		zap.Uint64("incarnation", uint64(s.incarnation)))
	group, ctx := errgroup.WithContext(ctx)
	s.startReader(ctx, platform.MembersStream)
	group.Go(func() error { return s.runDecisionLoop(ctx) })
	group.Go(func() error { return ignoreCancelled(s.appender.Run(ctx)) })
	group.Go(func() error { return s.calls.run(ctx) })
	group.Go(func() error { return s.readConfig(ctx) })
	group.Go(func() error {
		s.pollInstances(ctx)
		return nil
	})
	group.Go(func() error { return serve(ctx, s.sockets.Peer, s.handler()) })
	group.Go(func() error { return s.serveOperator(ctx) })
	group.Go(func() error { return s.deps.Telemetry.Serve(ctx, s.sockets.Ops, s.Ready) })
	err := group.Wait()
	s.goroutines.Wait()
	s.heartbeats.senders.Wait()
	s.clients.Close()
	return err
}

// runInBackground runs a call with a time limit outside the decision loop. Run
// waits for it to end.
func (s *Sched) runInBackground(ctx context.Context, limit time.Duration, call func(context.Context)) {
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		limited, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		call(limited)
	}()
}

func ignoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (s *Sched) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(schedv1connect.NewSchedServiceHandler(s))
	mux.Handle(schedv1connect.NewPeerServiceHandler(s))
	return mux
}

// serve serves HTTP on the socket until ctx ends.
func serve(ctx context.Context, socket net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: peerHeaderTimeout,
		IdleTimeout:       peerIdleTimeout * 2,
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(socket) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return server.Close()
	}
}

func (s *Sched) serveOperator(ctx context.Context) error {
	_, handler := operator.Handler(s)
	return serve(ctx, s.sockets.Operator, handler)
}

// Ready reports whether the instance is a voter, is not stopping, and has seen
// an owner for every worker group at least once. A group that has no owner
// later on affects all instances, so it does not make this one unready.
func (s *Sched) Ready() bool {
	if s.draining.Load() {
		return false
	}
	if !s.allOwnersSeen.Load() {
		if !s.GroupsOwned() {
			return false
		}
		s.allOwnersSeen.Store(true)
	}
	for _, member := range s.view.current.Load().GetMembers() {
		if member.GetInstance() == s.config.Instance {
			return member.GetActive()
		}
	}
	return false
}

// Leave hands every group over and leaves the membership. It returns when that
// is done, after leaveTimeout, or when ctx ends.
func (s *Sched) Leave(ctx context.Context) error {
	s.draining.Store(true)
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := s.events.Put(ctx, leaveRequested{}); err != nil {
		return err
	}
	select {
	case <-s.leaveCompleted:
		return nil
	case <-ctx.Done():
		return errors.New("the leave did not end in time")
	}
}

func (s *Sched) completeLeave() { s.leaveOnce.Do(func() { close(s.leaveCompleted) }) }

// dialer returns a dial function with a time limit.
func dialer(limit time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return (&net.Dialer{Timeout: limit}).DialContext
}

// GroupsOwned reports whether at least one group is known and every known group
// has an owner in this instance's view.
func (s *Sched) GroupsOwned() bool {
	groups := s.view.current.Load().GetGroups()
	for _, g := range groups {
		if g.GetOwner() == "" {
			return false
		}
	}
	return len(groups) > 0
}
