package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
)

// result is a response as the caller receives it.
type result struct {
	status  int
	code    string
	outcome string
	body    string
	header  http.Header
	err     error
}

func send(client *http.Client, method, url, id string, body string, headers ...string) result {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	r.Header.Set("X-Id", id)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(r)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	read, err := io.ReadAll(resp.Body)
	return result{
		status: resp.StatusCode, body: string(read), header: resp.Header, err: err,
		code: resp.Header.Get(codeHeader), outcome: resp.Header.Get(outcomeHeader),
	}
}

func callURL(e *testEntry, path string) string {
	return "http://" + e.Addr() + "/v1/teams/desk/services/draft/call/" + path
}

// Guards against a request or a response that is altered while it is relayed.
func TestCallIsRelayedUnchanged(t *testing.T) {
	c := qt.New(t)
	cl := newTestCluster(t, 2)
	e := cl.startEntry("a", nil)
	r := send(cl.client(), "POST", callURL(e, "x%2Fy/z?q=1&r=%20"), "id1", "hello", "Connection", "X-Hop", "X-Hop", "1")
	c.Assert(r.err, qt.IsNil)
	c.Assert(r.body, qt.Equals, "id1 POST /x%2Fy/z?q=1&r=%20 hello")
	c.Assert(r.status, qt.Equals, 200)
	c.Assert(r.code, qt.Equals, "RW0000")
	c.Assert(r.outcome, qt.Equals, "ran")
	c.Assert(r.header.Get("X-Target"), qt.Not(qt.Equals), "")
	c.Assert(cl.runCount("id1"), qt.Equals, 1)
}

// Guards against reporting a wrong outcome for a kind of target failure, and
// against retrying a non-idempotent request after it was written.
func TestOutcomeOfFailures(t *testing.T) {
	cases := []struct {
		name    string
		mode    int32
		code    code.Code
		runs    int
		outcome string
	}{
		{"reset", modeReset, code.AnswerLost, 1, "unknown"},
		{"half-close", modeHalfClose, code.AnswerLost, 1, "unknown"},
		{"cut", modeCut, code.AnswerCutShort, 1, "unknown"},
		{"unframed", modeNoLength, code.AnswerCutShort, 1, "unknown"},
		{"silent", modeUnresponsive, code.TimeLimit, 1, "unknown"},
		{"refused", modeNotRun, code.TargetRefused, 0, "not_run"},
	}
	cl := newTestCluster(t, 3)
	e := cl.startEntry("a", nil)
	client := cl.client()
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			cl.setModes(tc.mode)
			r := send(client, "POST", callURL(e, "x"), tc.name, "b", timeoutHeader, "0.4")
			c.Assert(r.err, qt.IsNil)
			c.Assert(r.code, qt.Equals, tc.code.String())
			c.Assert(r.outcome, qt.Equals, tc.outcome)
			c.Assert(cl.runCount(tc.name), qt.Equals, tc.runs)
			var body errorBody
			c.Assert(json.Unmarshal([]byte(r.body), &body), qt.IsNil)
			c.Assert(body.Outcome, qt.Equals, tc.outcome)
		})
	}
}

// Guards against failing an idempotent request that another target would have
// answered.
func TestIdempotentRequestIsRetried(t *testing.T) {
	c := qt.New(t)
	cl := newTestCluster(t, 2)
	e := cl.startEntry("a", nil)
	cl.targets["w000"].mode.Store(modeReset)
	for i := range 6 {
		r := send(cl.client(), "GET", callURL(e, "x"), "get", "")
		c.Assert(r.code, qt.Equals, "RW0000", qt.Commentf("request %d", i))
	}
}

// Guards against buffering or altering a long response, against one that
// appears complete although the target truncated it, and against a slot that is
// not released after a truncated stream.
func TestLongResponses(t *testing.T) {
	c := qt.New(t)
	cl := newTestCluster(t, 1)
	e := cl.startEntry("a", nil)
	target := cl.targets["w000"]
	target.longBodyBytes.Store(3 << 20)
	r := send(cl.client(), "POST", callURL(e, "long"), "l1", "")
	c.Assert(r.err, qt.IsNil)
	c.Assert(len(r.body), qt.Equals, 3<<20)
	target.mode.Store(modeCutStream)
	r = send(cl.client(), "POST", callURL(e, "long"), "l2", "")
	c.Assert(r.err, qt.IsNotNil)
	target.mode.Store(modeRespond)
	target.longBodyBytes.Store(0)
	cl.await("the slot of the cut stream", func() bool {
		return send(cl.client(), "POST", callURL(e, "x"), "l3", "").code == "RW0000"
	})
}

// Guards against invalid input that reaches a target or is rejected without a
// result code.
func TestBadInput(t *testing.T) {
	cl := newTestCluster(t, 1)
	e := cl.startEntry("a", func(config *Config) { config.MaxBodyBytes = 1000 })
	base := "http://" + e.Addr() + "/v1/teams/"
	job := `{"service":"draft","class":"deadline","tasks":1,"per_task":{"milli_cpu":1},"run_time_s":1`
	cases := []struct {
		name, method, path, body string
		code                     code.Code
		headers                  []string
	}{
		{"team", "POST", "nobody/services/draft/call/x", "", code.UnknownTeam, nil},
		{"alias", "POST", "K-2/services/draft/call/x", "", code.AmbiguousAlias, nil},
		{"service", "POST", "desk/services/none/call/x", "", code.UnknownService, nil},
		{"not urgent", "POST", "desk/services/batch/call/x", "", code.UnknownService, nil},
		{"id", "POST", "desk/services/-bad/call/x", "", code.BadID, nil},
		{"body", "POST", "desk/services/draft/call/x", strings.Repeat("x", 1001), code.BodyTooLarge, nil},
		{"timeout", "POST", "desk/services/draft/call/x", "", code.BadRequest, []string{timeoutHeader, "-1"}},
		{"timeout NaN", "POST", "desk/services/draft/call/x", "", code.BadRequest, []string{timeoutHeader, "NaN"}},
		{"key", "POST", "desk/services/draft/call/x", "", code.BadID, []string{keyHeader, strings.Repeat("k", 300)}},
		{"path", "GET", "desk/nothing", "", code.UnknownResource, nil},
		{"job id", "PUT", "desk/jobs/-x", job + `}`, code.BadID, nil},
		{"job json", "PUT", "desk/jobs/x", `{`, code.BadRequest, nil},
		{"job field", "PUT", "desk/jobs/x", job + `,"more":1}`, code.BadRequest, nil},
		{"job deadline", "PUT", "desk/jobs/x", job + `,"deadline":"2001-01-01T00:00:00Z"}`, code.DeadlinePast, nil},
		{"job resources", "PUT", "desk/jobs/x", strings.Replace(job, ":1}", ":-1}", 1) + `}`, code.BadResources, nil},
		{"job service", "PUT", "desk/jobs/x", strings.Replace(job, "draft", "none", 1) + `}`, code.UnknownService, nil},
		{"job", "GET", "desk/jobs/none", "", code.UnknownJob, nil},
		{"wait", "GET", "desk/jobs/none", "", code.BadRequest, []string{preferHeader, "wait=x"}},
	}
	client := cl.client()
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			r := send(client, tc.method, base+tc.path, "bad", tc.body, tc.headers...)
			c.Assert(r.err, qt.IsNil)
			c.Assert(r.code, qt.Equals, tc.code.String())
			c.Assert(r.outcome, qt.Equals, "not_run")
			c.Assert(cl.runCount("bad"), qt.Equals, 0)
			c.Assert(len(cl.owner.jobs), qt.Equals, 0)
		})
	}
}

// Guards against losing a job's submission, state or team alias between caller
// and rwsched, and against requiring fields that the service's document defines.
func TestJobs(t *testing.T) {
	c := qt.New(t)
	cl := newTestCluster(t, 1)
	e := cl.startEntry("a", nil)
	url := "http://" + e.Addr() + "/v1/teams/K-100/jobs/j1"
	body := `{"service":"draft","class":"deadline","kind":"night","tasks":2,"payload":"aGk="}`
	c.Assert(send(cl.client(), "PUT", url, "", body).code, qt.Equals, "RW0000")
	r := send(cl.client(), "GET", url, "", "", preferHeader, "wait=1")
	c.Assert(r.code, qt.Equals, "RW0000")
	c.Assert(r.header.Get(appliedPreference), qt.Equals, "wait=1")
	c.Assert(r.body, qt.Contains, `"team":"desk","job":"j1","state":"accepted"`)
	c.Assert(string(cl.owner.jobs["j1"].GetJob().GetPayload()), qt.Equals, "hi")
	cl.owner.mu.Lock()
	cl.owner.unavailable = true
	cl.owner.mu.Unlock()
	r = send(cl.client(), "PUT", url, "", body)
	c.Assert(r.code, qt.Equals, code.OwnerUnknown.String())
}
