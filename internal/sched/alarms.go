package sched

import (
	"time"

	"go.uber.org/zap"

	"redwingvale/internal/alarm"
)

// alarmPeriod is the time between two readings for the alarm rules.
const alarmPeriod = time.Second

// logReachableFor is how long the log counts as reachable after a read has
// reached the tail of the members stream.
const logReachableFor = 3 * time.Second

// clockRatePPM is the bound on the difference of clock rates, assumption A6 of
// the design page.
const clockRatePPM = 1000

// checkAlarms evaluates the alarm rules once a second.
func (d *decisionLoop) checkAlarms(now time.Duration) {
	if now-d.lastAlarmStep < alarmPeriod {
		return
	}
	d.lastAlarmStep = now
	d.updateConfigRank(now)
	for _, effect := range d.alarms.Step(now, d.reading(now)) {
		switch out := effect.(type) {
		case alarm.Raised:
			d.logAlarm("alarm_raised", out.Alarm)
		case alarm.Cleared:
			d.logAlarm("alarm_cleared", out.Alarm)
		}
	}
}

func (d *decisionLoop) logAlarm(name string, a alarm.Alarm) {
	d.sched.log.Warn(name,
		zap.String("cause", string(a.Cause)),
		zap.String("subject", a.Subject),
		zap.String("severity", string(a.Severity)),
		zap.String("detail", a.Detail),
		zap.String("action", a.Action))
}

func (d *decisionLoop) reading(now time.Duration) alarm.Reading {
	out := alarm.Reading{
		Log:     alarm.LogReading{Reachable: now-d.lastLogTail <= logReachableFor},
		Journal: d.journalReading(),
		Voters:  d.votersReading(now),
		Settings: alarm.Settings{
			Retention:    milliseconds(d.sched.config.LogRetentionS * 1000),
			ClockRatePPM: clockRatePPM,
		},
	}
	out.Log.SnapshotAge, _ = d.oldestSnapshot(now)
	out.Jobs = d.jobReadings()
	out.Clocks = d.clocks.readings(now)
	out.Config = d.configReadings(now)
	for _, owner := range d.ownership.Owners() {
		out.Groups = append(out.Groups, d.groupReading(owner))
	}
	return out
}

// votersReading counts the voters, and those whose last message is at most
// logReachableFor old.
func (d *decisionLoop) votersReading(now time.Duration) alarm.VotersReading {
	var out alarm.VotersReading
	for _, peer := range d.ownership.Peers(now) {
		if !peer.Voter {
			continue
		}
		out.Voters++
		if peer.SinceLastMessage <= logReachableFor {
			out.Reachable++
		}
	}
	return out
}
