package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"redwingvale/internal/code"
	"redwingvale/internal/connpool"
	"redwingvale/internal/invariant"
	"redwingvale/internal/route"
	"redwingvale/internal/spec"
)

// answer is a target's answer: whole in body, or with a rest to be streamed.
type answer struct {
	status int
	header http.Header
	body   []byte
	// length is the length of the whole body in bytes, or -1.
	length int64
	// rest is nil when body is the whole body. Closing it frees the slot.
	rest io.ReadCloser
}

// attemptResult is the end of one attempt at one target.
type attemptResult struct {
	answer  *answer
	failure *connpool.Failure
	worker  spec.WorkerID
}

// until returns a context that ends at the entry's monotonic time deadline. It
// does not end when the caller leaves: a request that was sent holds its slot
// until its answer, and the answer may be wanted for its idempotency key.
func (e *Entry) until(deadline time.Duration) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.Background(), e.start.Add(deadline))
}

// carryOut takes a slot and carries the request out. The error has the code
// and so the outcome. A request that found no usable connection waits for
// another slot.
func (e *Entry) carryOut(caller context.Context, u *urgentCall) (*answer, error) {
	if !e.dispatch.hasSlots(u.service) {
		refusal := code.New(code.NoCapacity, "no slot of service %s is granted", u.service)
		if a, err := e.forwardInstead(u, refusal); err == nil || code.Of(err) != code.NoCapacity {
			return a, err
		}
	}
	for try := 0; ; try++ {
		h, err := e.dispatch.acquire(caller, u.team, u.service, u.settings, u.deadline)
		if err != nil {
			return e.forwardInstead(u, err)
		}
		x := &execution{entry: e, call: u, state: h.state}
		a, err := x.run(h.pick)
		e.dispatch.finish(h, err == nil)
		if err == nil || !x.unsent || try >= e.config.MaxRetries || e.config.Plain {
			return a, err
		}
	}
}

// execution is the course of one started request over its attempts.
type execution struct {
	entry    *Entry
	call     *urgentCall
	state    *serviceState
	attempts int
	avoid    []spec.WorkerID
	// unsure is the first failure after which the request may have run.
	unsure *connpool.Failure
	// unsent states that no attempt found a usable connection.
	unsent bool
}

// run makes attempts until one is answered or none is allowed any more.
func (x *execution) run(pick route.Pick) (*answer, error) {
	for {
		result := x.attempt(pick)
		if result.failure == nil {
			return result.answer, nil
		}
		x.avoid = append(x.avoid, result.worker)
		x.note(result.failure)
		next, ok := x.retry(result.failure)
		if !ok {
			x.unsent = x.unsure == nil && result.failure.Kind != connpool.TargetRefused
			return nil, x.failed(result.failure)
		}
		pick = next
	}
}

// attempt makes one attempt, hedged when the request is idempotent.
func (x *execution) attempt(pick route.Pick) attemptResult {
	x.attempts++
	if x.call.idempotent && !x.entry.config.Plain {
		return x.hedged(pick)
	}
	return x.entry.attempt(x.call, x.state, pick)
}

// note remembers that the request may have run.
func (x *execution) note(f *connpool.Failure) {
	if x.unsure == nil && f.Outcome() != code.NotRun {
		x.unsure = f
	}
}

// retry takes a slot for a further attempt if one is allowed: nothing has run,
// or the request is idempotent and the budget has a retry left.
func (x *execution) retry(f *connpool.Failure) (route.Pick, bool) {
	e := x.entry
	if x.attempts > e.config.MaxRetries || e.now() >= x.call.deadline {
		return route.Pick{}, false
	}
	notRun := f.Outcome() == code.NotRun
	if !e.mayRetry(x.call, notRun) {
		return route.Pick{}, false
	}
	if (!notRun || f.Kind == connpool.TargetRefused) && !e.config.Plain && !e.dispatch.spendRetry(x.state) {
		return route.Pick{}, false
	}
	pick, ok := e.dispatch.another(x.state, x.avoid)
	if !ok && (f.Kind == connpool.NoConnection || f.Kind == connpool.NotWritten) {
		pick, ok = e.dispatch.another(x.state, nil)
	}
	if !ok {
		return route.Pick{}, false
	}
	if f.Kind == connpool.NoConnection {
		// It has waited for a connection; only the deadline bounds this.
		x.attempts--
	}
	invariant.Check(notRun || x.call.idempotent || e.config.Plain, invariant.AtMostOnce,
		"a request that may have run is sent again after %v", f)
	e.metrics.retries.Inc(1)
	return pick, true
}

// mayRetry is the rule of section 8; the baseline always retries.
func (e *Entry) mayRetry(u *urgentCall, notRun bool) bool {
	return notRun || u.idempotent || e.config.Plain || e.faults.retryAlways
}

// failed returns the error of the whole request. It says not_run only when no
// attempt may have run.
func (x *execution) failed(last *connpool.Failure) error {
	f := last
	if x.unsure != nil {
		f = x.unsure
	}
	err := code.New(codeOf(f, x.entry.now() >= x.call.deadline), "%s after %d attempts", f.Kind, x.attempts)
	claimed := code.Lookup(code.Of(err)).Outcome
	invariant.Check(claimed != code.NotRun || x.unsure == nil, invariant.TrueRefusal,
		"%v is reported as not run", x.unsure)
	return err
}

// codeOf returns the result code of a failure.
func codeOf(f *connpool.Failure, late bool) code.Code {
	switch f.Kind {
	case connpool.TargetRefused:
		return code.TargetRefused
	case connpool.CutShort:
		return code.AnswerCutShort
	case connpool.OutOfTime:
		return code.TimeLimit
	case connpool.Lost:
		return code.AnswerLost
	default:
		if late {
			return code.WaitTimeExceeded
		}
		return code.NoTarget
	}
}

// attempt sends the request to the picked target and frees the slot at the end
// of the answer.
func (e *Entry) attempt(u *urgentCall, s *serviceState, pick route.Pick) attemptResult {
	ctx, cancel := e.until(u.deadline)
	resp, err := e.pool.Do(ctx, pick.Worker, pick.Addr, &u.request)
	if err != nil {
		cancel()
		f := failureOf(err)
		e.dispatch.release(s, pick, resultOf(f))
		return attemptResult{failure: f, worker: pick.Worker}
	}
	done := func(result route.Result) {
		cancel()
		e.dispatch.release(s, pick, result)
	}
	a, f := e.readAnswer(ctx, resp, done)
	return attemptResult{answer: a, failure: f, worker: pick.Worker}
}

// readAnswer reads an answer up to the buffer size. done is called once, when
// the answer or its rest has ended.
func (e *Entry) readAnswer(ctx context.Context, resp *connpool.Response, done func(route.Result)) (*answer, *connpool.Failure) {
	a := &answer{status: resp.Status, header: resp.Header, length: resp.Length}
	body, whole, err := readUpTo(resp.Body, e.config.MaxAnswerBuffer, resp.Length)
	if err != nil {
		_ = resp.Body.Close()
		f := failureOf(err)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			f = &connpool.Failure{Kind: connpool.OutOfTime, Written: true, Cause: err}
		}
		done(resultOf(f))
		return nil, f
	}
	a.body = body
	if whole {
		_ = resp.Body.Close()
		done(resultOfStatus(resp.Status))
		return a, nil
	}
	a.rest = &streamed{ReadCloser: resp.Body, done: done}
	return a, nil
}

// readUpTo reads at most limit bytes and reports whether that was all.
func readUpTo(from io.Reader, limit int, length int64) (body []byte, whole bool, err error) {
	size := limit + 1
	if length >= 0 && length <= int64(limit) {
		size = int(length) + 1
	}
	if length < 0 {
		size = firstRead
	}
	body = make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
		if len(body) > limit {
			return body, false, nil
		}
	}
}

// firstRead is the first buffer for an answer of unknown length, in bytes.
const firstRead = 4 << 10

// streamed frees the slot at the end of a streamed answer.
type streamed struct {
	io.ReadCloser
	done func(route.Result)
	cut  bool
}

// Read notes whether the answer was cut.
func (s *streamed) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		s.cut = true
	}
	return n, err
}

// Close ends the stream. It is called once.
func (s *streamed) Close() error {
	err := s.ReadCloser.Close()
	result := route.Unmeasured
	if s.cut {
		result = route.Failed
	}
	s.done(result)
	return err
}

func failureOf(err error) *connpool.Failure {
	var f *connpool.Failure
	if errors.As(err, &f) {
		return f
	}
	return &connpool.Failure{Kind: connpool.Lost, Written: true, Cause: err}
}

func resultOf(f *connpool.Failure) route.Result {
	switch f.Kind {
	case connpool.TargetRefused:
		return route.Refused
	case connpool.OutOfTime:
		return route.TimedOut
	case connpool.NoConnection, connpool.DialFailed:
		return route.NotSent
	case connpool.NotWritten:
		return route.Unmeasured
	default:
		return route.Failed
	}
}

// resultOfStatus counts server errors as failures of the target, so that a
// target that fails everything fast does not attract requests.
func resultOfStatus(status int) route.Result {
	if status >= http.StatusInternalServerError {
		return route.Failed
	}
	return route.Answered
}
