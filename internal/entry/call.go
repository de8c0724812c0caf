package entry

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"redwingvale/internal/code"
	"redwingvale/internal/connpool"
	"redwingvale/internal/dedupe"
	"redwingvale/internal/spec"
)

// maxBufferedBodyBytes limits the memory of all request bodies together.
const maxBufferedBodyBytes = 256 << 20

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 200

// urgentCall is one urgent request.
type urgentCall struct {
	team     spec.TeamID
	service  spec.ServiceID
	settings ServiceSettings
	request  connpool.Request
	key      string
	// idempotent requests may be sent more than once.
	idempotent bool
	// deadline is on the entry's monotonic clock.
	deadline time.Duration
	// forwarded requests came from another entry and are not forwarded again.
	forwarded bool
}

// call handles an urgent request of a caller.
func (e *Entry) call(c echo.Context) error {
	u, release, err := e.parseCall(c)
	if err != nil {
		return err
	}
	defer release()
	if u.key != "" && !u.idempotent && !e.mutations.ignoreKeys {
		return e.callWithKey(c, u)
	}
	resp, err := e.execute(c.Request().Context(), u)
	if err != nil {
		return err
	}
	return e.relay(c, resp, nil)
}

// parseCall validates the request and reads its body. release returns the
// memory that was reserved for the body.
func (e *Entry) parseCall(c echo.Context) (u *urgentCall, release func(), err error) {
	r := c.Request()
	u = &urgentCall{service: spec.ServiceID(c.Param("service"))}
	if u.team, err = e.resolveTeam(c.Param("team")); err != nil {
		return nil, nil, err
	}
	if !spec.ValidID(string(u.service)) {
		return nil, nil, code.New(code.BadID, "the service's id is not valid")
	}
	if u.settings, err = e.deps.Services.Service(u.team, u.service); err != nil {
		return nil, nil, err
	}
	if u.settings.NoUrgent {
		return nil, nil, code.New(code.UnknownService, "service %s of team %s answers no urgent requests", u.service, u.team)
	}
	if err = u.readHeaders(r, e.config); err != nil {
		return nil, nil, err
	}
	u.deadline += e.now()
	body, release, err := e.readBody(c)
	if err != nil {
		return nil, nil, err
	}
	u.request = connpool.Request{Method: r.Method, URL: targetURL(r.URL), Header: targetHeader(r), Body: body}
	return u, release, nil
}

// resolveTeam returns the team with this name or account code.
func (e *Entry) resolveTeam(name string) (spec.TeamID, error) {
	if !spec.ValidID(name) {
		return "", code.New(code.BadID, "the team's id is not valid")
	}
	return e.deps.Services.Resolve(name)
}

// readHeaders reads the idempotency key and the time limit. It sets the
// deadline relative to the arrival of the request.
func (u *urgentCall) readHeaders(r *http.Request, config Config) error {
	limit := u.settings.UrgentLimit
	if limit <= 0 {
		limit = ms(config.UrgentLimitMS)
	}
	u.deadline = limit
	if text := r.Header.Get(timeoutHeader); text != "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || !(seconds > 0) {
			return code.New(code.BadRequest, "%s is not a positive number of seconds", timeoutHeader)
		}
		u.deadline = time.Duration(min(seconds*float64(time.Second), float64(limit)))
	}
	u.key = r.Header.Get(keyHeader)
	if len(u.key) > maxKeyBytes || strings.ContainsRune(u.key, 0) {
		return code.New(code.BadID, "%s is longer than %d bytes", keyHeader, maxKeyBytes)
	}
	u.idempotent = u.settings.Idempotent || safeMethod(r.Method)
	return nil
}

// safeMethod reports whether the method is safe as defined by RFC 9110.
func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// targetURL returns the path after the call segment, and the query.
func targetURL(from *url.URL) url.URL {
	const segmentsBeforePath = 7 // "", v1, teams, T, services, S, call
	parts := strings.SplitN(from.EscapedPath(), "/", segmentsBeforePath+1)
	raw := "/"
	if len(parts) > segmentsBeforePath {
		raw += parts[segmentsBeforePath]
	}
	path, err := url.PathUnescape(raw)
	if err != nil {
		path = raw
	}
	return url.URL{Path: path, RawPath: raw, RawQuery: from.RawQuery}
}

// targetHeader returns the headers to send to the target.
func targetHeader(r *http.Request) http.Header {
	h := endToEnd(r.Header)
	h.Set("X-Forwarded-Host", r.Host)
	if _, ok := h["User-Agent"]; !ok {
		// Prevents net/http from adding its default User-Agent.
		h["User-Agent"] = []string{""}
	}
	return h
}

// readBody reads the complete body within the size and memory limits.
func (e *Entry) readBody(c echo.Context) (body []byte, release func(), err error) {
	r := c.Request()
	if r.ContentLength == 0 {
		return nil, func() {}, nil
	}
	if r.ContentLength > e.config.MaxBodyBytes {
		return nil, nil, code.New(code.BodyTooLarge, "the limit is %d bytes", e.config.MaxBodyBytes)
	}
	reserve := r.ContentLength
	if reserve < 0 {
		reserve = e.config.MaxBodyBytes
	}
	release = func() { e.bodyBytes.Add(-reserve) }
	if e.bodyBytes.Add(reserve) > maxBufferedBodyBytes {
		release()
		return nil, nil, code.New(code.Overloaded, "too many request bodies are being read")
	}
	body, err = readFull(http.MaxBytesReader(c.Response(), r.Body, e.config.MaxBodyBytes), r.ContentLength)
	if err == nil {
		return body, release, nil
	}
	release()
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, nil, code.New(code.BodyTooLarge, "the limit is %d bytes", e.config.MaxBodyBytes)
	}
	return nil, nil, code.New(code.BadRequest, "the body could not be read to its end")
}

func readFull(from io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(from)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(from, body)
	return body, err
}

// callWithKey executes a request with an idempotency key at most once.
func (e *Entry) callWithKey(c echo.Context, u *urgentCall) error {
	key := dedupe.Key{Team: u.team, Service: u.service, Key: u.key}
	ctx, cancel := e.deadlineContext(u.deadline)
	defer cancel()
	ticket, reply := e.keys.Begin(ctx, key, u.contentHash(), u.deadline-e.now())
	switch reply.Kind {
	case dedupe.Proceed:
	case dedupe.Replay:
		return e.replay(c, reply.Answer)
	case dedupe.AlreadyRan:
		return code.New(code.AnswerNotKept, "the first request with this key ran")
	default:
		return code.New(reply.Code, "%s", reply.Detail)
	}
	resp, err := e.execute(c.Request().Context(), u)
	if err != nil {
		e.keys.End(ticket, code.Lookup(code.Of(err)).Outcome, nil)
		return err
	}
	return e.relay(c, resp, func(recorded *dedupe.Answer) { e.keys.End(ticket, code.Ran, recorded) })
}

// contentHash returns a hash of the method, path, query and body.
func (u *urgentCall) contentHash() uint64 {
	h := xxhash.New()
	for _, part := range []string{u.request.Method, u.request.URL.RawPath, u.request.URL.RawQuery} {
		_, _ = h.WriteString(part)
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(u.request.Body)
	return h.Sum64()
}
