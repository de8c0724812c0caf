package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/telemetry"
)

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
