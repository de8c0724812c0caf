package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"redwingvale/internal/code"
	"redwingvale/internal/connpool"
	"redwingvale/internal/dedupe"
	entryv1 "redwingvale/internal/gen/redwingvale/entry/v1"
	"redwingvale/internal/spec"
)

// The constants of forwarding.
const (
	// forwardPause is how long a peer without a spare slot is left alone.
	forwardPause = 100 * time.Millisecond
	// forwardTries bounds the peers that one request tries.
	forwardTries = 2
	// forwardChunk is the size of one streamed part in bytes.
	forwardChunk = 32 << 10
)

// forwardable lists the refusals after which a peer's spare slot is tried.
var forwardable = map[code.Code]bool{
	code.QueueFull:      true,
	code.CannotMeetTime: true,
	code.NoCapacity:     true,
	code.Overloaded:     true,
	code.NoTarget:       true,
}

// forwardInstead tries the peers' spare grants before a request is refused.
func (e *Entry) forwardInstead(u *urgentCall, refusal error) (*answer, error) {
	if u.forwarded || e.config.Plain || !forwardable[code.Of(refusal)] {
		return nil, refusal
	}
	for range forwardTries {
		known := e.peers.candidate(time.Now())
		if known == nil || e.now() >= u.deadline {
			break
		}
		a, err := e.forward(known, u)
		if err == nil {
			e.metrics.forwards.Inc(1)
			return a, nil
		}
		if code.Lookup(code.Of(err)).Outcome != code.NotRun {
			return nil, err
		}
		e.peers.holdBack(known, time.Now().Add(forwardPause))
	}
	return nil, refusal
}

// forward sends the request to a peer. The error's outcome is not_run only
// when the peer said so or could not be dialled.
func (e *Entry) forward(known *peer, u *urgentCall) (*answer, error) {
	ctx, cancel := e.until(u.deadline)
	stream, err := known.client.Forward(ctx, connect.NewRequest(forwardRequest(u, e.config.Instance, u.deadline-e.now())))
	if err != nil {
		cancel()
		return nil, forwardError(err)
	}
	reader := &forwardReader{stream: stream, cancel: cancel}
	head, err := reader.head()
	if err != nil {
		_ = reader.Close()
		return nil, err
	}
	a := &answer{status: int(head.GetStatus()), header: headersFromWire(head.GetHeaders()), length: head.GetLength()}
	body, whole, err := readUpTo(reader, e.config.MaxAnswerBuffer, head.GetLength())
	if err != nil {
		_ = reader.Close()
		return nil, code.New(code.AnswerCutShort, "the forwarded answer was cut")
	}
	a.body = body
	if whole {
		return a, reader.Close()
	}
	a.rest = reader
	return a, nil
}

func forwardRequest(u *urgentCall, from string, left time.Duration) *entryv1.ForwardRequest {
	return &entryv1.ForwardRequest{
		Team:       string(u.team),
		Service:    string(u.service),
		Method:     u.request.Method,
		Path:       u.request.URL.RawPath,
		Query:      u.request.URL.RawQuery,
		Headers:    headersToWire(u.request.Header),
		Body:       u.request.Body,
		Idempotent: u.idempotent,
		TimeoutMs:  uint32(max(left, 0) / time.Millisecond),
		From:       from,
	}
}

// forwardError returns not_run only for a peer that could not be dialled.
func forwardError(err error) error {
	if neverSent(err) {
		return code.New(code.NoCapacity, "the peer cannot be reached")
	}
	if connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		return code.New(code.TimeLimit, "the peer did not answer in time")
	}
	return code.New(code.AnswerLost, "the connection to the peer ended")
}

// neverSent reports whether a call failed before its connection was there.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// forwardReader reads the body of a forwarded answer.
type forwardReader struct {
	stream *connect.ServerStreamForClient[entryv1.ForwardResponse]
	cancel context.CancelFunc
	left   []byte
	ended  bool
}

// head reads the first part.
func (r *forwardReader) head() (*entryv1.ForwardHead, error) {
	if !r.stream.Receive() {
		return nil, forwardError(r.stream.Err())
	}
	head := r.stream.Msg().GetHead()
	if head == nil {
		return nil, code.New(code.AnswerLost, "the peer's answer has no head")
	}
	if head.GetCode() != int32(code.OK) {
		return nil, code.New(code.Code(head.GetCode()), "%s", head.GetDetail())
	}
	return head, nil
}

// Read returns io.ErrUnexpectedEOF when the stream ends without its end.
func (r *forwardReader) Read(p []byte) (int, error) {
	for len(r.left) == 0 {
		if r.ended {
			return 0, io.EOF
		}
		if !r.stream.Receive() {
			return 0, io.ErrUnexpectedEOF
		}
		r.left = r.stream.Msg().GetData()
		r.ended = r.stream.Msg().GetEnd()
	}
	n := copy(p, r.left)
	r.left = r.left[n:]
	return n, nil
}

// Close ends the stream.
func (r *forwardReader) Close() error {
	r.cancel()
	_ = r.stream.Close()
	return nil
}

// peerHandler serves the other entries.
type peerHandler struct {
	*dedupe.Service
	entry *Entry
}

// HandOverKeys takes keys of a stopping instance. Unused connections to it are
// closed after its last message, so that its server need not wait for them.
func (h *peerHandler) HandOverKeys(ctx context.Context, req *connect.Request[entryv1.HandOverKeysRequest]) (*connect.Response[entryv1.HandOverKeysResponse], error) {
	if req.Msg.GetLast() {
		defer h.entry.peers.close()
	}
	return h.Service.HandOverKeys(ctx, req)
}

// Forward carries out a request with a spare slot, or refuses it.
func (h *peerHandler) Forward(_ context.Context, req *connect.Request[entryv1.ForwardRequest], out *connect.ServerStream[entryv1.ForwardResponse]) error {
	e := h.entry
	if e.phase.Load() >= draining {
		return out.Send(refusal(code.New(code.Draining, "the peer is stopping")))
	}
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	u, err := e.forwardedCall(req.Msg)
	if err != nil {
		return out.Send(refusal(err))
	}
	state, pick, ok := e.dispatch.spare(u.service)
	if !ok {
		return out.Send(refusal(code.New(code.NoCapacity, "the peer has no spare slot")))
	}
	x := &execution{entry: e, call: u, state: state}
	a, err := x.run(pick)
	if err != nil {
		return out.Send(refusal(err))
	}
	return sendAnswer(out, a)
}

func (e *Entry) forwardedCall(m *entryv1.ForwardRequest) (*urgentCall, error) {
	path, err := url.PathUnescape(m.GetPath())
	if err != nil {
		return nil, code.New(code.BadRequest, "the path is malformed")
	}
	left := min(time.Duration(m.GetTimeoutMs())*time.Millisecond, ms(e.config.UrgentLimitMS))
	return &urgentCall{
		team:       spec.TeamID(m.GetTeam()),
		service:    spec.ServiceID(m.GetService()),
		idempotent: m.GetIdempotent(),
		deadline:   e.now() + left,
		forwarded:  true,
		request: connpool.Request{
			Method: m.GetMethod(),
			URL:    url.URL{Path: path, RawPath: m.GetPath(), RawQuery: m.GetQuery()},
			Header: headersFromWire(m.GetHeaders()),
			Body:   m.GetBody(),
		},
	}, nil
}

func refusal(err error) *entryv1.ForwardResponse {
	head := &entryv1.ForwardHead{Code: int32(code.Of(err)), Detail: detailOf(err)}
	return &entryv1.ForwardResponse{Part: &entryv1.ForwardResponse_Head{Head: head}}
}

// sendAnswer sends an answer in parts; only a whole one is given an end.
func sendAnswer(out *connect.ServerStream[entryv1.ForwardResponse], a *answer) error {
	if a.rest != nil {
		defer a.rest.Close()
	}
	head := &entryv1.ForwardHead{Status: int32(a.status), Headers: headersToWire(a.header), Length: a.length}
	if err := out.Send(&entryv1.ForwardResponse{Part: &entryv1.ForwardResponse_Head{Head: head}}); err != nil {
		return err
	}
	if err := sendData(out, a.body); err != nil {
		return err
	}
	buffer := make([]byte, forwardChunk)
	for a.rest != nil {
		n, err := a.rest.Read(buffer)
		if failed := sendData(out, buffer[:n]); failed != nil {
			return failed
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return connect.NewError(connect.CodeAborted, err)
		}
	}
	return out.Send(&entryv1.ForwardResponse{Part: &entryv1.ForwardResponse_End{End: true}})
}

func sendData(out *connect.ServerStream[entryv1.ForwardResponse], data []byte) error {
	for len(data) > 0 {
		n := min(len(data), forwardChunk)
		err := out.Send(&entryv1.ForwardResponse{Part: &entryv1.ForwardResponse_Data{Data: data[:n]}})
		if err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

func headersToWire(h http.Header) []*entryv1.Header {
	var out []*entryv1.Header
	for name, values := range h {
		for _, value := range values {
			out = append(out, &entryv1.Header{Name: name, Value: value})
		}
	}
	return out
}

func headersFromWire(headers []*entryv1.Header) http.Header {
	out := make(http.Header, len(headers))
	for _, h := range headers {
		out[h.GetName()] = append(out[h.GetName()], h.GetValue())
	}
	return out
}
