package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleCheckInterval is the pause between checks of the open connections of
	// an instance that is stopping.
	idleCheckInterval = 20 * time.Millisecond
	// idleChecksToClose is how many successive checks must find a connection idle
	// before it is closed: a request may be in transit, or have arrived and not
	// been read yet. Checks are counted instead of time, because a process that
	// gets no processor time does not read requests either.
	idleChecksToClose = 15
)

// connTracker tracks the callers' connections of a server, so that a shutdown
// interrupts no request: http.Server.Shutdown closes an idle connection
// immediately, even if a request has just arrived on it.
type connTracker struct {
	mu sync.Mutex
	// idleChecks counts the checks since a connection became idle; it is -1 for
	// a connection with an active request.
	idleChecks map[net.Conn]int
}

func newConnTracker() *connTracker { return &connTracker{idleChecks: map[net.Conn]int{}} }

// trackState is the server's ConnState callback.
func (c *connTracker) trackState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.idleChecks[conn] = 0
	case http.StateActive:
		c.idleChecks[conn] = -1
	case http.StateHijacked, http.StateClosed:
		delete(c.idleChecks, conn)
	}
}

// closeIdle closes each connection once it has been idle for idleChecksToClose
// checks, until none is left or ctx ends.
func (c *connTracker) closeIdle(ctx context.Context) {
	for ctx.Err() == nil && c.closeIdleOnce() {
		pause(ctx, idleCheckInterval)
	}
}

// closeIdleOnce performs one check of all connections and reports whether any
// are left.
func (c *connTracker) closeIdleOnce() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, checks := range c.idleChecks {
		switch {
		case checks < 0:
		case checks < idleChecksToClose:
			c.idleChecks[conn]++
		default:
			conn.Close()
			delete(c.idleChecks, conn)
		}
	}
	return len(c.idleChecks) > 0
}

// closeAfterResponse adds "Connection: close" to the responses of a stopping
// instance, so that callers open their next connection to another instance.
func (n *Node) closeAfterResponse(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
