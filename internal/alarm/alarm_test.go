package alarm

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	seedFlag  = flag.Uint64("seed", envNumber("REDWINGVALE_SEED", 1), "seed of the random run")
	stepsFlag = flag.Uint64("steps", envNumber("REDWINGVALE_STEPS", 500_000), "seconds of the random run")
)

func envNumber(name string, fallback uint64) uint64 {
	v, err := strconv.ParseUint(os.Getenv(name), 10, 64)
	if err != nil {
		return fallback
	}
	return v
}

func healthy() Reading {
	return Reading{
		Log:      LogReading{Reachable: true, SnapshotAge: time.Hour},
		Voters:   VotersReading{Reachable: 7, Voters: 7},
		Groups:   []GroupReading{{ID: "g1", Owned: true, Workers: 8}, {ID: "g2", Owned: true, Workers: 8, Quarantined: 1}},
		Clocks:   []ClockReading{{ID: "w1", RatePPM: 20}},
		Config:   []ConfigReading{{Instance: "i1", Responding: true}, {Instance: "i2", Responding: true}},
		Settings: Settings{Retention: 24 * time.Hour, ClockRatePPM: 1000},
	}
}

// setCondition makes the condition of each cause true in a reading. A log
// outage also hides the conditions of other causes, as it does in production.
var setCondition = map[Cause]func(r *Reading){
	LogOutage: func(r *Reading) {
		r.Log = LogReading{SnapshotAge: 13 * time.Hour}
	},
	NoMajority:       func(r *Reading) { r.Voters.Reachable = 3 },
	GroupUnowned:     func(r *Reading) { r.Groups[0].Owned = false },
	DeadlineMissed:   func(r *Reading) { r.Jobs = append(r.Jobs, JobReading{ID: "t/a", CannotMeetDeadline: true}) },
	NeverRunnable:    func(r *Reading) { r.Jobs = append(r.Jobs, JobReading{ID: "t/b", NeverRunnable: "slots"}) },
	OutcomeUnknown:   func(r *Reading) { r.Jobs = append(r.Jobs, JobReading{ID: "t/c", UnknownOutcome: true}) },
	GroupQuarantined: func(r *Reading) { r.Groups[1].Quarantined = 5 },
	ClockRate:        func(r *Reading) { r.Clocks[0].RatePPM = 1500 },
	ConfigLagging:    func(r *Reading) { r.Config[1].Behind = 12 * time.Second },
	JournalOverflow:  func(r *Reading) { r.Journal.Full = true },
}

func raisedIn(effects []Effect) []Alarm {
	var out []Alarm
	for _, effect := range effects {
		if e, ok := effect.(Raised); ok {
			out = append(out, e.Alarm)
		}
	}
	return out
}

// Guards against a rule that raises too early, twice, under another cause, or
// that never clears.
func TestEachAlarmIsRaisedOnceWhenDue(t *testing.T) {
	for _, rule := range Rules() {
		t.Run(string(rule.Cause), func(t *testing.T) {
			c := qt.New(t)
			core := NewCore()
			now := time.Duration(0)
			episode := func(length time.Duration, bad bool) (raised []Alarm, cleared int) {
				for end := now + length; now < end; now += time.Second {
					r := healthy()
					if bad {
						setCondition[rule.Cause](&r)
					}
					effects := core.Step(now, r)
					raised = append(raised, raisedIn(effects)...)
					cleared += len(effects) - len(raisedIn(effects))
				}
				return raised, cleared
			}
			if rule.For > 0 {
				raised, _ := episode(rule.For, true)
				c.Assert(raised, qt.HasLen, 0)
				episode(time.Second, false)
			}
			raised, _ := episode(3*rule.For+time.Minute, true)
			c.Assert(raised, qt.HasLen, 1)
			c.Assert(raised[0].Cause, qt.Equals, rule.Cause)
			c.Assert(raised[0].Action, qt.Equals, rule.Action)
			c.Assert(core.Raised(), qt.HasLen, 1)
			if rule.ClearAfter > 0 {
				_, cleared := episode(rule.ClearAfter-time.Second, false)
				again, _ := episode(time.Minute, true)
				c.Assert(cleared+len(again), qt.Equals, 0)
			}
			_, cleared := episode(rule.ClearAfter+2*time.Second, false)
			c.Assert(cleared, qt.Equals, 1)
			c.Assert(core.Raised(), qt.HasLen, 0)
			c.Assert(core.Cleared(), qt.HasLen, 1)
		})
	}
}

// Guards against a ticket instead of a page for a job of a kind that its
// document lists in never_lose.
func TestMustNotLosePages(t *testing.T) {
	c := qt.New(t)
	r := healthy()
	r.Jobs = []JobReading{{ID: "t/a", UnknownOutcome: true, MustNotLose: true}, {ID: "t/b", UnknownOutcome: true}}
	raised := raisedIn(NewCore().Step(0, r))
	c.Assert(raised, qt.HasLen, 2)
	c.Assert(raised[0].Severity, qt.Equals, Page)
	c.Assert(raised[1].Severity, qt.Equals, Ticket)
}

// episode is a period in which one cause's condition holds.
type episode struct {
	end, next time.Duration
}

// noise generates short episodes of each condition, which end before the rule's
// time has passed.
type noise struct {
	rng      *rand.Rand
	episodes map[Cause]*episode
	// due lists the causes that get one long episode, and when.
	due    map[Cause]time.Duration
	counts map[Cause]int
}

func (n *noise) reading(now time.Duration) Reading {
	r := healthy()
	r.Log.SnapshotAge = time.Duration(n.rng.Int64N(int64(11 * time.Hour)))
	for _, rule := range rules {
		e := n.episodes[rule.Cause]
		if start, planned := n.due[rule.Cause]; planned && now == start {
			e.end = now + rule.For + 2*time.Minute
			e.next = e.end + rule.ClearAfter + time.Minute
		}
		if now >= e.next && now >= e.end && rule.For > 0 {
			e.end = now + time.Duration(n.rng.Int64N(int64(rule.For/time.Second)))*time.Second
			e.next = e.end + time.Second + time.Duration(n.rng.Int64N(7200))*time.Second
			n.counts[rule.Cause]++
		}
		if now < e.end {
			setCondition[rule.Cause](&r)
		}
	}
	return r
}

func newNoise(seed uint64) *noise {
	n := &noise{rng: rand.New(rand.NewPCG(seed, 2)), episodes: map[Cause]*episode{}, due: map[Cause]time.Duration{}, counts: map[Cause]int{}}
	for _, rule := range rules {
		n.episodes[rule.Cause] = &episode{next: time.Duration(n.rng.Int64N(3600)) * time.Second}
	}
	return n
}

// Guards against alarms about restarts, load waves and short log outages over
// days, and against a due alarm that the noise hides or repeats.
func TestRandomRuns(t *testing.T) {
	const day = 24 * time.Hour
	c := qt.New(t)
	core := NewCore()
	n := newNoise(*seedFlag)
	raised := map[Cause]int{}
	episodes := 0
	for step := uint64(0); step < *stepsFlag; step++ {
		now := time.Duration(step) * time.Second
		for _, alarm := range raisedIn(core.Step(now, n.reading(now))) {
			raised[alarm.Cause]++
			episodes++
			c.Assert(now >= day, qt.IsTrue, qt.Commentf("%s was raised on the ordinary day at %s", alarm.Cause, now))
		}
		if now == day {
			// From the second day on each cause becomes due once. The log
			// outage is last, because it ends the conditions of other causes.
			for i, rule := range rules {
				at := day + time.Duration(len(rules)-i)*time.Hour
				n.due[rule.Cause] = at
				*n.episodes[rule.Cause] = episode{end: now, next: at + time.Second}
			}
		}
	}
	if *stepsFlag < uint64(2*day/time.Second) {
		return
	}
	for _, rule := range rules {
		c.Check(raised[rule.Cause], qt.Equals, 1, qt.Commentf("%s after %d short episodes", rule.Cause, n.counts[rule.Cause]))
	}
	t.Logf("steps=%d short episodes=%v raised=%d", *stepsFlag, n.counts, episodes)
}

// Guards against a rule that differs from its row on the operators' page.
func TestPageMatchesRules(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/alarms.md")
	c.Assert(err, qt.IsNil)
	var got, want []string
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| `") {
			got = append(got, line)
		}
	}
	for _, r := range Rules() {
		want = append(want, fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s |", r.Cause, r.Condition, r.For, r.Severity, r.Action, r.Clears))
	}
	c.Assert(got, qt.DeepEquals, want)
}
