package connpool

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
	"redwingvale/internal/spec"
)

// pathServer responds to each request with its path after the delay in its
// query.
type pathServer struct {
	net.Listener
	open, peak atomic.Int64
}

func newPathServer(t *testing.T) *pathServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &pathServer{Listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *pathServer) serve(conn net.Conn) {
	open := s.open.Add(1)
	for peak := s.peak.Load(); open > peak && !s.peak.CompareAndSwap(peak, open); peak = s.peak.Load() {
	}
	defer func() {
		s.open.Add(-1)
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		delay, _ := time.ParseDuration(r.URL.RawQuery)
		time.Sleep(delay)
		length := len(r.URL.Path)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length)
		if r.Method != http.MethodHead {
			_, _ = io.WriteString(conn, r.URL.Path)
		}
	}
}

type eventRecorder struct {
	mu   sync.Mutex
	seen []Event
}

func (e *eventRecorder) add(_ spec.WorkerID, event Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = append(e.seen, event)
}

func (e *eventRecorder) count(event Event) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, s := range e.seen {
		if s == event {
			n++
		}
	}
	return n
}

func newPool(t *testing.T, dial func(context.Context, string) (net.Conn, error)) (*Pool, *eventRecorder) {
	seen := &eventRecorder{}
	p := New(Settings{
		DialTimeout: 50 * time.Millisecond, ProbeInterval: 80 * time.Millisecond, ProbeTimeout: 50 * time.Millisecond,
		Fresh: 40 * time.Millisecond, IdleClose: time.Minute, HealthPath: "/healthz", Seed: 1, Dial: dial,
	}, seen.add)
	ctx, stop := context.WithCancel(context.Background())
	go p.Run(ctx)
	t.Cleanup(func() {
		stop()
		p.Close()
	})
	return p, seen
}

func get(p *Pool, addr, path, query string, limit time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	resp, err := p.Do(ctx, "w", addr, &Request{Method: "POST", URL: url.URL{Path: path, RawQuery: query}, Header: http.Header{}})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against more connections than granted, and against a response that is
// returned for another request, when responses come after the time limit (P4).
func TestLateResponsesAndLimit(t *testing.T) {
	c := qt.New(t)
	s := newPathServer(t)
	p, _ := newPool(t, nil)
	addr := s.Addr().String()
	p.SetLimit("w", addr, 4)
	var all sync.WaitGroup
	for i := range 12 {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := range 40 {
				path := fmt.Sprintf("/%d-%d", i, n)
				query := ""
				if n%5 == 0 {
					query = "30ms"
				}
				body, err := get(p, addr, path, query, 20*time.Millisecond)
				if err == nil {
					c.Check(body, qt.Equals, path)
				}
				c.Check(p.OpenConnections("w") <= 4, qt.IsTrue)
			}
		}()
	}
	all.Wait()
	// The server detects a closed connection only after its delay.
	c.Assert(s.peak.Load() <= 4+12, qt.IsTrue, qt.Commentf("%d connections", s.peak.Load()))
	p.SetLimit("w", addr, 0)
	_, err := get(p, addr, "/x", "", 200*time.Millisecond)
	c.Assert(err.(*Failure).Kind, qt.Equals, NoConnection)
	c.Assert(err.(*Failure).Outcome(), qt.Equals, code.NotRun)
}

// Guards against an unresponsive target that is dialled without back-off, is not
// reported, or is not used again after it has recovered.
func TestBlackHole(t *testing.T) {
	c := qt.New(t)
	s := newPathServer(t)
	var blackHole atomic.Bool
	var dials atomic.Int64
	blackHole.Store(true)
	p, seen := newPool(t, func(ctx context.Context, addr string) (net.Conn, error) {
		dials.Add(1)
		if blackHole.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return dialTCP(ctx, addr)
	})
	addr := s.Addr().String()
	p.SetLimit("w", addr, 2)
	tries := 0
	for seen.count(DialsFailing) == 0 && tries < 2000 {
		tries++
		_, err := get(p, addr, "/x", "", time.Second)
		c.Assert(err.(*Failure).Kind, qt.Equals, DialFailed)
		c.Assert(err.(*Failure).Outcome(), qt.Equals, code.NotRun)
		time.Sleep(time.Millisecond)
	}
	c.Assert(seen.count(DialsFailing), qt.Equals, 1)
	c.Assert(dials.Load() <= int64(tries/2+3), qt.IsTrue, qt.Commentf("%d dials in %d tries", dials.Load(), tries))
	blackHole.Store(false)
	for range 1000 {
		if seen.count(DialsRecovered) > 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Assert(seen.count(DialsRecovered), qt.Equals, 1)
	body, err := get(p, addr, "/x", "", time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "/x")
}
