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

// headerTimeout bounds the time for a request's header.
const headerTimeout = 3 * time.Second

// Handlers are what the instance serves.
type Handlers struct {
	Callers   http.Handler
	Readiness http.Handler
}

// endpoint is a socket and what answers there.
type endpoint struct {
	socket  net.Listener
	handler http.Handler
}

// Serve listens, works until ctx ends, and then drains: it hands its term
// over, goes on answering on open connections until the balancer has noticed,
// and ends when the last request is answered. It also ends when one of its
// sockets fails.
func (n *Node) Serve(ctx context.Context, handlers Handlers) error {
	var endpoints []endpoint
	listen := func(address string, handler http.Handler) error {
		socket, err := net.Listen("tcp", address)
		endpoints = append(endpoints, endpoint{socket, handler})
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

// serve answers on the endpoints, of which the callers' comes first.
func (n *Node) serve(ctx context.Context, endpoints []endpoint) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, running := errgroup.WithContext(running)
	var servers []*http.Server
	callers := newConnections()
	for i, e := range endpoints {
		server := &http.Server{Handler: e.handler, ReadHeaderTimeout: headerTimeout}
		if i == 0 {
			server.Handler, server.ConnState = n.closeAfterAnswer(e.handler), callers.follow
		}
		servers = append(servers, server)
		group.Go(func() error {
			if err := server.Serve(e.socket); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	group.Go(func() error { return n.Run(running) })
	n.log("started")
	select {
	case <-ctx.Done():
	case <-running.Done():
		// The duties have ended, so nothing could answer the other sockets.
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

func (n *Node) drain(servers []*http.Server, callers *connections) {
	begun := time.Now()
	n.stopping.Store(true)
	n.log("draining")
	for n.leading() && time.Since(begun) < handOverTime {
		time.Sleep(tickInterval)
	}
	time.Sleep(drainTime - min(time.Since(begun), drainTime))
	grace := time.Duration(n.config.Bounds.GraceS*float64(time.Second)) - graceMargin
	ctx, cancel := context.WithTimeout(context.Background(), max(grace-time.Since(begun), graceMargin))
	defer cancel()
	callers.closeQuiet(ctx)
	// The callers' server comes first in the list; the others are closed after
	// its last request.
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			n.tele.Log.Warn("shutdown_incomplete", telemetry.ErrorFields(err)...)
		}
	}
}
