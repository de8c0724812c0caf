package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// closeTick is the pause between looks at the open connections of an
	// instance that stops.
	closeTick = 20 * time.Millisecond
	// quietTicks in a row without a request close a connection: a request may be
	// on its way, or have arrived and not been read yet. Ticks count, not time,
	// because a process that gets no processor reads nothing either.
	quietTicks = 15
)

// connections follows the callers' connections of a server, so that a stop cuts
// no request: http.Server.Shutdown closes an idle connection at once, also when
// a request has just arrived there.
type connections struct {
	mu sync.Mutex
	// quiet counts the looks since a connection became idle; busy ones have -1.
	quiet map[net.Conn]int
}

func newConnections() *connections { return &connections{quiet: map[net.Conn]int{}} }

// follow is the ConnState of the server.
func (c *connections) follow(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.quiet[conn] = 0
	case http.StateActive:
		c.quiet[conn] = -1
	case http.StateHijacked, http.StateClosed:
		delete(c.quiet, conn)
	}
}

// closeQuiet closes each connection once it has been quiet, until none is left
// or ctx ends.
func (c *connections) closeQuiet(ctx context.Context) {
	for ctx.Err() == nil && c.look() {
		pause(ctx, closeTick)
	}
}

// look closes what has been quiet and reports whether connections are left.
func (c *connections) look() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, ticks := range c.quiet {
		switch {
		case ticks < 0:
		case ticks < quietTicks:
			c.quiet[conn]++
		default:
			conn.Close()
			delete(c.quiet, conn)
		}
	}
	return len(c.quiet) > 0
}

// closeAfterAnswer asks callers of a stopping instance to open their next
// connection elsewhere.
func (n *Node) closeAfterAnswer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
