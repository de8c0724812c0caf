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

// Guards against a process that goes on without its duties when one of its
// sockets fails: it would take requests that nothing answers.
func TestFailedSocketEndsTheProcess(t *testing.T) {
	c := qt.New(t)
	tele := telemetry.New("rwnode", "a", io.Discard)
	t.Cleanup(tele.Close)
	workers := newInstantWorkers()
	n := New(DefaultConfig(), Deps{
		Log: newMemoryLog().of("a"), Operators: &fixedManifest{version: 1}, Directory: workers, Workers: workers, Adviser: workers,
	}, tele)
	var endpoints []endpoint
	for range 2 {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		endpoints = append(endpoints, endpoint{socket, http.NotFoundHandler()})
	}
	t.Cleanup(func() { endpoints[0].socket.Close() })
	c.Assert(endpoints[1].socket.Close(), qt.IsNil)
	ended := make(chan error, 1)
	go func() { ended <- n.serve(context.Background(), endpoints) }()
	select {
	case err := <-ended:
		c.Assert(err, qt.IsNotNil)
	case <-time.After(20 * time.Second):
		t.Fatal("the process goes on")
	}
}
