package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/labstack/echo/v4"

	"redwingvale/internal/code"
	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
	schedv1 "redwingvale/internal/gen/redwingvale/sched/v1"
	"redwingvale/internal/gen/redwingvale/sched/v1/schedv1connect"
	"redwingvale/internal/spec"
)

// maxJobWait limits the Prefer: wait of a job query.
const maxJobWait = 60 * time.Second

// submitJob handles PUT /v1/teams/{team}/jobs/{job}.
func (e *Entry) submitJob(c echo.Context) error {
	ref, err := e.jobRef(c)
	if err != nil {
		return err
	}
	body, release, err := e.readBody(c)
	if err != nil {
		return err
	}
	defer release()
	job, err := parseJob(body, ref, time.Now())
	if err != nil {
		return err
	}
	if _, err = e.deps.Services.Service(spec.TeamID(ref.GetTeam()), spec.ServiceID(job.GetService())); err != nil {
		return err
	}
	if !e.reserveSubmission() {
		return code.New(code.QueueFull, "%d submissions are in progress", e.config.SubmitsInFlight)
	}
	defer e.submitsInFlight.Add(-1)
	return e.callSched(c, ms(e.config.SchedTimeoutMS), true, func(ctx context.Context, s schedv1connect.SchedServiceClient) (*connect.Response[schedv1.JobResponse], error) {
		return s.SubmitJob(ctx, connect.NewRequest(&schedv1.SubmitJobRequest{Job: job}))
	})
}

func (e *Entry) reserveSubmission() bool {
	if e.submitsInFlight.Add(1) > int64(e.config.SubmitsInFlight) {
		e.submitsInFlight.Add(-1)
		return false
	}
	return true
}

// getJob handles GET /v1/teams/{team}/jobs/{job}.
func (e *Entry) getJob(c echo.Context) error {
	ref, err := e.jobRef(c)
	if err != nil {
		return err
	}
	wait, err := preferredWait(c.Request().Header.Get(preferHeader))
	if err != nil {
		return err
	}
	req := &schedv1.GetJobRequest{
		Job:        ref,
		WaitMs:     uint32(wait.Milliseconds()),
		KnownState: c.QueryParam("known_state"),
	}
	if wait > 0 {
		c.Response().Header().Set(appliedPreference, "wait="+strconv.Itoa(int(wait.Seconds())))
	}
	return e.callSched(c, wait+ms(e.config.SchedTimeoutMS), false, func(ctx context.Context, s schedv1connect.SchedServiceClient) (*connect.Response[schedv1.JobResponse], error) {
		return s.GetJob(ctx, connect.NewRequest(req))
	})
}

// cancelJob handles DELETE /v1/teams/{team}/jobs/{job}.
func (e *Entry) cancelJob(c echo.Context) error {
	ref, err := e.jobRef(c)
	if err != nil {
		return err
	}
	req := &schedv1.CancelJobRequest{Job: ref, Actor: "caller " + c.RealIP()}
	return e.callSched(c, ms(e.config.SchedTimeoutMS), true, func(ctx context.Context, s schedv1connect.SchedServiceClient) (*connect.Response[schedv1.JobResponse], error) {
		return s.CancelJob(ctx, connect.NewRequest(req))
	})
}

func (e *Entry) jobRef(c echo.Context) (*recordv1.JobRef, error) {
	team, err := e.resolveTeam(c.Param("team"))
	if err != nil {
		return nil, err
	}
	name := c.Param("job")
	if !spec.ValidID(name) {
		return nil, code.New(code.BadID, "the job's id is not valid")
	}
	return &recordv1.JobRef{Team: string(team), Name: name}, nil
}

// preferredWait parses wait=N, in seconds, from a Prefer header.
func preferredWait(header string) (time.Duration, error) {
	for _, part := range strings.FieldsFunc(header, func(r rune) bool { return r == ',' || r == ';' }) {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(name, "wait") {
			continue
		}
		seconds, err := strconv.Atoi(strings.Trim(value, `"`))
		if err != nil || seconds < 0 {
			return 0, code.New(code.BadRequest, "the wait in %s is not a number of seconds", preferHeader)
		}
		return time.Duration(min(seconds, int(maxJobWait.Seconds()))) * time.Second, nil
	}
	return 0, nil
}

// schedCall is a call to an rwsched about a job.
type schedCall func(context.Context, schedv1connect.SchedServiceClient) (*connect.Response[schedv1.JobResponse], error)

// callSched calls the instance's own rwsched and, if that fails, the others in
// turn. Repeating a call is safe because submissions and cancellations carry
// the job's id. mutates is set for calls whose outcome is unknown if the
// response is lost.
func (e *Entry) callSched(c echo.Context, limit time.Duration, mutates bool, call schedCall) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), limit)
	defer cancel()
	reached := false
	clients := []schedv1connect.SchedServiceClient{e.deps.OwnSched}
	for _, addr := range e.views.otherSchedAddrs() {
		clients = append(clients, e.views.client(addr))
	}
	for _, client := range clients {
		if client == nil || ctx.Err() != nil {
			continue
		}
		resp, err := call(ctx, client)
		if err == nil {
			return writeJob(c, resp.Msg)
		}
		reached = reached || !dialFailed(err)
	}
	if mutates && reached {
		return code.New(code.AcceptanceUnsure, "no scheduler confirmed the change in time")
	}
	return code.New(code.OwnerUnknown, "no scheduler answers")
}

// jobStateBody is the JSON body of a response about a job.
type jobStateBody struct {
	Code    string     `json:"code"`
	Name    string     `json:"name"`
	Outcome string     `json:"outcome"`
	Detail  string     `json:"detail,omitempty"`
	Team    string     `json:"team"`
	Job     string     `json:"job"`
	State   string     `json:"state"`
	Group   string     `json:"group,omitempty"`
	Tasks   []taskBody `json:"tasks,omitempty"`
}

type taskBody struct {
	Index    uint32   `json:"index"`
	State    string   `json:"state"`
	Attempt  uint32   `json:"attempt"`
	Worker   string   `json:"worker,omitempty"`
	Progress float64  `json:"progress"`
	Moves    uint32   `json:"moves"`
	Code     string   `json:"code"`
	Reasons  []string `json:"reasons,omitempty"`
}

// writeJob writes a job's state to the caller, or returns the error in the
// response of the rwsched.
func writeJob(c echo.Context, m *schedv1.JobResponse) error {
	info := code.Lookup(code.Code(m.GetCode()))
	if info.Status >= http.StatusBadRequest {
		return code.New(info.Code, "%s", m.GetDetail())
	}
	setCode(c.Response().Header(), info.Code)
	out := jobStateBody{
		Code:    info.Code.String(),
		Name:    info.Name,
		Outcome: string(info.Outcome),
		Detail:  m.GetDetail(),
		Team:    m.GetJob().GetId().GetTeam(),
		Job:     m.GetJob().GetId().GetName(),
		State:   m.GetState(),
		Group:   m.GetGroup(),
	}
	for _, t := range m.GetTasks() {
		out.Tasks = append(out.Tasks, taskBody{
			Index: t.GetIndex(), State: t.GetState(), Attempt: t.GetAttempt(), Worker: t.GetWorker(),
			Progress: t.GetProgress(), Moves: t.GetMoves(),
			Code: code.Code(t.GetCode()).String(), Reasons: t.GetReasons(),
		})
	}
	return c.JSON(info.Status, out)
}

// decodeStrict decodes a single JSON value and rejects unknown fields.
func decodeStrict(body []byte, into any) error {
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return code.New(code.BadRequest, "the body is not the expected JSON: %v", err)
	}
	if decoder.More() {
		return code.New(code.BadRequest, "the body has more than one JSON value")
	}
	return nil
}
