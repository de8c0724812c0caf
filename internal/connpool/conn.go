package connpool

import (
	"net"
	"sync/atomic"
)

// trackedConn records whether anything was written to a connection and whether
// the connection has ended.
type trackedConn struct {
	net.Conn
	// writeAttempts includes failed writes, which may have sent a part.
	writeAttempts atomic.Int64
	// closed is set by Close and by a failed Read.
	closed  atomic.Bool
	onClose func()
}

// Write counts the attempt before it writes.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.writeAttempts.Add(1)
	return c.Conn.Write(p)
}

// Read marks the connection as closed after an error.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.markClosed()
	}
	return n, err
}

// Close closes the connection and marks it as closed.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.markClosed()
	return err
}

func (c *trackedConn) markClosed() {
	if c.closed.CompareAndSwap(false, true) {
		c.onClose()
	}
}
