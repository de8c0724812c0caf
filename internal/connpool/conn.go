package connpool

import (
	"net"
	"sync/atomic"
)

// countingConn records whether anything was written to a connection and
// whether the connection has ended.
type countingConn struct {
	net.Conn
	// writes counts attempts: an attempt that failed may have sent a part.
	writes atomic.Int64
	ended  atomic.Bool
	onEnd  func()
}

// Write counts the attempt before it is made.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// Read notes the end of the connection.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.end()
	}
	return n, err
}

// Close closes the connection and notes its end once.
func (c *countingConn) Close() error {
	err := c.Conn.Close()
	c.end()
	return err
}

func (c *countingConn) end() {
	if c.ended.CompareAndSwap(false, true) {
		c.onEnd()
	}
}
