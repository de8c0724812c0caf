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

// The limits of forwarding.
const (
	// peerBackoff is how long no request is forwarded to a peer that had no
	// spare slot.
	peerBackoff = 100 * time.Millisecond
	// maxForwardPeers limits the peers to which one request is forwarded.
	maxForwardPeers = 2
	// forwardChunkBytes is the maximum size of one streamed part.
	forwardChunkBytes = 32 << 10
)

// forwardable lists the rejections after which the request is forwarded to a
// peer.
var forwardable = map[code.Code]bool{
	code.QueueFull:      true,
	code.CannotMeetTime: true,
	code.NoCapacity:     true,
	code.Overloaded:     true,
	code.NoTarget:       true,
}

// tryForward forwards a request that is about to be rejected to peers with
// spare slots. If no peer accepts it, the result is the rejection.
func (e *Entry) tryForward(u *urgentCall, rejection error) (*response, error) {
	if u.forwarded || e.config.Baseline || !forwardable[code.Of(rejection)] {
		return nil, rejection
	}
	for range maxForwardPeers {
		other := e.peers.nextCandidate(time.Now())
		if other == nil || e.now() >= u.deadline {
			break
		}
		resp, err := e.forward(other, u)
		if err == nil {
			e.metrics.forwards.Inc(1)
			return resp, nil
		}
		if code.Lookup(code.Of(err)).Outcome != code.NotRun {
			return nil, err
		}
		e.peers.backOff(other, time.Now().Add(peerBackoff))
	}
	return nil, rejection
}

// forward sends the request to a peer. The outcome of its error is not_run only
// if the peer reported that or could not be dialled.
func (e *Entry) forward(other *peer, u *urgentCall) (*response, error) {
	ctx, cancel := e.deadlineContext(u.deadline)
	stream, err := other.client.Forward(ctx, connect.NewRequest(forwardRequest(u, e.config.Instance, u.deadline-e.now())))
	if err != nil {
		cancel()
		return nil, forwardError(err)
	}
	reader := &forwardReader{stream: stream, cancel: cancel}
	head, err := reader.readHead()
	if err != nil {
		_ = reader.Close()
		return nil, err
	}
	resp := &response{status: int(head.GetStatus()), header: headersFromWire(head.GetHeaders()), length: head.GetLength()}
	body, complete, err := readUpTo(reader, e.config.MaxAnswerBuffer, head.GetLength())
	if err != nil {
		_ = reader.Close()
		return nil, code.New(code.AnswerCutShort, "the forwarded answer was cut")
	}
	resp.body = body
	if complete {
		return resp, reader.Close()
	}
	resp.remainder = reader
	return resp, nil
}

func forwardRequest(u *urgentCall, from string, remaining time.Duration) *entryv1.ForwardRequest {
	return &entryv1.ForwardRequest{
		Team:       string(u.team),
		Service:    string(u.service),
		Method:     u.request.Method,
		Path:       u.request.URL.RawPath,
		Query:      u.request.URL.RawQuery,
		Headers:    headersToWire(u.request.Header),
		Body:       u.request.Body,
		Idempotent: u.idempotent,
		TimeoutMs:  uint32(max(remaining, 0) / time.Millisecond),
		From:       from,
	}
}

// forwardError returns the coded error of a failed forward. Its outcome is
// not_run only if the peer could not be dialled.
func forwardError(err error) error {
	if dialFailed(err) {
		return code.New(code.NoCapacity, "the peer cannot be reached")
	}
	if connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		return code.New(code.TimeLimit, "the peer did not answer in time")
	}
	return code.New(code.AnswerLost, "the connection to the peer ended")
}

// dialFailed reports whether a call failed because no connection could be
// established.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// forwardReader reads the body of a forwarded response.
type forwardReader struct {
	stream   *connect.ServerStreamForClient[entryv1.ForwardResponse]
	cancel   context.CancelFunc
	buffered []byte
	ended    bool
}

// readHead reads the first part of the response: its status and headers.
func (r *forwardReader) readHead() (*entryv1.ForwardHead, error) {
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

// Read returns io.ErrUnexpectedEOF if the stream ends without its end marker.
func (r *forwardReader) Read(p []byte) (int, error) {
	for len(r.buffered) == 0 {
		if r.ended {
			return 0, io.EOF
		}
		if !r.stream.Receive() {
			return 0, io.ErrUnexpectedEOF
		}
		r.buffered = r.stream.Msg().GetData()
		r.ended = r.stream.Msg().GetEnd()
	}
	n := copy(p, r.buffered)
	r.buffered = r.buffered[n:]
	return n, nil
}

// Close closes the stream and cancels the call.
func (r *forwardReader) Close() error {
	r.cancel()
	_ = r.stream.Close()
	return nil
}

// peerHandler implements the API for other entries.
type peerHandler struct {
	*dedupe.Service
	entry *Entry
}

// HandOverKeys accepts the keys of a stopping instance. After its last message
// the idle connections to peers are closed, so that the server of the stopping
// instance does not wait for them.
func (h *peerHandler) HandOverKeys(ctx context.Context, req *connect.Request[entryv1.HandOverKeysRequest]) (*connect.Response[entryv1.HandOverKeysResponse], error) {
	if req.Msg.GetLast() {
		defer h.entry.peers.close()
	}
	return h.Service.HandOverKeys(ctx, req)
}

// Forward executes a request if a slot is spare, and otherwise rejects it.
func (h *peerHandler) Forward(_ context.Context, req *connect.Request[entryv1.ForwardRequest], out *connect.ServerStream[entryv1.ForwardResponse]) error {
	e := h.entry
	if e.phase.Load() >= draining {
		return out.Send(errorResponse(code.New(code.Draining, "the peer is stopping")))
	}
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	u, err := e.parseForwarded(req.Msg)
	if err != nil {
		return out.Send(errorResponse(err))
	}
	state, pick, ok := e.dispatch.pickSpare(u.service)
	if !ok {
		return out.Send(errorResponse(code.New(code.NoCapacity, "the peer has no spare slot")))
	}
	x := &execution{entry: e, call: u, state: state}
	resp, err := x.run(pick)
	if err != nil {
		return out.Send(errorResponse(err))
	}
	return sendResponse(out, resp)
}

func (e *Entry) parseForwarded(m *entryv1.ForwardRequest) (*urgentCall, error) {
	path, err := url.PathUnescape(m.GetPath())
	if err != nil {
		return nil, code.New(code.BadRequest, "the path is malformed")
	}
	remaining := min(time.Duration(m.GetTimeoutMs())*time.Millisecond, ms(e.config.UrgentLimitMS))
	return &urgentCall{
		team:       spec.TeamID(m.GetTeam()),
		service:    spec.ServiceID(m.GetService()),
		idempotent: m.GetIdempotent(),
		deadline:   e.now() + remaining,
		forwarded:  true,
		request: connpool.Request{
			Method: m.GetMethod(),
			URL:    url.URL{Path: path, RawPath: m.GetPath(), RawQuery: m.GetQuery()},
			Header: headersFromWire(m.GetHeaders()),
			Body:   m.GetBody(),
		},
	}, nil
}

func errorResponse(err error) *entryv1.ForwardResponse {
	head := &entryv1.ForwardHead{Code: int32(code.Of(err)), Detail: detailOf(err)}
	return &entryv1.ForwardResponse{Part: &entryv1.ForwardResponse_Head{Head: head}}
}

// sendResponse sends a response in parts. It sends the end marker only if the
// response is complete.
func sendResponse(out *connect.ServerStream[entryv1.ForwardResponse], resp *response) error {
	if resp.remainder != nil {
		defer resp.remainder.Close()
	}
	head := &entryv1.ForwardHead{Status: int32(resp.status), Headers: headersToWire(resp.header), Length: resp.length}
	if err := out.Send(&entryv1.ForwardResponse{Part: &entryv1.ForwardResponse_Head{Head: head}}); err != nil {
		return err
	}
	if err := sendData(out, resp.body); err != nil {
		return err
	}
	buffer := make([]byte, forwardChunkBytes)
	for resp.remainder != nil {
		n, err := resp.remainder.Read(buffer)
		if sendErr := sendData(out, buffer[:n]); sendErr != nil {
			return sendErr
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
		n := min(len(data), forwardChunkBytes)
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
