package sched

import (
	"context"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"redwingvale/internal/code"
	"redwingvale/internal/platform"
	"redwingvale/internal/spec"
	"redwingvale/internal/telemetry"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// newTestLoop returns a decision loop that has not read any stream.
func newTestLoop(c *qt.C) *decisionLoop {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = socket.Close() })
	tele := telemetry.New("rwsched", "i0", io.Discard)
	c.Cleanup(func() { tele.Close() })
	config := DefaultConfig()
	config.Instance, config.DataCentre = "i0", "a"
	s := New(config, Sockets{Peer: socket}, Deps{Telemetry: tele, Incarnation: 1})
	return newDecisionLoop(context.Background(), s)
}

// snapshotRecord returns a complete snapshot that holds documentTOML.
func snapshotRecord(c *qt.C, offset, through int64) platform.LogRecord {
	snapshot := &recordv1.ConfigSnapshot{ThroughOffset: through, Part: 0, Parts: 1, Services: []*recordv1.ServiceRevision{
		{Team: "desk", Service: "drafts", Revision: 3, Document: []byte(documentTOML)},
	}}
	data, err := proto.Marshal(&recordv1.Envelope{Instance: "i1", Incarnation: 1, Sequence: 1, Body: &recordv1.Envelope_Config{
		Config: &recordv1.ConfigRecord{Kind: &recordv1.ConfigRecord_Snapshot{Snapshot: snapshot}},
	}})
	c.Assert(err, qt.IsNil)
	return platform.LogRecord{Offset: offset, Data: data}
}

// Guards against reporting that a service does not exist (404) because records
// of the configuration have expired unread: a read that reaches the tail does
// not make the configuration known while a snapshot is missing.
func TestServicesAreUnknownWhileRecordsAreMissing(t *testing.T) {
	c := qt.New(t)
	d := newTestLoop(c)
	job := sentJob(spec.Deadline, "revision")
	_, err := d.sched.applyDefaults(job)
	c.Assert(code.Of(err), qt.Equals, code.ConfigUnread)

	d.onConfigRead(0, configRead{result: platform.ReadResult{First: 10, Next: 10, AtTail: true}})
	_, err = d.sched.applyDefaults(job)
	c.Assert(code.Of(err), qt.Equals, code.ConfigUnread)
	c.Assert(d.sched.view.current.Load().GetServicesKnown(), qt.IsFalse)

	d.onConfigRead(0, configRead{result: platform.ReadResult{
		First: 10, Next: 11, AtTail: true, Records: []platform.LogRecord{snapshotRecord(c, 10, 9)},
	}})
	_, err = d.sched.applyDefaults(job)
	c.Assert(err, qt.IsNil)
	c.Assert(d.sched.view.current.Load().GetServicesKnown(), qt.IsTrue)
	job.Service = "other"
	_, err = d.sched.applyDefaults(job)
	c.Assert(code.Of(err), qt.Equals, code.UnknownService)
}

// Guards against an empty configuration that is never reported as known.
func TestEmptyConfigurationIsKnown(t *testing.T) {
	c := qt.New(t)
	d := newTestLoop(c)
	_, err := d.sched.applyDefaults(sentJob(spec.Deadline, "revision"))
	c.Assert(code.Of(err), qt.Equals, code.ConfigUnread)
	c.Assert(d.sched.view.current.Load().GetServicesKnown(), qt.IsFalse)
	d.onConfigRead(0, configRead{result: platform.ReadResult{AtTail: true}})
	c.Assert(d.sched.view.current.Load().GetServicesKnown(), qt.IsTrue)
	_, err = d.sched.applyDefaults(sentJob(spec.Deadline, "revision"))
	c.Assert(code.Of(err), qt.Equals, code.UnknownService)
}
