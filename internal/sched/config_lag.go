package sched

import (
	"time"

	"redwingvale/internal/alarm"
)

// lagTracker measures how long members have lagged behind the configuration
// that is in force on this instance.
type lagTracker struct {
	// pending holds, for each member that lags, the offset that it has not
	// reached.
	pending map[string]pendingOffset
}

// pendingOffset is an offset that was in force on this instance at since, but
// not on the member.
type pendingOffset struct {
	offset int64
	since  time.Duration
}

func newLagTracker() *lagTracker { return &lagTracker{pending: make(map[string]pendingOffset)} }

// lag returns how long a member has not reached an offset that is in force on
// this instance, or 0. When the member reaches its pending offset, the
// measurement starts again, so frequent changes that each arrive in time do not
// add up.
func (t *lagTracker) lag(now time.Duration, instance string, memberOffset, localOffset int64) time.Duration {
	entry, open := t.pending[instance]
	if open && memberOffset < entry.offset {
		return now - entry.since
	}
	delete(t.pending, instance)
	if memberOffset < localOffset {
		t.pending[instance] = pendingOffset{offset: localOffset, since: now}
	}
	return 0
}

// retain drops the members that are no longer listed.
func (t *lagTracker) retain(listed map[string]bool) {
	for instance := range t.pending {
		if !listed[instance] {
			delete(t.pending, instance)
		}
	}
}

// configReadings compares the configuration of each active member with that of
// this instance.
func (d *decisionLoop) configReadings(now time.Duration) []alarm.ConfigReading {
	localOffset := d.config.InForceOffset()
	listed := make(map[string]bool)
	var out []alarm.ConfigReading
	for _, peer := range d.ownership.Peers(now) {
		instance := string(peer.Instance)
		if !peer.Voter || instance == d.sched.config.Instance {
			continue
		}
		listed[instance] = true
		out = append(out, alarm.ConfigReading{
			Instance:   instance,
			Behind:     d.configLags.lag(now, instance, peer.ConfigOffset, localOffset),
			Responding: peer.SinceLastMessage <= logReachableFor,
		})
	}
	d.configLags.retain(listed)
	return out
}
