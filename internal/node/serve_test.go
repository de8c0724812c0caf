package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
	"redwingvale/internal/jobs"
	"redwingvale/internal/telemetry"
)

// Guards against requests that a stopping instance leaves without an answer: at the end
// of its grace time it answers all, those that may have reached the leader with an
// unknown outcome and the others as not run.
func TestStoppingInstanceAnswersAllRequests(t *testing.T) {
	c := qt.New(t)
	tele := telemetry.New("rwnode", "a", io.Discard)
	t.Cleanup(tele.Close)
	workers := newInstantWorkers()
	config := DefaultConfig()
	config.Bounds.GraceS = 4
	log := newMemoryLog()
	log.setUnavailable("a", true)
	n := New(config, Deps{Log: log.forInstance("a"), Manifests: &fixedManifest{version: 1}, Directory: workers, Workers: workers, Adviser: workers}, tele)
	silent := newSilentProxy(t, func() string { return "" })
	silent.silent.Store(100)
	leaders := map[string]*leaderInfo{"/none": nil, "/silent": {epoch: 1, peer: silent.listener.Addr().String()}}
	callers := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// One of the requests finds no leader.
		n.leader.Store(leaders[r.URL.Path])
		ctx, cancel := context.WithTimeout(r.Context(), 30*time.Second)
		defer cancel()
		w.WriteHeader(code.Lookup(n.Submit(ctx, jobs.ID("000000000000000"+r.URL.Path[1:2]), job(1)).Code).Status)
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.serve(ctx, []endpoint{{listener, callers}}) }()
	status := func(path string) chan int {
		out := make(chan int, 1)
		go func() {
			response, err := http.Get("http://" + listener.Addr().String() + path)
			if err != nil {
				t.Errorf("%s: %v", path, err)
				out <- 0
				return
			}
			response.Body.Close()
			out <- response.StatusCode
		}()
		return out
	}
	sent := status("/silent")
	waitFor(t, "the leader's connection is open", func() bool { return silent.silent.Load() < 100 })
	unsent := status("/none")
	waitFor(t, "no leader is known", func() bool { return n.leader.Load() == nil })
	stop()
	start := time.Now()
	c.Assert(<-sent, qt.Equals, http.StatusGatewayTimeout)
	c.Assert(<-unsent, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(time.Since(start) < 4*time.Second, qt.IsTrue)
	c.Assert(<-ended, qt.IsNil)
}

// Guards against a process that continues without its goroutines when one of its
// listeners fails: it would accept requests and never respond.
func TestFailedListenerEndsServe(t *testing.T) {
	c := qt.New(t)
	tele := telemetry.New("rwnode", "a", io.Discard)
	t.Cleanup(tele.Close)
	workers := newInstantWorkers()
	n := New(DefaultConfig(), Deps{
		Log: newMemoryLog().forInstance("a"), Manifests: &fixedManifest{version: 1}, Directory: workers, Workers: workers, Adviser: workers,
	}, tele)
	var endpoints []endpoint
	for range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		endpoints = append(endpoints, endpoint{listener, http.NotFoundHandler()})
	}
	t.Cleanup(func() { endpoints[0].listener.Close() })
	c.Assert(endpoints[1].listener.Close(), qt.IsNil)
	ended := make(chan error, 1)
	go func() { ended <- n.serve(context.Background(), endpoints) }()
	select {
	case err := <-ended:
		c.Assert(err, qt.IsNotNil)
	case <-time.After(20 * time.Second):
		t.Fatal("serve did not return")
	}
}
