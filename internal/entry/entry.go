// Package entry implements the HTTP server of rwentry: the callers' API, the
// admission and routing of urgent requests, and the graceful shutdown.
package entry

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

	"redwingvale/internal/connpool"
	"redwingvale/internal/dedupe"
	"redwingvale/internal/gen/redwingvale/entry/v1/entryv1connect"
	"redwingvale/internal/route"
	"redwingvale/internal/route/roundrobin"
	"redwingvale/internal/spec"
)

// The lifecycle phases of an entry.
const (
	starting int32 = iota
	serving
	// draining: readiness is withdrawn, but new requests are still accepted.
	draining
	// closing: new requests are rejected; requests in flight are completed.
	closing
)

// Entry is one entry process.
type Entry struct {
	config Config
	deps   Deps
	start  time.Time
	phase  atomic.Int32

	dispatch *dispatcher
	pool     *connpool.Pool
	keys     *dedupe.Service
	views    *viewWatcher
	peers    *peerSet
	metrics  *metrics

	mutations       mutations
	inFlight        atomic.Int64
	bodyBytes       atomic.Int64
	submitsInFlight atomic.Int64
	// renewalSeq is the sequence number of the last grant renewal.
	renewalSeq     atomic.Uint64
	background     sync.WaitGroup
	callerServer   *http.Server
	peerServer     *http.Server
	callerListener net.Listener
	peerListener   net.Listener
	// halted is cancelled when the drain is complete.
	halted    context.Context
	halt      context.CancelFunc
	drainOnce sync.Once
	drained   chan struct{}
}

// mutations switches off single mechanisms. Tests use it to show that their
// checks detect the fault.
type mutations struct {
	alwaysRetry bool
	ignoreKeys  bool
}

// New returns an entry that listens but does not serve yet. It returns
// code.BadSettings for invalid settings, or the error of a listener that cannot
// be opened.
func New(config Config, deps Deps) (*Entry, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	e := &Entry{config: config, deps: deps, start: time.Now(), drained: make(chan struct{})}
	e.halted, e.halt = context.WithCancel(context.Background())
	e.metrics = newMetrics(deps.Scope)
	e.peers = newPeerSet(e.departedRetention(), e.now)
	e.pool = connpool.New(e.poolSettings(), e.onTargetEvent)
	e.dispatch = newDispatcher(e.newRouter(), e.now, config)
	e.keys = dedupe.NewService(e.keySettings(), e.keyTiming(), e.peers.client)
	e.views = newViewWatcher(e)
	if err := e.listen(); err != nil {
		return nil, err
	}
	return e, nil
}

// now returns the monotonic time since the entry was created.
func (e *Entry) now() time.Duration { return time.Since(e.start) }

func (e *Entry) seed() uint64 {
	if e.config.Seed != 0 {
		return e.config.Seed
	}
	return e.config.Incarnation
}

// maxSlotsPerWorker is the number of slots that the baseline requests on each
// worker, and the most that the two-choice router requests.
const maxSlotsPerWorker = 8

// newRouter returns the two-choice router, or the round-robin baseline for
// comparisons.
func (e *Entry) newRouter() route.Router {
	if e.config.Baseline {
		return roundrobin.New(maxSlotsPerWorker)
	}
	return route.NewTwoChoiceRouter(route.Settings{
		DataCentre:   spec.DataCentre(e.config.DataCentre),
		Instance:     spec.InstanceID(e.config.Instance),
		Seed:         e.seed(),
		ClockRatePPM: int64(e.config.ClockRatePPM),
		IdleSlots:    e.config.IdleSlots,
		MaxSlots:     maxSlotsPerWorker,
	})
}

// idleConnTimeout is the time after which an unused connection to a target is
// closed.
const idleConnTimeout = 60 * time.Second

func (e *Entry) poolSettings() connpool.Settings {
	fresh := ms(e.config.FreshMS)
	if e.config.Baseline {
		fresh = idleConnTimeout
	}
	return connpool.Settings{
		DialTimeout:   ms(e.config.DialTimeoutMS),
		ProbeInterval: ms(e.config.ProbeIntervalMS),
		ProbeTimeout:  ms(e.config.ProbeTimeoutMS),
		Fresh:         fresh,
		IdleClose:     idleConnTimeout,
		HealthPath:    e.config.HealthPath,
		Seed:          e.seed(),
	}
}

// maxKeyWaiters limits the requests that wait for one idempotency key.
const maxKeyWaiters = 64

func (e *Entry) self() dedupe.Member {
	return dedupe.Member{
		Instance:    spec.InstanceID(e.config.Instance),
		Incarnation: spec.Incarnation(e.config.Incarnation),
	}
}

func (e *Entry) keySettings() dedupe.Settings {
	return dedupe.Settings{
		Self:           e.self(),
		ClockRatePPM:   int64(e.config.ClockRatePPM),
		Retention:      ms(e.config.KeyRetentionMS),
		TakeoverWindow: ms(e.config.KeyTakeoverMS),
		MaxClockSkew:   ms(e.config.KeyClockGuardMS),
		MaxKeys:        e.config.MaxKeys,
		MaxBytes:       e.config.MaxKeyBytes,
		MaxAnswer:      e.config.MaxAnswerBuffer,
		MaxWaiters:     maxKeyWaiters,
	}
}

// departedRetention returns how long a departed entry can still be queried
// about keys. No key is kept longer than the retention, and a change of a key's
// home is relevant for at most the takeover window. The maximum clock skew is
// added for keys that were created just after the change.
func (e *Entry) departedRetention() time.Duration {
	return ms(max(e.config.KeyRetentionMS, e.config.KeyTakeoverMS) + e.config.KeyClockGuardMS)
}

func (e *Entry) keyTiming() dedupe.Timing {
	return dedupe.Timing{Now: e.now, Wall: time.Now, CallTimeout: ms(e.config.KeyHomeTimeoutMS)}
}

func (e *Entry) listen() error {
	var err error
	e.callerListener, err = net.Listen("tcp", e.config.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	e.peerListener, err = net.Listen("tcp", e.config.PeerListen)
	if err != nil {
		_ = e.callerListener.Close()
		return errors.Wrap(err, "listen for peer entries")
	}
	e.callerServer = e.newCallerServer()
	e.peerServer = e.newPeerServer()
	return nil
}

// Addr returns the host:port that serves callers.
func (e *Entry) Addr() string { return e.callerListener.Addr().String() }

// PeerAddr returns the host:port that serves other entries.
func (e *Entry) PeerAddr() string { return e.peerListener.Addr().String() }

// Ready reports whether the load balancer may route callers to this entry. It
// is false until the services are known and while the instance is not an active
// member, for example after its rwsched has left.
func (e *Entry) Ready() bool { return e.phase.Load() == serving && e.views.active() }

// Run serves until ctx is cancelled or Drain has completed. Cancelling ctx
// stops it immediately; call Drain first for a graceful shutdown.
func (e *Entry) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(e.halted, stop)()
	loops, groupCtx := errgroup.WithContext(runCtx)
	loops.Go(func() error { return serve(e.callerServer, e.callerListener) })
	loops.Go(func() error { return serve(e.peerServer, e.peerListener) })
	e.startLoop(loops, groupCtx, e.views.run)
	e.startLoop(loops, groupCtx, e.pool.Run)
	e.startLoop(loops, groupCtx, e.tick)
	e.startLoop(loops, groupCtx, e.renewUnderLoad)
	e.phase.CompareAndSwap(starting, serving)
	e.deps.Log.Info("entry started",
		zap.String("instance", e.config.Instance), zap.String("listen", e.Addr()))
	<-groupCtx.Done()
	_ = e.callerServer.Close()
	_ = e.peerServer.Close()
	err := loops.Wait()
	e.pool.Close()
	e.peers.close()
	return err
}

func (e *Entry) startLoop(loops *errgroup.Group, ctx context.Context, run func(context.Context)) {
	loops.Go(func() error {
		run(ctx)
		return nil
	})
}

func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// The intervals of the tick loop.
const (
	tickPeriod          = 10 * time.Millisecond
	ticksPerLimitUpdate = 10
	ticksPerKeyExpiry   = 100
)

// tick periodically processes the queues, updates the connection limits and
// expires idempotency keys.
func (e *Entry) tick(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.dispatch.tick()
		if n%ticksPerLimitUpdate == 0 {
			e.views.applyLimits()
		}
		if n%ticksPerKeyExpiry == 0 {
			e.keys.Tick()
		}
	}
}

// onTargetEvent reports an event of the connection pool to the router.
func (e *Entry) onTargetEvent(id spec.WorkerID, event connpool.Event) {
	signals := map[connpool.Event]route.Signal{
		connpool.DialsFailing:   route.DialsFailing,
		connpool.DialsRecovered: route.DialsRecovered,
		connpool.Stopping:       route.DrainNotice,
	}
	e.deps.Log.Info("target event", zap.String("worker", string(id)), zap.Uint8("event", uint8(event)))
	e.dispatch.applySignal(id, signals[event])
}

// newPeerServer returns the HTTP server for other entries.
func (e *Entry) newPeerServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(entryv1connect.NewEntryServiceHandler(&peerHandler{Service: e.keys, entry: e}))
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: ms(e.config.ReadHeaderTimeoutMS),
		IdleTimeout:       ms(e.config.IdleTimeoutMS),
		MaxHeaderBytes:    e.config.MaxHeaderBytes,
	}
}
