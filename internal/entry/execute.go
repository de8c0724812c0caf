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

// response is a target's response, either buffered completely in body or with a
// remainder to be streamed.
type response struct {
	status int
	header http.Header
	body   []byte
	// length is the length of the complete body in bytes, or -1 if unknown.
	length int64
	// remainder is nil when body is the complete body. Closing it releases the
	// slot.
	remainder io.ReadCloser
}

// attemptResult is the result of one attempt at one target.
type attemptResult struct {
	response *response
	failure  *connpool.Failure
	worker   spec.WorkerID
}

// deadlineContext returns a context that expires at the entry's monotonic time
// deadline. It is not cancelled when the caller disconnects: a request that was
// sent holds its slot until its response, and the response may have to be
// recorded for its idempotency key.
func (e *Entry) deadlineContext(deadline time.Duration) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.Background(), e.start.Add(deadline))
}

// execute acquires a slot and executes the request. The code of the error
// determines the outcome. A request that found no usable connection acquires
// another slot.
func (e *Entry) execute(caller context.Context, u *urgentCall) (*response, error) {
	if !e.dispatch.hasSlots(u.service) {
		rejection := code.New(code.NoCapacity, "no slot of service %s is granted", u.service)
		if resp, err := e.tryForward(u, rejection); err == nil || code.Of(err) != code.NoCapacity {
			return resp, err
		}
	}
	for try := 0; ; try++ {
		held, err := e.dispatch.acquire(caller, u.team, u.service, u.settings, u.deadline)
		if err != nil {
			return e.tryForward(u, err)
		}
		x := &execution{entry: e, call: u, state: held.state}
		resp, err := x.run(held.pick)
		e.dispatch.finish(held, err == nil)
		if err == nil || !x.unsent || try >= e.config.MaxRetries || e.config.Baseline {
			return resp, err
		}
	}
}

// execution is the state of one started request across its attempts.
type execution struct {
	entry    *Entry
	call     *urgentCall
	state    *serviceState
	attempts int
	avoid    []spec.WorkerID
	// unknownOutcome is the first failure after which the request may have run.
	unknownOutcome *connpool.Failure
	// unsent is set when no attempt may have run and the last one failed for
	// lack of a usable connection.
	unsent bool
}

// run makes attempts until one succeeds or no further attempt is allowed.
func (x *execution) run(pick route.Pick) (*response, error) {
	for {
		result := x.attempt(pick)
		if result.failure == nil {
			return result.response, nil
		}
		x.avoid = append(x.avoid, result.worker)
		x.recordFailure(result.failure)
		next, ok := x.pickRetry(result.failure)
		if !ok {
			x.unsent = x.unknownOutcome == nil && result.failure.Kind != connpool.TargetRefused
			return nil, x.requestError(result.failure)
		}
		pick = next
	}
}

// attempt makes one attempt, which is hedged if the request is idempotent.
func (x *execution) attempt(pick route.Pick) attemptResult {
	x.attempts++
	if x.call.idempotent && !x.entry.config.Baseline {
		return x.attemptHedged(pick)
	}
	return x.entry.attempt(x.call, x.state, pick)
}

// recordFailure records the first failure after which the request may have run.
func (x *execution) recordFailure(f *connpool.Failure) {
	if x.unknownOutcome == nil && f.Outcome() != code.NotRun {
		x.unknownOutcome = f
	}
}

// pickRetry takes a slot for another attempt if the request did not run or is
// idempotent. Retries of requests that were sent come out of the retry budget.
func (x *execution) pickRetry(f *connpool.Failure) (route.Pick, bool) {
	e := x.entry
	if x.attempts > e.config.MaxRetries || e.now() >= x.call.deadline {
		return route.Pick{}, false
	}
	notRun := f.Outcome() == code.NotRun
	if !e.mayRetry(x.call, notRun) {
		return route.Pick{}, false
	}
	if (!notRun || f.Kind == connpool.TargetRefused) && !e.config.Baseline && !e.dispatch.withdrawRetry(x.state) {
		return route.Pick{}, false
	}
	pick, ok := e.dispatch.pickAnother(x.state, x.avoid)
	if !ok && (f.Kind == connpool.NoConnection || f.Kind == connpool.NotWritten) {
		pick, ok = e.dispatch.pickAnother(x.state, nil)
	}
	if !ok {
		return route.Pick{}, false
	}
	if f.Kind == connpool.NoConnection {
		// Waiting for a connection does not count as an attempt; only the
		// deadline limits it.
		x.attempts--
	}
	invariant.Check(notRun || x.call.idempotent || e.config.Baseline, invariant.AtMostOnce,
		"retried a request that may have run, after %v", f)
	e.metrics.retries.Inc(1)
	return pick, true
}

// mayRetry reports whether the request may be sent again (section 8 of
// docs/design.md): it did not run, or it is idempotent. The baseline always
// retries.
func (e *Entry) mayRetry(u *urgentCall, notRun bool) bool {
	return notRun || u.idempotent || e.config.Baseline || e.mutations.alwaysRetry
}

// requestError returns the error of the request. Its outcome is not_run only
// if no attempt can have run.
func (x *execution) requestError(last *connpool.Failure) error {
	f := last
	if x.unknownOutcome != nil {
		f = x.unknownOutcome
	}
	err := code.New(codeOfFailure(f, x.entry.now() >= x.call.deadline), "%s after %d attempts", f.Kind, x.attempts)
	reported := code.Lookup(code.Of(err)).Outcome
	invariant.Check(reported != code.NotRun || x.unknownOutcome == nil, invariant.NotRunIsTrue,
		"reported a request as not run after %v", x.unknownOutcome)
	return err
}

// codeOfFailure returns the result code of a failure. late is set when the
// deadline of the request has passed.
func codeOfFailure(f *connpool.Failure, late bool) code.Code {
	switch f.Kind {
	case connpool.TargetRefused:
		return code.TargetRefused
	case connpool.Truncated:
		return code.AnswerCutShort
	case connpool.TimedOut:
		return code.TimeLimit
	case connpool.ConnectionLost:
		return code.AnswerLost
	default:
		if late {
			return code.WaitTimeExceeded
		}
		return code.NoTarget
	}
}

// attempt sends the request to the picked target and releases the slot at the
// end of the response.
func (e *Entry) attempt(u *urgentCall, s *serviceState, pick route.Pick) attemptResult {
	ctx, cancel := e.deadlineContext(u.deadline)
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
	out, f := e.readResponse(ctx, resp, done)
	return attemptResult{response: out, failure: f, worker: pick.Worker}
}

// readResponse reads a response up to the buffer size. done is called once, at
// the end of the response or its remainder.
func (e *Entry) readResponse(ctx context.Context, resp *connpool.Response, done func(route.Result)) (*response, *connpool.Failure) {
	out := &response{status: resp.Status, header: resp.Header, length: resp.Length}
	body, complete, err := readUpTo(resp.Body, e.config.MaxAnswerBuffer, resp.Length)
	if err != nil {
		_ = resp.Body.Close()
		f := failureOf(err)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			f = &connpool.Failure{Kind: connpool.TimedOut, Written: true, Cause: err}
		}
		done(resultOf(f))
		return nil, f
	}
	out.body = body
	if complete {
		_ = resp.Body.Close()
		done(resultOfStatus(resp.Status))
		return out, nil
	}
	out.remainder = &streamedBody{ReadCloser: resp.Body, done: done}
	return out, nil
}

// readUpTo reads until the end or until more than limit bytes were read, and
// reports whether the end was reached. length is the expected length, or -1.
func readUpTo(from io.Reader, limit int, length int64) (body []byte, complete bool, err error) {
	size := limit + 1
	if length >= 0 && length <= int64(limit) {
		size = int(length) + 1
	}
	if length < 0 {
		size = initialReadBytes
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

// initialReadBytes is the initial buffer size for a response of unknown length.
const initialReadBytes = 4 << 10

// streamedBody releases the slot at the end of a streamed response.
type streamedBody struct {
	io.ReadCloser
	done      func(route.Result)
	truncated bool
}

// Read records whether the response was truncated.
func (s *streamedBody) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		s.truncated = true
	}
	return n, err
}

// Close ends the stream and releases the slot. It must be called exactly once.
func (s *streamedBody) Close() error {
	err := s.ReadCloser.Close()
	result := route.Unmeasured
	if s.truncated {
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
	return &connpool.Failure{Kind: connpool.ConnectionLost, Written: true, Cause: err}
}

func resultOf(f *connpool.Failure) route.Result {
	switch f.Kind {
	case connpool.TargetRefused:
		return route.Refused
	case connpool.TimedOut:
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
// target that fails every request quickly does not attract more of them.
func resultOfStatus(status int) route.Result {
	if status >= http.StatusInternalServerError {
		return route.Failed
	}
	return route.Answered
}
