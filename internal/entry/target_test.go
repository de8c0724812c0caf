package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// The behaviours of a fake target.
const (
	modeRespond int32 = iota
	modeUnresponsive
	modeReset
	modeHalfClose
	modeCut
	modeCutStream
	modeNotRun
	modeNoLength
)

// fakeTarget is an HTTP/1.1 target that records which request ids ran and how
// many ran concurrently.
type fakeTarget struct {
	listener net.Listener
	mode     atomic.Int32
	delay    atomic.Int64
	// exponential is set if the delays are exponentially distributed; they are
	// derived from the id of the request.
	exponential   atomic.Bool
	longBodyBytes atomic.Int64
	running       atomic.Int64
	peak          atomic.Int64
	probes        atomic.Int64
	unhealthy     atomic.Bool

	mu    sync.Mutex
	runs  map[string]int
	conns map[net.Conn]*atomic.Bool
}

func newFakeTarget(tb testing.TB) *fakeTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	t := &fakeTarget{listener: listener, runs: map[string]int{}, conns: map[net.Conn]*atomic.Bool{}}
	go t.accept()
	tb.Cleanup(t.close)
	return t
}

func (t *fakeTarget) addr() string { return t.listener.Addr().String() }

func (t *fakeTarget) close() {
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		_ = c.Close()
	}
}

func (t *fakeTarget) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		stalled := &atomic.Bool{}
		t.mu.Lock()
		t.conns[c] = stalled
		t.mu.Unlock()
		go t.serve(c, stalled)
	}
}

// stallHalf makes every second open connection permanently unresponsive.
func (t *fakeTarget) stallHalf() {
	t.mu.Lock()
	defer t.mu.Unlock()
	half := false
	for _, stalled := range t.conns {
		half = !half
		if half {
			stalled.Store(true)
		}
	}
}

func (t *fakeTarget) openConnections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

func (t *fakeTarget) runCount(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

func (t *fakeTarget) serve(c net.Conn, stalled *atomic.Bool) {
	defer func() {
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		if stalled.Load() {
			_, _ = io.Copy(io.Discard, reader)
			return
		}
		if r.Method == http.MethodHead && r.URL.Path == "/healthz" {
			t.probes.Add(1)
			status := "200 OK"
			if t.unhealthy.Load() {
				status = "503 Service Unavailable"
			}
			fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status)
			continue
		}
		if !t.respond(c, reader, r, body) {
			return
		}
	}
}

// respond handles one request. It returns false if the connection is to be
// closed.
func (t *fakeTarget) respond(c net.Conn, reader io.Reader, r *http.Request, body []byte) bool {
	id := r.Header.Get("X-Id")
	mode := t.mode.Load()
	if mode == modeNotRun {
		fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nRedwingvale-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	t.mu.Lock()
	t.runs[id]++
	t.mu.Unlock()
	now := t.running.Add(1)
	defer t.running.Add(-1)
	for peak := t.peak.Load(); now > peak && !t.peak.CompareAndSwap(peak, now); peak = t.peak.Load() {
	}
	if delay := t.serviceTime(id); delay > 0 {
		time.Sleep(delay)
	}
	text := id + " " + r.Method + " " + r.URL.RequestURI() + " " + string(body)
	switch mode {
	case modeUnresponsive:
		_, _ = io.Copy(io.Discard, reader)
		return false
	case modeReset:
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case modeHalfClose:
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, reader)
		return false
	case modeCut:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text)+10, text)
		return false
	case modeCutStream:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 10<<20, strings.Repeat("x", 1<<20))
		return false
	case modeNoLength:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", text)
		return false
	}
	if n := t.longBodyBytes.Load(); n > 0 {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", n)
		_, _ = io.Copy(c, io.LimitReader(zeros{}, n))
		return true
	}
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Target: "+t.addr()+"\r\nContent-Length: "+strconv.Itoa(len(text))+"\r\n\r\n"+text)
	return err == nil
}

// serviceTime returns the service time of a request. The configured delay is
// its mean if it is exponentially distributed.
func (t *fakeTarget) serviceTime(id string) time.Duration {
	mean := time.Duration(t.delay.Load())
	if !t.exponential.Load() {
		return mean
	}
	return time.Duration(float64(mean) * exponentialDraw(id))
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
