package ownership

import (
	"strconv"
	"time"
)

// versionKey names a proposal that is made once per version.
func (c *Core) versionKey(kind, id string) string {
	return kind + " " + strconv.FormatUint(c.members.version, 10) + " " + id
}

// raiseAlarms raises and clears the conditions that need a person.
func (c *Core) raiseAlarms(now time.Duration) {
	if c.heardMajority(now) || !c.joined || len(c.members.current().voters) == 0 || !c.logReadable(now) {
		c.voterless = now
	}
	lost := now-c.voterless > c.settings.ListLag+c.settings.RemoveAfter
	c.setAlarm(AlarmVotersLost, lost, "no majority of the voters answers or is proven gone")
	c.setAlarm(AlarmMembersExpired, c.members.awaiting, "records of the members stream have expired without a snapshot")
}

func (c *Core) setAlarm(kind AlarmKind, active bool, detail string) {
	if c.alarms[kind] == active {
		return
	}
	c.alarms[kind] = active
	c.emit(Alarm{Kind: kind, Active: active, Detail: detail})
}
