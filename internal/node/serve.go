package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"redwingvale/internal/telemetry"
)

// headerTimeout limits the time to read a request's header.
const headerTimeout = 3 * time.Second

// Handlers are the platform's HTTP handlers that the instance serves.
type Handlers struct {
	Callers   http.Handler
	Readiness http.Handler
}

// endpoint is a listener and its handler.
type endpoint struct {
	listener net.Listener
	handler  http.Handler
}

// Serve listens and runs the instance until ctx ends, and then drains it: the
// instance hands leadership over, continues to serve open connections until the
// load balancer has detected that it is not ready, and returns when the last
// request has its response. Serve also returns when one of its listeners fails.
func (n *Node) Serve(ctx context.Context, handlers Handlers) error {
	var endpoints []endpoint
	listen := func(address string, handler http.Handler) error {
		listener, err := net.Listen("tcp", address)
		endpoints = append(endpoints, endpoint{listener, handler})
		return errors.Wrapf(err, "listen on %s", address)
	}
	if err := listen(n.config.CallersAddr, handlers.Callers); err != nil {
		return err
	}
	if err := listen(n.config.ReadinessAddr, handlers.Readiness); err != nil {
		return err
	}
	if err := listen(n.config.PeerAddr, n.PeerHandler()); err != nil {
		return err
	}
	if n.config.MetricsAddr != "" {
		if err := listen(n.config.MetricsAddr, n.tele.Handler(n.Ready)); err != nil {
			return err
		}
	}
	return n.serve(ctx, endpoints)
}

// serve serves the endpoints, of which the callers' must be the first.
func (n *Node) serve(ctx context.Context, endpoints []endpoint) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, runCtx := errgroup.WithContext(runCtx)
	var servers []*http.Server
	callers := newConnTracker()
	for i, e := range endpoints {
		server := &http.Server{Handler: e.handler, ReadHeaderTimeout: headerTimeout}
		if i == 0 {
			server.Handler, server.ConnState = n.closeAfterResponse(e.handler), callers.trackState
			server.BaseContext = func(net.Listener) context.Context { return n.requestsCtx }
		}
		servers = append(servers, server)
		group.Go(func() error {
			if err := server.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	group.Go(func() error { return n.Run(runCtx) })
	n.log("started")
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
		// The instance's goroutines have ended, so no request to the other
		// listeners could be handled.
		for _, server := range servers {
			server.Close()
		}
		return group.Wait()
	}
	n.drain(servers, callers)
	stop()
	err := group.Wait()
	n.log("stopped")
	return err
}

// Draining reports whether the instance is stopping.
func (n *Node) Draining() bool { return n.stopping.Load() }

func (n *Node) drain(servers []*http.Server, callers *connTracker) {
	start := time.Now()
	n.stopping.Store(true)
	n.log("draining")
	grace := time.Duration(n.config.Bounds.GraceS * float64(time.Second))
	n.requestsEndMS.Store(n.now().MS + milliseconds(max(grace-answerMargin, 0)))
	end := time.AfterFunc(grace-answerMargin, n.endRequests)
	defer end.Stop()
	for n.isLeader() && time.Since(start) < handOverTimeout {
		time.Sleep(tickInterval)
	}
	time.Sleep(drainDelay - min(time.Since(start), drainDelay))
	ctx, cancel := context.WithTimeout(context.Background(), max(grace-graceMargin-time.Since(start), graceMargin))
	defer cancel()
	callers.closeIdle(ctx)
	// The callers' server is the first in the list; the others are closed after
	// its last request.
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			n.tele.Log.Warn("shutdown_incomplete", telemetry.ErrorFields(err)...)
		}
	}
}
