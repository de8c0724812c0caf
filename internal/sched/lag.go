package sched

import (
	"time"

	"redwingvale/internal/alarm"
)

// lagBook measures for how long members have been behind the configuration
// that is in force here.
type lagBook struct {
	// goals holds for each member that is behind the offset that it has yet to
	// reach.
	goals map[string]lagGoal
}

// lagGoal is an offset that was in force here at since and not at the member.
type lagGoal struct {
	offset int64
	since  time.Duration
}

func newLagBook() *lagBook { return &lagBook{goals: make(map[string]lagGoal)} }

// behind returns for how long a member has not reached an offset that is in
// force here, or 0. A member that reaches its goal gets a new one, so steady
// changes that each arrive in time never add up.
func (b *lagBook) behind(now time.Duration, instance string, theirs, ours int64) time.Duration {
	goal, open := b.goals[instance]
	if open && theirs < goal.offset {
		return now - goal.since
	}
	delete(b.goals, instance)
	if theirs < ours {
		b.goals[instance] = lagGoal{offset: ours, since: now}
	}
	return 0
}

// keep forgets the members that are not listed any more.
func (b *lagBook) keep(listed map[string]bool) {
	for instance := range b.goals {
		if !listed[instance] {
			delete(b.goals, instance)
		}
	}
}

// configReadings compares the configuration of each active member with ours.
func (d *decision) configReadings(now time.Duration) []alarm.ConfigReading {
	ours := d.config.InForceOffset()
	listed := make(map[string]bool)
	var out []alarm.ConfigReading
	for _, peer := range d.ownership.Peers(now) {
		instance := string(peer.Instance)
		if !peer.Voter || instance == d.sched.config.Instance {
			continue
		}
		listed[instance] = true
		out = append(out, alarm.ConfigReading{
			Instance: instance,
			Behind:   d.lags.behind(now, instance, peer.ConfigOffset, ours),
			Heard:    peer.SinceLastMessage <= logReachableFor,
		})
	}
	d.lags.keep(listed)
	return out
}
