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

// Sizes of the duties' rings and periods.
const (
	tickPeriod     = 50 * time.Millisecond
	eventRingSize  = 8192
	appendCallers  = 8
	appendRingSize = 256
	appendTimeout  = 3 * time.Second
	stopTimeout    = 2 * time.Second
	leaveTimeout   = 15 * time.Second
)

// Deps are what rwsched needs from its process.
type Deps struct {
	Log       platform.Log
	List      platform.InstanceList
	Workers   platform.Workers
	Telemetry *telemetry.Telemetry
	// NewDecider returns the policy of one group.
	NewDecider func(id spec.GroupID) policy.Decider
	// Incarnation is larger than that of any earlier run on this instance.
	Incarnation spec.Incarnation
}

// Sched is one rwsched: the decision duty and the duties around it.
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
	heartbeats *heartbeats
	metrics    *metrics

	duties   sync.WaitGroup
	draining atomic.Bool
	// sawOwners is set once every worker group had an owner.
	sawOwners atomic.Bool
	left      chan struct{}
	leftOnce  sync.Once
	// drainWanted is closed when an operator asks for a planned stop.
	drainWanted chan struct{}
	drainOnce   sync.Once
	// drainWord is the operator behind a planned stop, or nil.
	drainWord atomic.Pointer[operatorWord]
}

// New returns an rwsched that does not run yet.
func New(config Config, sockets Sockets, deps Deps) *Sched {
	s := &Sched{
		config:      config,
		deps:        deps,
		sockets:     sockets,
		log:         deps.Telemetry.Log,
		start:       time.Now(),
		incarnation: deps.Incarnation,
		events:      ring.New[event](eventRingSize),
		requests:    newOpenRequests(),
		jobChanges:  newChanges[spec.JobID](),
		view:        newSharedView(),
		clients:     NewClients(),
		metrics:     newMetrics(deps.Telemetry.Scope),
		left:        make(chan struct{}),
		drainWanted: make(chan struct{}),
	}
	s.calls = newWorkerCalls(deps.Workers, s.now, s.deliver)
	s.heartbeats = newHeartbeats(s.clients, s.deliver)
	s.appender = journal.NewAppender(deps.Log, appendCallers, appendRingSize, appendTimeout, s.deliverAppend)
	return s
}

// now returns the monotonic time since the start of the process.
func (s *Sched) now() time.Duration { return time.Since(s.start) }

// deliver hands an event to the decision duty.
func (s *Sched) deliver(ctx context.Context, e event) { _ = s.events.Put(ctx, e) }

func (s *Sched) deliverAppend(ctx context.Context, done journal.AppendDone) error {
	return s.events.Put(ctx, appendDone{done: done})
}

// Run works until ctx ends, without a planned leave. Drain comes before it in
// a planned stop.
func (s *Sched) Run(ctx context.Context) error {
	s.log.Info("sched_started",
		zap.String("peer_addr", s.sockets.Peer.Addr().String()),
		zap.Uint64("incarnation", uint64(s.incarnation)))
	group, ctx := errgroup.WithContext(ctx)
	s.startReader(ctx, platform.MembersStream)
	group.Go(func() error { return s.decide(ctx) })
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
	s.duties.Wait()
	s.heartbeats.wait.Wait()
	s.clients.Close()
	return err
}

// background runs a call outside the decision duty, bounded in time. Run waits
// for it.
func (s *Sched) background(ctx context.Context, limit time.Duration, call func(context.Context)) {
	s.duties.Add(1)
	go func() {
		defer s.duties.Done()
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

// serve answers on the socket until ctx ends.
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

// Ready reports whether the instance is a voter and not stopping. It is not
// ready before it has once seen an owner for every worker group; a later lack
// of an owner concerns all instances and does not make this one useless.
func (s *Sched) Ready() bool {
	if s.draining.Load() {
		return false
	}
	if !s.sawOwners.Load() {
		if !s.GroupsOwned() {
			return false
		}
		s.sawOwners.Store(true)
	}
	for _, member := range s.view.current.Load().GetMembers() {
		if member.GetInstance() == s.config.Instance {
			return member.GetActive()
		}
	}
	return false
}

// Leave hands every group over and leaves the membership. It returns when
// that is done or ctx ends.
func (s *Sched) Leave(ctx context.Context) error {
	s.draining.Store(true)
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := s.events.Put(ctx, leaveRequested{}); err != nil {
		return err
	}
	select {
	case <-s.left:
		return nil
	case <-ctx.Done():
		return errors.New("the leave did not end in time")
	}
}

func (s *Sched) leaveDone() { s.leftOnce.Do(func() { close(s.left) }) }

// dialer returns a dial function with a time limit.
func dialer(limit time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return (&net.Dialer{Timeout: limit}).DialContext
}

// GroupsOwned reports whether every known group has an owner as far as this
// instance knows.
func (s *Sched) GroupsOwned() bool {
	groups := s.view.current.Load().GetGroups()
	for _, g := range groups {
		if g.GetOwner() == "" {
			return false
		}
	}
	return len(groups) > 0
}
