package sched

import (
	"time"

	"go.uber.org/zap"

	"redwingvale/internal/alarm"
)

// alarmPeriod is the time between two readings for the alarm rules.
const alarmPeriod = time.Second

// logReachableFor is how old the last read that reached the tail of the
// members stream may be while the log counts as reachable.
const logReachableFor = 3 * time.Second

// clockRatePPM is the bound of assumption A6 of the design page.
const clockRatePPM = 1000

// checkAlarms gives the alarm rules a reading once a second.
func (d *decision) checkAlarms(now time.Duration) {
	if now-d.lastAlarmStep < alarmPeriod {
		return
	}
	d.lastAlarmStep = now
	d.tellConfigRank(now)
	for _, effect := range d.alarms.Step(now, d.reading(now)) {
		switch out := effect.(type) {
		case alarm.Raised:
			d.logAlarm("alarm_raised", out.Alarm)
		case alarm.Cleared:
			d.logAlarm("alarm_cleared", out.Alarm)
		}
	}
}

func (d *decision) logAlarm(name string, a alarm.Alarm) {
	d.sched.log.Warn(name,
		zap.String("cause", string(a.Cause)),
		zap.String("subject", a.Subject),
		zap.String("severity", string(a.Severity)),
		zap.String("detail", a.Detail),
		zap.String("action", a.Action))
}

func (d *decision) reading(now time.Duration) alarm.Reading {
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

// votersReading counts the voters that answered a heartbeat lately.
func (d *decision) votersReading(now time.Duration) alarm.VotersReading {
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
