package sched

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"redwingvale/internal/alarm"
	"redwingvale/internal/config"
	"redwingvale/internal/group"
	"redwingvale/internal/journal"
	"redwingvale/internal/ownership"
	"redwingvale/internal/policy/firstfit"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

// firstRaised steps the alarm core with one reading a second and returns when
// the cause was raised first, or -1.
func firstRaised(length time.Duration, cause alarm.Cause, read func(now time.Duration) alarm.Reading) (time.Duration, alarm.Alarm) {
	core := alarm.NewCore()
	for now := time.Duration(0); now <= length; now += time.Second {
		reading := read(now)
		reading.Log.Reachable = reading.Log.SnapshotAge == 0
		reading.Settings = alarm.Settings{Retention: time.Hour, ClockRatePPM: clockRatePPM}
		for _, effect := range core.Step(now, reading) {
			if raised, ok := effect.(alarm.Raised); ok && raised.Alarm.Cause == cause {
				return now, raised.Alarm
			}
		}
	}
	return -1, alarm.Alarm{}
}

// clockReadings measures a clock of a given rate over calls of random delay.
func clockReadings(rate float64) func(now time.Duration) alarm.Reading {
	tracker := newClockRateTracker()
	random := rand.New(rand.NewPCG(1, 2))
	return func(now time.Duration) alarm.Reading {
		before := time.Duration(random.Int64N(int64(30 * time.Millisecond)))
		after := time.Duration(random.Int64N(int64(30 * time.Millisecond)))
		taken := now + before
		reading := time.Hour + time.Duration(float64(taken)*rate)
		tracker.addSample("w", "boot", clockSample{reading: reading, from: now, to: taken + after})
		return alarm.Reading{Clocks: tracker.readings(now)}
	}
}

// Guards against a clock outside the bound, in either direction, that raises no
// alarm, and against network delays that count as a rate.
func TestClockRateRaisesItsAlarm(t *testing.T) {
	c := qt.New(t)
	for _, rate := range []float64{1.003, 0.997} {
		at, raised := firstRaised(10*time.Minute, alarm.ClockRate, clockReadings(rate))
		c.Check(at >= 3*time.Minute && at <= 4*time.Minute, qt.IsTrue, qt.Commentf("raised at %s", at))
		c.Check(raised.Subject, qt.Equals, "w")
	}
	at, _ := firstRaised(30*time.Minute, alarm.ClockRate, clockReadings(1.0009))
	c.Check(at, qt.Equals, time.Duration(-1))
}

// Guards against a rate that is measured across a restart of the worker, or is
// kept after the worker has stopped reporting.
func TestRestartStartsNewClock(t *testing.T) {
	c := qt.New(t)
	tracker := newClockRateTracker()
	second := func(n int) clockSample {
		at := time.Duration(n) * time.Second
		return clockSample{reading: at, from: at, to: at}
	}
	tracker.addSample("w", "a", second(0))
	late := second(70)
	late.reading = 0
	tracker.addSample("w", "b", late)
	c.Assert(tracker.readings(late.to), qt.DeepEquals, []alarm.ClockReading{{ID: "w"}})
	c.Assert(tracker.readings(late.to+clockExpiry+1), qt.HasLen, 0)
}

// Guards against a lagging member that raises no alarm, and against an alarm
// about a member that applies frequent changes a few seconds late.
func TestLagRaisesItsAlarm(t *testing.T) {
	c := qt.New(t)
	lagging := func(delay time.Duration) func(time.Duration) alarm.Reading {
		tracker := newLagTracker()
		return func(now time.Duration) alarm.Reading {
			localOffset, memberOffset := int64(now/time.Second), int64((now-delay)/time.Second)
			behind := tracker.lag(now, "e2", memberOffset, localOffset)
			return alarm.Reading{Config: []alarm.ConfigReading{{Instance: "e2", Behind: behind, Responding: true}}}
		}
	}
	at, _ := firstRaised(30*time.Minute, alarm.ConfigLagging, lagging(5*time.Second))
	c.Assert(at, qt.Equals, time.Duration(-1))
	at, raised := firstRaised(30*time.Minute, alarm.ConfigLagging, lagging(time.Hour))
	c.Assert(at >= 71*time.Second && at <= 75*time.Second, qt.IsTrue, qt.Commentf("raised at %s", at))
	c.Assert(raised.Subject, qt.Equals, "e2")
}

// Guards against a job with a problem that raises no alarm, the wrong alarm,
// one alarm for each of its parts, or a ticket where its document requires a
// page.
func TestJobsRaiseTheirAlarms(t *testing.T) {
	c := qt.New(t)
	documents := documentIndex{config.Key{Team: "desk", Service: "drafts"}: parsedDocument(c)}
	job := func(kind string) group.JobProblem {
		id := spec.JobID{Team: "desk", Name: "j.part-3"}
		return group.JobProblem{Job: id, Service: "drafts", Kind: kind}
	}
	late, stuck, lost, watcher := job("revision"), job("revision"), job("revision"), job("watcher")
	late.WillMissDeadline = true
	stuck.NeverRunnable = "slots"
	lost.UnknownOutcome, watcher.UnknownOutcome = true, true
	for _, test := range []struct {
		problem  group.JobProblem
		cause    alarm.Cause
		due      time.Duration
		severity alarm.Severity
	}{
		{late, alarm.DeadlineMissed, 5 * time.Minute, alarm.Page},
		{stuck, alarm.NeverRunnable, time.Minute, alarm.Ticket},
		{lost, alarm.OutcomeUnknown, 0, alarm.Page},
		{watcher, alarm.OutcomeUnknown, 0, alarm.Ticket},
	} {
		at, raised := firstRaised(10*time.Minute, test.cause, func(time.Duration) alarm.Reading {
			return alarm.Reading{Jobs: []alarm.JobReading{jobReading(&documents, test.problem)}}
		})
		c.Check(at, qt.Equals, test.due)
		c.Check(raised.Subject, qt.Equals, "desk/j")
		c.Check(raised.Severity, qt.Equals, test.severity)
	}
}

// quarantinedGroup returns a decision loop that owns a group of three workers,
// of which the given ones are in quarantine according to the log.
func quarantinedGroup(quarantined ...string) *decisionLoop {
	options := group.DefaultOptions()
	options.Group, options.Instance, options.Incarnation = "g", "e1", 1
	g := &followedGroup{id: "g", core: group.New(options, firstfit.New()), quarantineReasons: make(map[spec.WorkerID]string)}
	var workers []group.WorkerInfo
	for _, id := range []spec.WorkerID{"a", "b", "c"} {
		workers = append(workers, group.WorkerInfo{Worker: spec.Worker{ID: id}})
	}
	g.core.Step(0, group.SetWorkers{Workers: workers})
	claim := &recordv1.Claim{Owner: "e1", OwnerIncarnation: 1}
	records := []*recordv1.GroupRecord{{Kind: &recordv1.GroupRecord_Claim{Claim: claim}}}
	for _, id := range quarantined {
		verdict := &recordv1.WorkerVerdict{Worker: id, Quarantined: true}
		records = append(records, &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_WorkerVerdict{WorkerVerdict: verdict}})
	}
	for i, record := range records {
		envelope := &recordv1.Envelope{
			Instance: "e1", Incarnation: 1, Sequence: uint64(i + 1), Epoch: uint64(min(i, 1)),
			Body: &recordv1.Envelope_Group{Group: record},
		}
		g.core.Step(0, group.RecordRead{Offset: int64(i), Envelope: envelope, Fresh: true})
	}
	return &decisionLoop{
		sched:  &Sched{config: Config{Instance: "e1"}},
		groups: map[spec.GroupID]*followedGroup{"g": g},
	}
}

// Guards against a rack in quarantine that raises no alarm, and against an
// alarm about another instance's group.
func TestQuarantineRaisesItsAlarm(t *testing.T) {
	c := qt.New(t)
	read := func(d *decisionLoop, owner spec.InstanceID) func(time.Duration) alarm.Reading {
		return func(time.Duration) alarm.Reading {
			reading := d.groupReading(ownership.Owner{Group: "g", Owner: owner})
			return alarm.Reading{Groups: []alarm.GroupReading{reading}}
		}
	}
	at, raised := firstRaised(10*time.Minute, alarm.GroupQuarantined, read(quarantinedGroup("a", "b"), "e1"))
	c.Assert(at, qt.Equals, 5*time.Minute)
	c.Assert(raised.Detail, qt.Equals, "2 of 3 workers are in quarantine")
	at, _ = firstRaised(10*time.Minute, alarm.GroupQuarantined, read(quarantinedGroup("a"), "e1"))
	c.Assert(at, qt.Equals, time.Duration(-1))
	at, _ = firstRaised(10*time.Minute, alarm.GroupQuarantined, read(quarantinedGroup("a", "b"), "e2"))
	c.Assert(at, qt.Equals, time.Duration(-1))
}

// Guards against a log outage that is measured without the snapshots of the
// groups that this instance owns, so that their records expire without an
// alarm.
func TestOldSnapshotRaisesItsAlarm(t *testing.T) {
	c := qt.New(t)
	d := quarantinedGroup()
	at, _ := firstRaised(time.Hour, alarm.LogOutage, func(now time.Duration) alarm.Reading {
		age, _ := oldestSnapshotOf(now, d.sortedGroups())
		return alarm.Reading{Log: alarm.LogReading{SnapshotAge: age}}
	})
	c.Assert(at, qt.Equals, 40*time.Minute+time.Second)
}

// Guards against rejected records that raise no alarm.
func TestFullJournalRaisesItsAlarm(t *testing.T) {
	c := qt.New(t)
	d := quarantinedGroup()
	d.sched.log = zap.NewNop()
	d.sched.appender = journal.NewAppender(nil, 1, 1, time.Second, nil)
	d.writer = journal.NewWriter(journal.DefaultSettings("e1", 1))
	d.pendingWrites = make(map[uint64]pendingWrite)
	job := &recordv1.JobSubmitted{Job: &recordv1.JobSpec{Payload: make([]byte, 64<<10)}}
	body := &recordv1.GroupRecord{Kind: &recordv1.GroupRecord_JobSubmitted{JobSubmitted: job}}
	for n := 0; n < maxRecordsToFill && !d.journalFull; n++ {
		envelope := &recordv1.Envelope{Body: &recordv1.Envelope_Group{Group: body}}
		d.write(0, envelope, pendingWrite{stream: "group/g"}, false)
	}
	c.Assert(d.journalFull, qt.IsTrue)
	at, _ := firstRaised(10*time.Minute, alarm.JournalOverflow, func(time.Duration) alarm.Reading {
		return alarm.Reading{Journal: d.journalReading()}
	})
	c.Assert(at, qt.Equals, 5*time.Minute)
}

// maxRecordsToFill bounds the records of 64 KiB that fill the journal.
const maxRecordsToFill = 10_000
