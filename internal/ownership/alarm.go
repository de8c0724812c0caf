package ownership

import (
	"strconv"
	"time"
)

// proposalKey returns the key of a proposal that is made once per version of the
// voter set.
func (c *Core) proposalKey(kind, id string) string {
	return kind + " " + strconv.FormatUint(c.members.version, 10) + " " + id
}

// updateAlarms raises and clears the alarms on conditions that require an
// operator.
func (c *Core) updateAlarms(now time.Duration) {
	if c.hasQuorum(now) || !c.joined || len(c.members.current().voters) == 0 || !c.logReadable(now) {
		c.noQuorumSince = now
	}
	lost := now-c.noQuorumSince > c.settings.ListLag+c.settings.RemoveAfter
	c.setAlarm(AlarmVotersLost, lost, "no majority of the voters responds or is proven gone")
	c.setAlarm(AlarmMembersExpired, c.members.awaitingSnapshot, "records of the members stream have expired without a snapshot")
}

func (c *Core) setAlarm(kind AlarmKind, active bool, detail string) {
	if c.alarms[kind] == active {
		return
	}
	c.alarms[kind] = active
	c.emit(Alarm{Kind: kind, Active: active, Detail: detail})
}
