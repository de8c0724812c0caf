package operator

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	operatorv1 "redwingvale/internal/gen/redwingvale/operator/v1"
	"redwingvale/internal/gen/redwingvale/operator/v1/operatorv1connect"
)

// Bounds of the operators' interface.
const (
	// MaxRequestBytes bounds the size of one request.
	MaxRequestBytes = 16 << 10
	// MaxItems bounds the items of an explanation and the alarms in a response.
	MaxItems = 1000
	// MaxReasonBytes bounds the text that an operator gives as a reason.
	MaxReasonBytes = 1024
	// MaxConcurrent bounds the requests that are served at a time.
	MaxConcurrent = 32
	// ReadTimeLimit bounds each call that changes nothing.
	ReadTimeLimit = 5 * time.Second
	// ChangeTimeLimit bounds drain and the removal of a member.
	ChangeTimeLimit = 15 * time.Second

	headerTimeLimit = 5 * time.Second
	idleTimeLimit   = 60 * time.Second
	stopTimeLimit   = 2 * time.Second
)

// Handler returns the path and the HTTP handler of the operators' interface.
func Handler(source Source) (string, http.Handler) {
	s := &service{source: source}
	path, handler := operatorv1connect.NewOperatorServiceHandler(s, connect.WithReadMaxBytes(MaxRequestBytes))
	return path, limitConcurrency(handler, MaxConcurrent)
}

// Server serves the operators' interface on its own listener.
type Server struct {
	http *http.Server
}

// NewServer returns a server that serves the data of source.
func NewServer(source Source) *Server {
	path, handler := Handler(source)
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &Server{http: &http.Server{
		Handler:           mux,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeLimit,
		ReadTimeout:       ReadTimeLimit,
		WriteTimeout:      ChangeTimeLimit + ReadTimeLimit,
		IdleTimeout:       idleTimeLimit,
		MaxHeaderBytes:    MaxRequestBytes,
	}}
}

// Serve serves the listener until ctx ends, then lets calls in progress finish.
// It returns nil after such a stop.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeLimit)
	defer cancel()
	err := s.http.Shutdown(stopping)
	<-failed
	return err
}

// limitConcurrency responds with 503 when limit requests are in progress
// already.
func limitConcurrency(next http.Handler, limit int) http.Handler {
	slots := make(chan struct{}, limit)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			next.ServeHTTP(w, r)
		default:
			http.Error(w, "too many operator requests at a time", http.StatusServiceUnavailable)
		}
	})
}

type service struct {
	source Source
}

func (s *service) Status(ctx context.Context, _ *connect.Request[operatorv1.StatusRequest]) (*connect.Response[operatorv1.StatusResponse], error) {
	return respond(ctx, ReadTimeLimit, s.source.Status)
}

func (s *service) Explain(ctx context.Context, req *connect.Request[operatorv1.ExplainRequest]) (*connect.Response[operatorv1.ExplainResponse], error) {
	if err := checkExplain(req.Msg); err != nil {
		return nil, toConnect(err)
	}
	return respond(ctx, ReadTimeLimit, func(ctx context.Context) (*operatorv1.ExplainResponse, error) {
		out, err := s.source.Explain(ctx, req.Msg)
		if err == nil && len(out.GetItems()) > MaxItems {
			out.Items = out.GetItems()[:MaxItems]
			out.Truncated = true
		}
		return out, err
	})
}

func (s *service) ListAlarms(ctx context.Context, req *connect.Request[operatorv1.ListAlarmsRequest]) (*connect.Response[operatorv1.ListAlarmsResponse], error) {
	return respond(ctx, ReadTimeLimit, func(ctx context.Context) (*operatorv1.ListAlarmsResponse, error) {
		alarms, err := s.source.Alarms(ctx, req.Msg.GetCleared())
		if len(alarms) > MaxItems {
			alarms = alarms[:MaxItems]
		}
		return &operatorv1.ListAlarmsResponse{Alarms: alarms}, err
	})
}

func (s *service) Drain(ctx context.Context, req *connect.Request[operatorv1.DrainRequest]) (*connect.Response[operatorv1.DrainResponse], error) {
	if err := checkDrain(req.Msg, s.source.Instance()); err != nil {
		return nil, toConnect(err)
	}
	return respond(ctx, ChangeTimeLimit, func(ctx context.Context) (*operatorv1.DrainResponse, error) {
		return s.source.Drain(ctx, req.Msg.GetActor(), req.Msg.GetReason())
	})
}

func (s *service) RemoveMember(ctx context.Context, req *connect.Request[operatorv1.RemoveMemberRequest]) (*connect.Response[operatorv1.RemoveMemberResponse], error) {
	if err := checkRemove(req.Msg, s.source.Instance()); err != nil {
		return nil, toConnect(err)
	}
	return respond(ctx, ChangeTimeLimit, func(ctx context.Context) (*operatorv1.RemoveMemberResponse, error) {
		return s.source.RemoveMember(ctx, req.Msg)
	})
}

func (s *service) ListServices(ctx context.Context, req *connect.Request[operatorv1.ListServicesRequest]) (*connect.Response[operatorv1.ListServicesResponse], error) {
	if err := checkOptionalID("team", req.Msg.GetTeam()); err != nil {
		return nil, toConnect(err)
	}
	return respond(ctx, ReadTimeLimit, func(ctx context.Context) (*operatorv1.ListServicesResponse, error) {
		return s.source.Services(ctx, req.Msg.GetTeam(), req.Msg.GetWithDocuments())
	})
}

// respond runs call within the time limit and wraps its result.
func respond[T any](ctx context.Context, limit time.Duration, call func(context.Context) (*T, error)) (*connect.Response[T], error) {
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	out, err := call(bounded)
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(out), nil
}
