package alarm

import (
	"sort"
	"time"
)

// Bounds of the core's memory.
const (
	// MaxConditions bounds the conditions that are tracked at a time. Further
	// ones are ignored until others end; the alarms raised by then point at the
	// cause.
	MaxConditions = 10_000
	// MaxCleared bounds the cleared alarms that are remembered.
	MaxCleared = 200
)

// Alarm is one raised alarm.
type Alarm struct {
	Cause    Cause
	Subject  string
	Severity Severity
	Detail   string
	Action   string
	// RaisedAt and ClearedAt are monotonic times of this process.
	RaisedAt  time.Duration
	ClearedAt time.Duration
	Cleared   bool
}

// Effect is an output of Core.Step: Raised or Cleared.
type Effect interface{ alarmEffect() }

// Raised states that a person has to act.
type Raised struct{ Alarm Alarm }

// Cleared states that the condition of a raised alarm has ended.
type Cleared struct{ Alarm Alarm }

func (Raised) alarmEffect()  {}
func (Cleared) alarmEffect() {}

type subject struct {
	cause Cause
	name  string
}

// condition tracks one subject of one rule.
type condition struct {
	since time.Duration
	// endedAt is when the condition ended, for a raised alarm.
	endedAt time.Duration
	present bool
	raised  bool
	alarm   Alarm
}

// Core raises and clears alarms from readings.
type Core struct {
	rules      []Rule
	conditions map[subject]*condition
	cleared    []Alarm
}

// NewCore returns a core that applies the rules of the table.
func NewCore() *Core {
	return &Core{rules: rules, conditions: make(map[subject]*condition)}
}

// Step evaluates one reading. Readings should be one second apart; a condition
// counts as uninterrupted between two readings that both show it.
func (c *Core) Step(now time.Duration, reading Reading) []Effect {
	var effects []Effect
	for _, rule := range c.rules {
		effects = append(effects, c.evaluate(now, rule, &reading)...)
	}
	return effects
}

// Raised returns the alarms that are raised now, by cause and subject.
func (c *Core) Raised() []Alarm {
	var out []Alarm
	for _, cond := range c.conditions {
		if cond.raised {
			out = append(out, cond.alarm)
		}
	}
	sort.Slice(out, func(i, j int) bool { return alarmBefore(out[i], out[j]) })
	return out
}

// Cleared returns the newest cleared alarms, oldest first.
func (c *Core) Cleared() []Alarm { return append([]Alarm(nil), c.cleared...) }

func (c *Core) evaluate(now time.Duration, rule Rule, reading *Reading) []Effect {
	var effects []Effect
	found := make(map[string]bool)
	for _, finding := range rule.find(reading) {
		if found[finding.Subject] {
			continue
		}
		found[finding.Subject] = true
		if alarm, raised := c.recordPresent(now, rule, finding); raised {
			effects = append(effects, Raised{alarm})
		}
	}
	for _, name := range c.subjects(rule.Cause) {
		if found[name] {
			continue
		}
		if alarm, cleared := c.recordAbsent(now, rule, subject{rule.Cause, name}); cleared {
			effects = append(effects, Cleared{alarm})
		}
	}
	return effects
}

// subjects returns the tracked subjects of a cause in ascending order.
func (c *Core) subjects(cause Cause) []string {
	var out []string
	for key := range c.conditions {
		if key.cause == cause {
			out = append(out, key.name)
		}
	}
	sort.Strings(out)
	return out
}

// recordPresent records that a condition holds and reports whether the alarm is
// due.
func (c *Core) recordPresent(now time.Duration, rule Rule, finding Finding) (Alarm, bool) {
	key := subject{rule.Cause, finding.Subject}
	cond, known := c.conditions[key]
	if !known {
		if len(c.conditions) >= MaxConditions {
			return Alarm{}, false
		}
		cond = &condition{since: now}
		c.conditions[key] = cond
	}
	cond.present = true
	cond.alarm.Detail = finding.Detail
	if cond.raised || now-cond.since < rule.For {
		return Alarm{}, false
	}
	cond.raised = true
	cond.alarm = newAlarm(now, rule, finding)
	return cond.alarm, true
}

// recordAbsent records that a condition does not hold and reports whether a
// raised alarm clears.
func (c *Core) recordAbsent(now time.Duration, rule Rule, key subject) (Alarm, bool) {
	cond := c.conditions[key]
	if !cond.raised {
		delete(c.conditions, key)
		return Alarm{}, false
	}
	if cond.present {
		cond.present = false
		cond.endedAt = now
	}
	if now-cond.endedAt < rule.ClearAfter {
		return Alarm{}, false
	}
	delete(c.conditions, key)
	cond.alarm.Cleared = true
	cond.alarm.ClearedAt = now
	c.cleared = append(c.cleared, cond.alarm)
	if len(c.cleared) > MaxCleared {
		c.cleared = c.cleared[1:]
	}
	return cond.alarm, true
}

func newAlarm(now time.Duration, rule Rule, finding Finding) Alarm {
	out := Alarm{
		Cause:    rule.Cause,
		Subject:  finding.Subject,
		Severity: rule.Severity,
		Detail:   finding.Detail,
		Action:   rule.Action,
		RaisedAt: now,
	}
	if finding.Severity != "" {
		out.Severity = finding.Severity
	}
	return out
}

func alarmBefore(a, b Alarm) bool {
	if a.Cause != b.Cause {
		return a.Cause < b.Cause
	}
	return a.Subject < b.Subject
}
