package sched

import (
	"context"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
	"redwingvale/internal/platform"
	"redwingvale/internal/spec"
	"redwingvale/internal/telemetry"
)

// newTestDecision returns a decision duty that has read nothing.
func newTestDecision(c *qt.C) *decision {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = socket.Close() })
	tele := telemetry.New("rwsched", "i0", io.Discard)
	c.Cleanup(func() { tele.Close() })
	config := DefaultConfig()
	config.Instance, config.DataCentre = "i0", "a"
	s := New(config, Sockets{Peer: socket}, Deps{Telemetry: tele, Incarnation: 1})
	return newDecision(context.Background(), s)
}

// Guards against an empty configuration that is never known.
func TestEmptyConfigurationIsKnown(t *testing.T) {
	c := qt.New(t)
	d := newTestDecision(c)
	_, err := d.sched.complete(sentJob(spec.Deadline, "revision"))
	c.Assert(code.Of(err), qt.Equals, code.ConfigUnread)
	c.Assert(d.sched.view.current.Load().GetServicesKnown(), qt.IsFalse)
	d.onConfigRead(0, configRead{result: platform.ReadResult{AtTail: true}})
	c.Assert(d.sched.view.current.Load().GetServicesKnown(), qt.IsTrue)
	_, err = d.sched.complete(sentJob(spec.Deadline, "revision"))
	c.Assert(code.Of(err), qt.Equals, code.UnknownService)
}
