// Package entry is the HTTP server of rwentry: the callers' interface, the
// admission and routing of urgent requests, and the planned stop.
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

// The phases of an entry's life.
const (
	starting int32 = iota
	serving
	// draining: not ready, but requests are still carried out.
	draining
	// closing: new requests are refused; requests in flight end.
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
	views    *viewKeeper
	peers    *peerSet
	metrics  *metrics

	faults    faults
	inFlight  atomic.Int64
	bodyBytes atomic.Int64
	submits   atomic.Int64
	// renewals numbers the renewals of grants.
	renewals   atomic.Uint64
	background sync.WaitGroup
	callers    *http.Server
	peerServer *http.Server
	listener   net.Listener
	peerListen net.Listener
	// halted ends when a planned stop is complete.
	halted      context.Context
	halt        context.CancelFunc
	drainedOnce sync.Once
	drained     chan struct{}
}

// faults switches mechanisms off, for tests that show that a check notices.
type faults struct {
	retryAlways bool
	ignoreKeys  bool
}

// New returns an entry that listens but does not serve yet. Errors:
// code.BadSettings for settings that cannot be used, else why an address
// cannot be listened on.
func New(config Config, deps Deps) (*Entry, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	e := &Entry{config: config, deps: deps, start: time.Now(), drained: make(chan struct{})}
	e.halted, e.halt = context.WithCancel(context.Background())
	e.metrics = newMetrics(deps.Scope)
	e.peers = newPeerSet(e.departedKeep(), e.now)
	e.pool = connpool.New(e.poolSettings(), e.targetEvent)
	e.dispatch = newDispatcher(e.newRouter(), e.now, config)
	e.keys = dedupe.NewService(e.keySettings(), e.keyTiming(), e.peers.client)
	e.views = newViewKeeper(e)
	if err := e.listen(); err != nil {
		return nil, err
	}
	return e, nil
}

// now is the monotonic time since the start of the process.
func (e *Entry) now() time.Duration { return time.Since(e.start) }

func (e *Entry) seed() uint64 {
	if e.config.Seed != 0 {
		return e.config.Seed
	}
	return e.config.Incarnation
}

// plainWant is the number of slots that the baseline wants of each worker.
const plainWant = 8

// newRouter returns the grant book, or the baseline for a comparison.
func (e *Entry) newRouter() route.Router {
	if e.config.Plain {
		return roundrobin.New(plainWant)
	}
	return route.NewBook(route.Settings{
		DataCentre:   spec.DataCentre(e.config.DataCentre),
		Instance:     spec.InstanceID(e.config.Instance),
		Seed:         e.seed(),
		ClockRatePPM: int64(e.config.ClockRatePPM),
		IdleSlots:    e.config.IdleSlots,
		MaxSlots:     plainWant,
	})
}

// idleClose is the time after which an unused connection to a target is closed.
const idleClose = 60 * time.Second

func (e *Entry) poolSettings() connpool.Settings {
	fresh := ms(e.config.FreshMS)
	if e.config.Plain {
		fresh = idleClose
	}
	return connpool.Settings{
		DialTimeout:   ms(e.config.DialTimeoutMS),
		ProbeInterval: ms(e.config.ProbeIntervalMS),
		ProbeTimeout:  ms(e.config.ProbeTimeoutMS),
		Fresh:         fresh,
		IdleClose:     idleClose,
		HealthPath:    e.config.HealthPath,
		Seed:          e.seed(),
	}
}

// maxKeyWaiters bounds the requests that wait for one idempotency key.
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

// departedKeep is how long an entry that has left may be asked about keys: no
// key outlives the retention, and no change of a home matters for longer than
// the takeover window; the clock guard covers keys made just after the change.
func (e *Entry) departedKeep() time.Duration {
	return ms(max(e.config.KeyRetentionMS, e.config.KeyTakeoverMS) + e.config.KeyClockGuardMS)
}

func (e *Entry) keyTiming() dedupe.Timing {
	return dedupe.Timing{Now: e.now, Wall: time.Now, CallTimeout: ms(e.config.KeyHomeTimeoutMS)}
}

func (e *Entry) listen() error {
	var err error
	e.listener, err = net.Listen("tcp", e.config.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	e.peerListen, err = net.Listen("tcp", e.config.PeerListen)
	if err != nil {
		_ = e.listener.Close()
		return errors.Wrap(err, "listen for entries")
	}
	e.callers = e.newCallerServer()
	e.peerServer = e.newPeerServer()
	return nil
}

// Addr returns the host:port for callers.
func (e *Entry) Addr() string { return e.listener.Addr().String() }

// PeerAddr returns the host:port for other entries.
func (e *Entry) PeerAddr() string { return e.peerListen.Addr().String() }

// Ready reports whether the balancer may send callers here. It is false while
// the instance is no active member, for example after its rwsched has left, and
// before it knows the services.
func (e *Entry) Ready() bool { return e.phase.Load() == serving && e.views.active() }

// Run serves until ctx ends or Drain has returned. At the end of ctx it stops
// at once; a planned stop calls Drain first.
func (e *Entry) Run(ctx context.Context) error {
	duties, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(e.halted, stop)()
	group, running := errgroup.WithContext(duties)
	group.Go(func() error { return serve(e.callers, e.listener) })
	group.Go(func() error { return serve(e.peerServer, e.peerListen) })
	e.duty(group, running, e.views.run)
	e.duty(group, running, e.pool.Run)
	e.duty(group, running, e.tick)
	e.duty(group, running, e.followPressure)
	e.phase.CompareAndSwap(starting, serving)
	e.deps.Log.Info("entry started",
		zap.String("instance", e.config.Instance), zap.String("listen", e.Addr()))
	<-running.Done()
	_ = e.callers.Close()
	_ = e.peerServer.Close()
	err := group.Wait()
	e.pool.Close()
	e.peers.close()
	return err
}

func (e *Entry) duty(group *errgroup.Group, ctx context.Context, run func(context.Context)) {
	group.Go(func() error {
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

// The periods of the tick duty.
const (
	tickPeriod     = 10 * time.Millisecond
	limitEvery     = 10
	forgetKeyEvery = 100
)

// tick lets time pass for the queues, the connection limits and the keys.
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
		if n%limitEvery == 0 {
			e.views.applyLimits()
		}
		if n%forgetKeyEvery == 0 {
			e.keys.Tick()
		}
	}
}

// targetEvent passes what the pool found out on to the router.
func (e *Entry) targetEvent(id spec.WorkerID, event connpool.Event) {
	signs := map[connpool.Event]route.Sign{
		connpool.DialsFailing: route.DialsFail,
		connpool.DialsWorking: route.DialsWork,
		connpool.Stopping:     route.DrainNotice,
	}
	e.deps.Log.Info("target event", zap.String("worker", string(id)), zap.Uint8("event", uint8(event)))
	e.dispatch.sign(id, signs[event])
}

// newPeerServer returns the server for other entries.
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
