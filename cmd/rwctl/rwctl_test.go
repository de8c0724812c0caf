package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"redwingvale/internal/code"
	operatorv1 "redwingvale/internal/gen/redwingvale/operator/v1"
	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
	"redwingvale/internal/operator"
	"redwingvale/internal/platform"
)

const docText = `team = "desk"
service = "drafts"
region = "mu-north"
data_centres = ["a"]
[urgent]
time_limit_ms = 8000
queue_limit = 80
`

// lossyLog is an in-memory log. The letters of outcomes say what happens to each
// append in turn: k stores it, l stores it and loses the response, d drops it.
type lossyLog struct {
	records []platform.LogRecord
	// first is the oldest offset that has not expired.
	first    int64
	outcomes string
	appends  int
	// beforeAppend is called before each append.
	beforeAppend func(l *lossyLog)
}

func (l *lossyLog) store(data []byte) {
	l.records = append(l.records, platform.LogRecord{Offset: int64(len(l.records)), Data: data})
}

func (l *lossyLog) Append(_ context.Context, _ platform.Stream, records [][]byte) error {
	if l.beforeAppend != nil {
		l.beforeAppend(l)
	}
	outcome := byte('k')
	if l.appends < len(l.outcomes) {
		outcome = l.outcomes[l.appends]
	}
	l.appends++
	if outcome != 'd' {
		for _, record := range records {
			l.store(record)
		}
	}
	if outcome != 'k' {
		return errors.New("no answer")
	}
	return nil
}

func (l *lossyLog) Read(_ context.Context, _ platform.Stream, from int64, _ int, _ time.Duration) (platform.ReadResult, error) {
	from = max(from, l.first)
	return platform.ReadResult{Records: l.records[from:], First: l.first, Next: int64(len(l.records)), AtTail: true}, nil
}

func (l *lossyLog) Streams(context.Context, string) ([]platform.Stream, error) {
	return []platform.Stream{platform.ConfigStream}, nil
}

// applyCount returns the number of stored Apply records, duplicates included.
func (l *lossyLog) applyCount() int { return len(l.records) }

// fakeInstance is an operator.Source with fixed responses. The config offsets
// that it reports grow by 1 with each call.
type fakeInstance struct {
	operator.Source
	name    string
	offsets map[string]int64
}

func (i *fakeInstance) Instance() string { return i.name }

func (i *fakeInstance) Services(context.Context, string, bool) (*operatorv1.ListServicesResponse, error) {
	out := &operatorv1.ListServicesResponse{}
	for name, offset := range i.offsets {
		out.Instances = append(out.Instances, &operatorv1.InstanceConfig{Instance: name, ConfigOffset: offset})
		i.offsets[name]++
	}
	return out, nil
}

func (i *fakeInstance) Status(context.Context) (*operatorv1.StatusResponse, error) {
	members := []*operatorv1.MemberStatus{{Instance: i.name, Incarnation: 3, State: "active"}}
	return &operatorv1.StatusResponse{Instance: i.name, State: "ready", Members: members, Log: &operatorv1.LogStatus{Readable: true}}, nil
}

func (i *fakeInstance) Explain(context.Context, *operatorv1.ExplainRequest) (*operatorv1.ExplainResponse, error) {
	return nil, code.New(code.UnknownJob, "desk/j")
}

func (i *fakeInstance) Alarms(context.Context, bool) ([]*operatorv1.Alarm, error) {
	return []*operatorv1.Alarm{{Cause: "no_majority", Severity: "page", Subject: "voters", Action: "act", Instance: i.name}}, nil
}

func (i *fakeInstance) Drain(context.Context, string, string) (*operatorv1.DrainResponse, error) {
	return &operatorv1.DrainResponse{State: "draining", GroupsLeft: 2}, nil
}

func (i *fakeInstance) RemoveMember(context.Context, *operatorv1.RemoveMemberRequest) (*operatorv1.RemoveMemberResponse, error) {
	return &operatorv1.RemoveMemberResponse{VotersVersion: 9}, nil
}

// testEnvironment runs command lines against a lossy log and one instance. Its
// clock advances by a second with each reading, and a command's context ends
// after maxPauses pauses or when a test ends it, so no wait takes real time.
type testEnvironment struct {
	*qt.C
	log      *lossyLog
	instance *fakeInstance
	address  string
	dir      string
	out, err bytes.Buffer
	clock    time.Duration
	ids      int
	// endCommand ends the context of the running command.
	endCommand context.CancelFunc
}

const maxPauses = 20

func newTestEnvironment(t *testing.T) *testEnvironment {
	b := &testEnvironment{C: qt.New(t), log: &lossyLog{}, instance: &fakeInstance{name: "i1"}, dir: t.TempDir()}
	path, handler := operator.Handler(b.instance)
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	server := httptest.NewServer(mux)
	b.Cleanup(server.Close)
	b.address = strings.TrimPrefix(server.URL, "http://")
	return b
}

func (b *testEnvironment) run(args ...string) int {
	b.out.Reset()
	b.err.Reset()
	e := newEnvironment(&b.out, &b.err)
	e.openLog = func(string, *http.Client) (platform.Log, error) { return b.log, nil }
	e.now = func() time.Duration { b.clock += time.Second; return b.clock }
	e.newID = func() string { b.ids++; return fmt.Sprintf("id-%d", b.ids) }
	pauses := 0
	e.pause = func(context.Context, time.Duration) {
		if pauses++; pauses > maxPauses {
			b.endCommand()
		}
	}
	e.limit = func(ctx context.Context, _ time.Duration) (context.Context, context.CancelFunc) {
		ctx, b.endCommand = context.WithCancel(ctx)
		return ctx, b.endCommand
	}
	return run(context.Background(), e, args)
}

func (b *testEnvironment) file(name, text string) string {
	path := filepath.Join(b.dir, name)
	b.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

func (b *testEnvironment) apply(more ...string) int {
	args := append([]string{"apply", "-log-url", "http://log", "-operators", b.address, "-author", "ana", "-reason", "test"}, more...)
	return b.run(append(args, b.file("d.toml", docText))...)
}

// Guards against a change that is applied twice, or reported as failed, when the
// append or only its response is lost.
func TestLostResponsesApplyOnce(t *testing.T) {
	for _, outcomes := range []string{"k", "l", "dk", "ddl", "ll"} {
		t.Run(outcomes, func(t *testing.T) {
			b := newTestEnvironment(t)
			b.log.outcomes = outcomes
			b.Assert(b.apply("-json"), qt.Equals, exitOK, qt.Commentf("%s", &b.err))
			var out []applied
			b.Assert(json.Unmarshal(b.out.Bytes(), &out), qt.IsNil)
			b.Assert(out[0].Revision, qt.Equals, uint64(1))
			// Repeats the command, as after an unknown outcome.
			b.Assert(b.apply("-json", "-apply-id", "id-1", "-base", "0"), qt.Equals, exitOK)
			b.Assert(json.Unmarshal(b.out.Bytes(), &out), qt.IsNil)
			b.Assert(out[0].Revision, qt.Equals, uint64(1))
			b.Assert(b.apply(), qt.Equals, exitOK)
			b.Assert(b.out.String(), qt.Contains, "revision 1 already")
			b.Assert(b.log.applyCount(), qt.Equals, 1)
		})
	}
}

// Guards against reporting success or failure when no outcome was read back.
func TestNoResponseIsUnknownOutcome(t *testing.T) {
	b := newTestEnvironment(t)
	b.log.outcomes = "ddddd"
	b.log.beforeAppend = func(l *lossyLog) {
		if l.appends == len(l.outcomes)-1 {
			b.endCommand()
		}
	}
	b.Assert(b.apply(), qt.Equals, exitUnsure)
	b.Assert(b.err.String(), qt.Contains, "-apply-id id-1 -base 0")
}

// Guards against a conflict error that does not name the author of the change
// that was accepted first.
func TestConflictNamesWinner(t *testing.T) {
	b := newTestEnvironment(t)
	b.log.beforeAppend = func(l *lossyLog) {
		l.beforeAppend = nil
		other := &recordv1.Apply{ApplyId: "other", Team: "desk", Service: "drafts", Document: []byte(docText), Author: "ben"}
		_ = l.Append(context.Background(), platform.ConfigStream, [][]byte{mustMarshal(b, other)})
	}
	b.Assert(b.apply(), qt.Equals, exitConflict)
	b.Assert(b.err.String(), qt.Contains, "RW6001")
	b.Assert(b.err.String(), qt.Contains, "ben made revision 1 of desk/drafts first")
}

// Guards against a wait that ends too early, or that does not name the lagging
// instances.
func TestWaitNamesLaggingInstances(t *testing.T) {
	b := newTestEnvironment(t)
	b.instance.offsets = map[string]int64{"i1": -3, "i2": -5}
	b.Assert(b.apply("-wait"), qt.Equals, exitOK, qt.Commentf("%s", &b.err))
	b.Assert(b.out.String(), qt.Contains, "in force on all active instances")

	b = newTestEnvironment(t)
	b.instance.offsets = map[string]int64{"i1": 5, "i2": -1 << 40}
	b.Assert(b.apply("-wait"), qt.Equals, exitNotInForce)
	b.Assert(b.err.String(), qt.Contains, "not in force on: i2")
}

// Guards against validate and plan passing a faulty document in CI, and against
// output that CI cannot parse.
func TestValidateAndPlan(t *testing.T) {
	b := newTestEnvironment(t)
	good := b.file("good.toml", docText)
	b.Assert(b.run("validate", b.dir), qt.Equals, exitOK)
	b.Assert(b.run("plan", "-against", b.dir, "-exit-code", good), qt.Equals, exitOK)
	b.Assert(b.out.String(), qt.Contains, "no change")
	changed := filepath.Join(t.TempDir(), "new.toml")
	b.Assert(os.WriteFile(changed, []byte(strings.Replace(docText, "8000", "4000", 1)), 0o600), qt.IsNil)
	b.Assert(b.run("plan", "-against", b.dir, "-exit-code", changed), qt.Equals, exitFindings)
	b.Assert(b.out.String(), qt.Contains, "falls from 8s to 4s")

	b.file("bad.toml", strings.Replace(docText, "desk", "other", 1)+"speed = 3\n")
	b.file("twin.toml", docText)
	b.Assert(b.run("validate", "-json", b.dir), qt.Equals, exitInvalid)
	var out struct {
		Valid bool
		Files []struct {
			Problems []struct{ Key, Remedy string }
		}
	}
	b.Assert(json.Unmarshal(b.out.Bytes(), &out), qt.IsNil)
	b.Assert(out.Valid, qt.IsFalse)
	b.Assert(out.Files, qt.HasLen, 3)
	b.Assert(out.Files[0].Problems[0].Key, qt.Equals, "urgent.speed")
	b.Assert(out.Files[2].Problems[0].Key, qt.Equals, "service")
}

// Guards against a wrong precedence of flags, environment and settings file, and
// against silently ignoring an unknown key.
func TestSettings(t *testing.T) {
	b := newTestEnvironment(t)
	file := b.file("rwctl.conf", "operators = [\""+b.address+"\", \"127.0.0.1:1\"]\nauthor = \"ana\"\n")
	b.Assert(b.run("status", "-config", file), qt.Equals, exitOK, qt.Commentf("%s", &b.err))
	b.Assert(b.out.String(), qt.Contains, "127.0.0.1:1")
	t.Setenv("REDWINGVALE_OPERATORS", b.address)
	b.Assert(b.run("status", "-config", file), qt.Equals, exitOK)
	b.Assert(b.out.String(), qt.Not(qt.Contains), "127.0.0.1:1")
	b.Assert(b.run("status", "-operators", "127.0.0.1:1"), qt.Equals, exitUnreachable)
	b.Assert(b.run("status", "-config", b.file("bad.conf", "speed = 1\n")), qt.Equals, exitUsage)
	b.Assert(b.err.String(), qt.Contains, "unknown key speed")
	b.Assert(b.run("status", "-bogus"), qt.Equals, exitUsage)
	b.Assert(b.run(), qt.Equals, exitUsage)
}

// Guards against wrong exit codes and invalid output of the commands that query
// the instances.
func TestInstanceCommands(t *testing.T) {
	b := newTestEnvironment(t)
	t.Setenv("REDWINGVALE_OPERATORS", b.address)
	t.Setenv("REDWINGVALE_AUTHOR", "ana")
	t.Setenv("REDWINGVALE_LOG_URL", "http://log")
	b.Assert(b.apply(), qt.Equals, exitOK)
	for _, test := range []struct {
		line string
		exit int
		want string
	}{
		{"status -groups", exitOK, "ready"},
		{"status -services", exitOK, "REVISION"},
		{"explain desk/j", exitNotFound, ""},
		{"explain desk", exitUsage, ""},
		{"alarms", exitOK, "page no_majority voters"},
		{"alarms -exit-code", exitFindings, "act"},
		{"drain -reason x i1", exitOK, "draining, 2 groups"},
		{"drain i1", exitUsage, ""},
		{"drain -reason x i9", exitNotFound, ""},
		{"members list", exitOK, "active"},
		{"members remove -reason x i2", exitUsage, ""},
		{"members remove -reason x -incarnation 4 i2", exitOK, "version 9"},
		{"members remove -reason x -incarnation 4 i1", exitUsage, ""},
		{"audit -since 24h", exitOK, "accepted as revision 1"},
		{"audit -actor ben", exitOK, "note:"},
		{"audit -since yesterday", exitUsage, ""},
	} {
		b.Check(b.run(strings.Fields(test.line)...), qt.Equals, test.exit, qt.Commentf("%s: %s", test.line, &b.err))
		b.Check(b.out.String(), qt.Contains, test.want, qt.Commentf("%s", test.line))
	}
	for _, line := range []string{"status -json", "alarms -json", "members list -json", "audit -json", "drain -json -reason x i1"} {
		b.Check(b.run(strings.Fields(line)...), qt.Equals, exitOK)
		b.Check(json.Valid(b.out.Bytes()), qt.IsTrue, qt.Commentf("%s", line))
	}
}

// Guards against a configuration that can no longer be changed after the log has
// lost it, and against a restore that overwrites one that is not lost.
func TestRestore(t *testing.T) {
	b := newTestEnvironment(t)
	b.Assert(b.apply(), qt.Equals, exitOK)
	restore := []string{"restore", "-log-url", "http://log", "-operators", b.address, "-author", "ana", "-reason", "lost", b.dir}
	b.Assert(b.run(restore...), qt.Equals, exitConflict)
	b.log.first = 1
	b.Assert(b.apply(), qt.Equals, exitUnreachable)
	b.instance.offsets = map[string]int64{"i1": -1, "i2": 0}
	b.Assert(b.run(restore...), qt.Equals, exitConflict)
	b.Assert(b.err.String(), qt.Contains, "instance i2 has the whole configuration")
	b.instance.offsets = map[string]int64{"i1": -1}
	b.log.outcomes = "kdl"
	b.Assert(b.run(restore...), qt.Equals, exitOK, qt.Commentf("%s", &b.err))
	b.Assert(b.log.records, qt.HasLen, 2)
	b.file("d.toml", strings.Replace(docText, "8000", "4000", 1))
	b.Assert(b.run("apply", "-log-url", "http://log", "-author", "ana", "-reason", "next", b.dir), qt.Equals, exitOK)
	b.Assert(b.out.String(), qt.Contains, "falls from 8s to 4s")
}
