package standin

import (
	"net"
	"net/http"
	"sync"
)

// connTracker tracks the open connections of a target, so that the target can
// stop responding on the currently open ones while new ones work.
type connTracker struct {
	// onExceeded is called with the number of open connections when that number
	// exceeds limit.
	onExceeded func(open int)
	limit      int

	mu    sync.Mutex
	open  map[string]bool
	muted map[string]bool
}

func newConnTracker(limit int, onExceeded func(open int)) *connTracker {
	return &connTracker{
		onExceeded: onExceeded,
		limit:      limit,
		open:       make(map[string]bool),
		muted:      make(map[string]bool),
	}
}

// track is the ConnState hook of an http.Server.
func (c *connTracker) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	address := conn.RemoteAddr().String()
	switch state {
	case http.StateNew:
		c.open[address] = true
		if len(c.open) > c.limit {
			c.onExceeded(len(c.open))
		}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, address)
		delete(c.muted, address)
	}
}

// muteOpen mutes every connection that is currently open.
func (c *connTracker) muteOpen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address := range c.open {
		c.muted[address] = true
	}
}

func (c *connTracker) isMuted(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.muted[address]
}
