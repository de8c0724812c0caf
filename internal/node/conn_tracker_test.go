package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/telemetry"
)

// slowListener delays the reads of its connections, as in a process that gets no
// processor time for a while.
type slowListener struct {
	net.Listener
	delay *atomic.Int64
}

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &slowConn{conn, l.delay}, err
}

type slowConn struct {
	net.Conn
	delay *atomic.Int64
}

func (c *slowConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	time.Sleep(time.Duration(c.delay.Load()))
	return n, err
}

// startSlowServer runs an instance on a slowListener. It returns the address, the
// delay of reads, and a function that starts the drain of the instance.
func startSlowServer(t *testing.T) (address string, delay *atomic.Int64, beginDrain func()) {
	c := qt.New(t)
	tele := telemetry.New("rwnode", "a", io.Discard)
	t.Cleanup(tele.Close)
	config := DefaultConfig()
	workers := newInstantWorkers()
	n := New(config, Deps{
		Log: newMemoryLog().forInstance("a"), Manifests: &fixedManifest{version: 1}, Directory: workers, Workers: workers, Adviser: workers,
	}, tele)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	delay = &atomic.Int64{}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := n.serve(ctx, []endpoint{{slowListener{listener, delay}, handler}}); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { stop(); <-ended })
	return listener.Addr().String(), delay, stop
}

// Guards against a request that gets no response because a stopping instance
// closes the connection before it has read the request: the process got no
// processor time when the request arrived.
func TestDrainServesDelayedRequest(t *testing.T) {
	c := qt.New(t)
	address, delay, stop := startSlowServer(t)
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	send := func() (*http.Response, error) {
		if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return nil, err
		}
		return http.ReadResponse(reader, nil)
	}
	first, err := send()
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, first.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(first.Close, qt.IsFalse)

	stop()
	// The request arrives just before the instance starts to close idle
	// connections, and is read after that.
	time.Sleep(drainDelay - 100*time.Millisecond)
	delay.Store(int64(200 * time.Millisecond))
	last, err := send()
	c.Assert(err, qt.IsNil)
	c.Assert(last.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(last.Close, qt.IsTrue)
}
