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

// lateReads delays what arrives on a connection, like a process that gets no
// processor for a while.
type lateReads struct {
	net.Listener
	delay *atomic.Int64
}

func (l lateReads) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &lateConn{conn, l.delay}, err
}

type lateConn struct {
	net.Conn
	delay *atomic.Int64
}

func (c *lateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	time.Sleep(time.Duration(c.delay.Load()))
	return n, err
}

// startClosing serves on a socket whose reads are late, and returns the address, the
// delay, and what begins the closing of the callers' connections.
func startClosing(t *testing.T) (address string, delay *atomic.Int64, closeAll func()) {
	c := qt.New(t)
	tele := telemetry.New("rwnode", "a", io.Discard)
	t.Cleanup(tele.Close)
	config := DefaultConfig()
	workers := newInstantWorkers()
	n := New(config, Deps{
		Log: newMemoryLog().of("a"), Operators: &fixedManifest{version: 1}, Directory: workers, Workers: workers, Adviser: workers,
	}, tele)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	delay = &atomic.Int64{}
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := n.serve(ctx, []endpoint{{lateReads{socket, delay}, answer}}); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { stop(); <-ended })
	return socket.Addr().String(), delay, stop
}

// Guards against a request that is read by nobody because the instance closes
// its open connection while it stops: the process had no processor when the
// request arrived.
func TestStopAnswersARequestThatIsReadLate(t *testing.T) {
	c := qt.New(t)
	address, delay, stop := startClosing(t)
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	ask := func() (*http.Response, error) {
		if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return nil, err
		}
		return http.ReadResponse(reader, nil)
	}
	first, err := ask()
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, first.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(first.Close, qt.IsFalse)

	stop()
	// The request arrives just before the instance closes what is idle, and is
	// read after that.
	time.Sleep(drainTime - 100*time.Millisecond)
	delay.Store(int64(200 * time.Millisecond))
	last, err := ask()
	c.Assert(err, qt.IsNil)
	c.Assert(last.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(last.Close, qt.IsTrue)
}
