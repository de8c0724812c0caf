package operator_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"redwingvale/internal/code"
	operatorv1 "redwingvale/internal/gen/redwingvale/operator/v1"
	"redwingvale/internal/gen/redwingvale/operator/v1/operatorv1connect"
	"redwingvale/internal/operator"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// source returns fixed values and err from every method.
type source struct {
	err     error
	drained []string
}

func (s *source) Instance() string { return "i1" }

func (s *source) Status(context.Context) (*operatorv1.StatusResponse, error) {
	return &operatorv1.StatusResponse{Instance: "i1"}, s.err
}

func (s *source) Explain(context.Context, *operatorv1.ExplainRequest) (*operatorv1.ExplainResponse, error) {
	out := &operatorv1.ExplainResponse{}
	for range operator.MaxItems + 1 {
		out.Items = append(out.Items, &operatorv1.Explanation{})
	}
	return out, s.err
}

func (s *source) Alarms(context.Context, bool) ([]*operatorv1.Alarm, error) { return nil, s.err }

func (s *source) Drain(_ context.Context, actor, reason string) (*operatorv1.DrainResponse, error) {
	s.drained = append(s.drained, actor+" "+reason)
	return &operatorv1.DrainResponse{State: "draining"}, s.err
}

func (s *source) RemoveMember(context.Context, *operatorv1.RemoveMemberRequest) (*operatorv1.RemoveMemberResponse, error) {
	return &operatorv1.RemoveMemberResponse{}, s.err
}

func (s *source) Services(context.Context, string, bool) (*operatorv1.ListServicesResponse, error) {
	return &operatorv1.ListServicesResponse{}, s.err
}

// serve starts a server on loopback and returns a client of it.
func serve(c *qt.C, s operator.Source) operatorv1connect.OperatorServiceClient {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- operator.NewServer(s).Serve(ctx, listener) }()
	client := &http.Client{Transport: &http.Transport{}}
	c.Cleanup(func() {
		client.CloseIdleConnections()
		stop()
		c.Check(<-ended, qt.IsNil)
	})
	return operatorv1connect.NewOperatorServiceClient(client, "http://"+listener.Addr().String())
}

// Guards against a drain that stops the wrong instance or names no actor or
// reason, and against the removal of the instance that serves the request.
func TestChangesAreChecked(t *testing.T) {
	c := qt.New(t)
	s := &source{}
	client := serve(c, s)
	drain := func(instance, actor, reason string) code.Code {
		_, err := client.Drain(context.Background(), connect.NewRequest(&operatorv1.DrainRequest{Instance: instance, Actor: actor, Reason: reason}))
		return code.Of(operator.FromConnect(err))
	}
	c.Check(drain("i2", "ana", "kernel"), qt.Equals, code.BadRequest)
	c.Check(drain("i1", "", "kernel"), qt.Equals, code.BadID)
	c.Check(drain("i1", "ana", ""), qt.Equals, code.BadRequest)
	c.Check(drain("i1", "ana", strings.Repeat("x", operator.MaxReasonBytes+1)), qt.Equals, code.BadRequest)
	c.Check(drain("i1", "ana", "kernel"), qt.Equals, code.OK)
	c.Check(s.drained, qt.DeepEquals, []string{"ana kernel"})
	remove := func(instance string, incarnation uint64) code.Code {
		_, err := client.RemoveMember(context.Background(), connect.NewRequest(&operatorv1.RemoveMemberRequest{Instance: instance, Incarnation: incarnation, Actor: "ana", Reason: "dead"}))
		return code.Of(operator.FromConnect(err))
	}
	c.Check(remove("i1", 4), qt.Equals, code.BadRequest)
	c.Check(remove("i2", 0), qt.Equals, code.BadRequest)
	c.Check(remove("i2", 4), qt.Equals, code.OK)
}

// Guards against unbounded responses, and against the loss of the result code
// and detail of an error on the way to the operator.
func TestAnswersAreBoundedAndCoded(t *testing.T) {
	c := qt.New(t)
	s := &source{}
	client := serve(c, s)
	explain := func(job string) (*connect.Response[operatorv1.ExplainResponse], error) {
		return client.Explain(context.Background(), connect.NewRequest(&operatorv1.ExplainRequest{Team: "t", Job: job}))
	}
	out, err := explain("j")
	c.Assert(err, qt.IsNil)
	c.Assert(out.Msg.GetItems(), qt.HasLen, operator.MaxItems)
	c.Assert(out.Msg.GetTruncated(), qt.IsTrue)
	_, err = explain(strings.Repeat("j", operator.MaxRequestBytes+1))
	c.Assert(connect.CodeOf(err), qt.Equals, connect.CodeResourceExhausted)

	s.err = errors.Wrap(code.New(code.UnknownJob, "t/j"), "explain")
	_, err = explain("j")
	c.Assert(code.Of(operator.FromConnect(err)), qt.Equals, code.UnknownJob)
	c.Assert(operator.FromConnect(err).Error(), qt.Contains, "t/j")
	s.err = context.DeadlineExceeded
	_, err = explain("j")
	c.Assert(code.Of(operator.FromConnect(err)), qt.Equals, code.TimeLimit)
}
