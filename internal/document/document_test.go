package document_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"redwingvale/internal/code"
	"redwingvale/internal/document"
)

const base = `team = "desk"
service = "drafts"
region = "mu-north"
data_centres = ["a", "b"]
[urgent]
time_limit_ms = 10000
queue_limit = 80
[[deadline]]
kind = "revision"
milli_cpu = 1000
run_time_s = 60
`

func parse(c *qt.C, text string) *document.Document {
	doc, problems := document.Parse([]byte(text))
	c.Assert(problems, qt.HasLen, 0)
	return doc
}

// TestAllProblemsAreReportedAtOnce guards against a parser that stops at the
// first problem, or that reports a problem at the wrong line, without its value
// or without a remedy.
func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	c := qt.New(t)
	_, problems := document.Parse([]byte(`team = "a b"
servce = "drafts"
service = "drafts"
region = 5
data_centres = ["a", "a"]
never_lose = ["ghost"]
[urgent]
time_limit_ms = 20000
queue_limit = 2.5
[weights]
tail = 0.9
[[deadline]]
kind = "x"
slots = 9
restart = "never"
[[deadline]]
kind = "x"
slots = 1
run_time_s = 90000
posting_deadline = "25:00"
[quota]
slots = 4
`))
	var got []string
	for _, p := range problems {
		c.Check(p.Remedy, qt.Not(qt.Equals), "")
		got = append(got, fmt.Sprintf("%d %s %s", p.Line, p.Key, p.Value))
	}
	c.Assert(got, qt.DeepEquals, []string{
		`1 team "a b"`, `2 servce "drafts"`, `4 region 5`, `5 data_centres "a"`, `6 never_lose[0] "ghost"`,
		`8 urgent.time_limit_ms 20000`, `9 urgent.queue_limit 2.5`, `11 weights.tail `,
		`12 deadline[0].run_time_s `, `14 deadline[0].slots 9`, `15 deadline[0].restart "never"`,
		`17 deadline[1].kind "x"`, `20 deadline[1].posting_deadline "25:00"`,
	})
	c.Assert(code.Of(problems.Coded()), qt.Equals, code.BadDocument)
	c.Assert(problems[1].Remedy, qt.Contains, "service")
}

// TestParseNeverPanics guards against a panic, and against a result with
// neither or both of document and problems, on arbitrary and on almost valid
// input.
func TestParseNeverPanics(t *testing.T) {
	keys := strings.Split(base, "\n")
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.SampledFrom(append(keys, "[[urgent]]", "deadline = 3", "quota.slots = -1", "quota = {slots = 1}", "[a.b]", "x = [[1], {y = 2}]", "\x00")), 0, 14).Draw(t, "lines")
		doc, problems := document.Parse([]byte(strings.Join(lines, "\n")))
		if (doc == nil) == (len(problems) == 0) {
			t.Fatalf("document %v with problems %v", doc, problems)
		}
	})
}

// TestDefaults guards against defaults of the reference that the parser does
// not apply.
func TestDefaults(t *testing.T) {
	c := qt.New(t)
	doc := parse(c, base)
	c.Assert(doc.UTCOffset, qt.Equals, "+00:00")
	c.Assert(doc.Weights, qt.Equals, document.Weights{Tail: 0.5, Evictions: 0.5})
	c.Assert(doc.Quota.BorrowPercent, qt.Equals, int64(100))
	c.Assert(doc.Deadline[0].Restart, qt.Equals, document.FromCheckpoint)
	c.Assert(doc.Policy().TailWeight, qt.Equals, 0.5)
}

// TestEffect guards against a plan that shows a difference in text instead of
// its effect, or that shows a change where there is none.
func TestEffect(t *testing.T) {
	c := qt.New(t)
	old := parse(c, base)
	c.Assert(document.Effect(old, parse(c, "# a comment\n"+base)), qt.HasLen, 0)
	changed := strings.NewReplacer("10000", "4000", "= 80", "= 20", `"a", "b"`, `"b", "c"`, "= 60", "= 5400",
		`region = "mu-north"`, "region = \"mu-north\"\naccount_codes = [\"X1\"]\nnever_lose = [\"revision\"]").Replace(base)
	var got []string
	for _, change := range document.Effect(old, parse(c, changed)) {
		got = append(got, change.Text)
	}
	c.Assert(got, qt.DeepEquals, []string{
		"nothing new is placed in a; running tasks stay there until they end or are moved",
		"work may also be placed in c",
		"b is now the preferred data centre instead of a",
		"account code X1 stands for team desk",
		"urgent time limit falls from 10s to 4s: requests longer than that end with RW3005",
		"at most 20 requests wait per instance instead of 80: more are rejected with RW2001, and those that wait do so for a shorter time",
		"tasks of revision are first predicted to run 1h30m instead of 1m, until their real run time is learned",
		"the loss of a task of revision is reported with the highest severity",
	})
}

// TestEveryValueHasAnEffect guards against a key whose change has no effect
// text, by changing each value of a full document.
func TestEveryValueHasAnEffect(t *testing.T) {
	c := qt.New(t)
	full := base + "restart = \"from_start\"\nposting_deadline = \"06:00\"\n[[long_running]]\nkind = \"w\"\nslots = 1\nmax_moves_per_day = 3\n[quota]\nborrow = true\nborrow_percent = 10\nslots = 500\n"
	old := parse(c, full)
	for _, swap := range [][2]string{
		{"10000", "9000"}, {"= 80", "= 81"}, {"milli_cpu = 1000", "milli_cpu = 900"}, {"= 60", "= 61"}, {"from_start", "from_checkpoint"},
		{"06:00", "07:00"}, {"slots = 1\n", "slots = 2\n"}, {"day = 3", "day = 4"}, {"borrow = true", "borrow = false"}, {"percent = 10", "percent = 20"},
		{"slots = 500", "slots = 400"}, {"queue_limit", "target_p99_ms = 9\nqueue_limit"}, {"queue_limit", "idempotent_by_default = true\nqueue_limit"},
		{"[urgent]", "utc_offset = \"+04:00\"\n[urgent]"}, {"[quota]", "[weights]\ntail = 0.1\nevictions = 0.9\n[quota]"}, {"mu-north", "mu-south"}, {`"revision"`, `"other"`},
	} {
		changed := parse(c, strings.Replace(full, swap[0], swap[1], 1))
		c.Check(document.Effect(old, changed), qt.Not(qt.HasLen), 0, qt.Commentf("%q", swap))
	}
}

// TestAmbiguousCodeIsRefusedWithItsReason guards against an account code of two
// teams that is resolved to one of them.
func TestAmbiguousCodeIsRefusedWithItsReason(t *testing.T) {
	c := qt.New(t)
	withCode := func(team string) *document.Document {
		return parse(c, "account_codes = [\"F-1\"]\n"+strings.Replace(base, "desk", team, 1))
	}
	directory := document.NewDirectory([]*document.Document{withCode("north"), withCode("south")})
	_, err := directory.Resolve("F-1")
	c.Assert(code.Of(err), qt.Equals, code.AmbiguousAlias)
	c.Assert(err.Error(), qt.Contains, "an account code in north/drafts and an account code in south/drafts")
	_, err = directory.Resolve("F-2")
	c.Assert(code.Of(err), qt.Equals, code.UnknownTeam)
	team, err := directory.Resolve("north")
	c.Assert(err, qt.IsNil)
	c.Assert(string(team), qt.Equals, "north")
}

// TestNextPosting guards against a posting deadline on the wrong day or in the
// wrong time zone.
func TestNextPosting(t *testing.T) {
	c := qt.New(t)
	doc := parse(c, "utc_offset = \"+09:00\"\n"+base+"posting_deadline = \"05:30\"\n")
	at := func(text string) int64 {
		v, err := time.Parse(time.RFC3339, text)
		c.Assert(err, qt.IsNil)
		return v.UnixMilli()
	}
	c.Check(doc.NextPosting("revision", at("2026-03-01T05:29:00+09:00")), qt.Equals, at("2026-03-01T05:30:00+09:00"))
	c.Check(doc.NextPosting("revision", at("2026-03-01T05:30:00+09:00")), qt.Equals, at("2026-03-02T05:30:00+09:00"))
	c.Check(doc.NextPosting("revision", at("2026-03-01T23:00:00Z")), qt.Equals, at("2026-03-03T05:30:00+09:00"))
	c.Check(doc.NextPosting("none", 0), qt.Equals, int64(0))
}
