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

// server answers each request with its path after the delay in its query.
type server struct {
	net.Listener
	open, peak atomic.Int64
}

func newServer(t *testing.T) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{Listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *server) serve(c net.Conn) {
	now := s.open.Add(1)
	for peak := s.peak.Load(); now > peak && !s.peak.CompareAndSwap(peak, now); peak = s.peak.Load() {
	}
	defer func() {
		s.open.Add(-1)
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		delay, _ := time.ParseDuration(r.URL.RawQuery)
		time.Sleep(delay)
		length := len(r.URL.Path)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length)
		if r.Method != http.MethodHead {
			_, _ = io.WriteString(c, r.URL.Path)
		}
	}
}

type events struct {
	mu   sync.Mutex
	seen []Event
}

func (e *events) add(_ spec.WorkerID, event Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = append(e.seen, event)
}

func (e *events) count(event Event) int {
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

func newPool(t *testing.T, dial func(context.Context, string) (net.Conn, error)) (*Pool, *events) {
	seen := &events{}
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

// Guards against connections beyond the grant, and against an answer that
// reaches another request, when answers come late (P4).
func TestLateAnswersAndLimit(t *testing.T) {
	c := qt.New(t)
	s := newServer(t)
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
				c.Check(p.Open("w") <= 4, qt.IsTrue)
			}
		}()
	}
	all.Wait()
	// The server sees the end of a closed connection after its delay.
	c.Assert(s.peak.Load() <= 4+12, qt.IsTrue, qt.Commentf("%d connections", s.peak.Load()))
	p.SetLimit("w", addr, 0)
	_, err := get(p, addr, "/x", "", 200*time.Millisecond)
	c.Assert(err.(*Failure).Kind, qt.Equals, NoConnection)
	c.Assert(err.(*Failure).Outcome(), qt.Equals, code.NotRun)
}

// Guards against a black hole that is dialled again and again, is not
// reported, or is not found again after it has gone.
func TestBlackHole(t *testing.T) {
	c := qt.New(t)
	s := newServer(t)
	var hole atomic.Bool
	var dials atomic.Int64
	hole.Store(true)
	p, seen := newPool(t, func(ctx context.Context, addr string) (net.Conn, error) {
		dials.Add(1)
		if hole.Load() {
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
	hole.Store(false)
	for range 1000 {
		if seen.count(DialsWorking) > 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Assert(seen.count(DialsWorking), qt.Equals, 1)
	body, err := get(p, addr, "/x", "", time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "/x")
}
