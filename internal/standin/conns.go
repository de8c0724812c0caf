package standin

import (
	"net"
	"net/http"
	"sync"
)

// connTracker knows the open connections of a target, so that it can let all
// that are open now go silent while new ones work.
type connTracker struct {
	mu    sync.Mutex
	open  map[string]bool
	muted map[string]bool
}

func newConnTracker() *connTracker {
	return &connTracker{open: make(map[string]bool), muted: make(map[string]bool)}
}

// track is an http.Server ConnState hook.
func (c *connTracker) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	address := conn.RemoteAddr().String()
	switch state {
	case http.StateNew:
		c.open[address] = true
	case http.StateClosed, http.StateHijacked:
		delete(c.open, address)
		delete(c.muted, address)
	}
}

// silence mutes every connection that is open now.
func (c *connTracker) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address := range c.open {
		c.muted[address] = true
	}
}

func (c *connTracker) silent(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.muted[address]
}

func (c *connTracker) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}
