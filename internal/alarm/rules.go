package alarm

import (
	"fmt"
	"time"
)

// Severity states how soon a person must act.
type Severity string

// The severities.
const (
	// Page requires a person to act at once.
	Page Severity = "page"
	// Ticket requires a person to act on the next working day.
	Ticket Severity = "ticket"
)

// Cause names a rule.
type Cause string

// The causes.
const (
	LogOutage        Cause = "log_outage_long"
	NoMajority       Cause = "no_majority"
	GroupUnowned     Cause = "group_unowned"
	DeadlineMissed   Cause = "deadline_at_risk"
	NeverRunnable    Cause = "job_never_runnable"
	OutcomeUnknown   Cause = "task_outcome_unknown"
	GroupQuarantined Cause = "group_quarantined"
	ClockRate        Cause = "clock_rate_exceeded"
	ConfigLagging    Cause = "config_not_in_force"
	JournalOverflow  Cause = "journal_full"
)

// Bounds of the conditions.
const (
	// ConfigBound is the time within which a change must be in force.
	ConfigBound = 11 * time.Second
	// quarantinedShare is the share of a group's workers in quarantine above
	// which the cause is likely outside the workers.
	quarantinedShare = 0.5
)

// Finding is one subject to which a rule's condition applies now.
type Finding struct {
	Subject string
	Detail  string
	// Severity replaces the rule's severity when set.
	Severity Severity
}

// Rule is one row of the table.
type Rule struct {
	Cause Cause
	// Condition, Action and Clears are shown to people and in docs/alarms.md.
	Condition string
	// For is how long the condition must hold without interruption.
	For time.Duration
	// ClearAfter is how long the condition must be absent before the alarm
	// clears.
	ClearAfter time.Duration
	Severity   Severity
	Action     string
	Clears     string
	find       func(r *Reading) []Finding
}

// Rules returns the table in the order of docs/alarms.md.
func Rules() []Rule { return rules }

var rules = []Rule{
	{
		Cause:      LogOutage,
		Condition:  "the log cannot be reached and the newest snapshot is older than half of the retention",
		For:        10 * time.Minute,
		ClearAfter: time.Minute,
		Severity:   Page,
		Action:     "Restore the log service, or have its retention extended, before the rest of the retention has passed: records that expire unread are lost.",
		Clears:     "when the log can be reached and a snapshot was repeated",
		find:       findLogOutage,
	},
	{
		Cause:      NoMajority,
		Condition:  "the log can be reached but no majority of the voters answers",
		For:        3 * time.Minute,
		ClearAfter: 30 * time.Second,
		Severity:   Page,
		Action:     "Check that the voters that do not answer are really gone, then confirm each with `rwctl members remove`.",
		Clears:     "when a majority answers",
		find:       findNoMajority,
	},
	{
		Cause:      GroupUnowned,
		Condition:  "no member decides for a worker group and the log can be reached",
		For:        3 * time.Minute,
		ClearAfter: 30 * time.Second,
		Severity:   Page,
		Action:     "Look at `rwctl status` for members that are missing or draining; start an instance or remove a dead member.",
		Clears:     "when a member decides for the group",
		find:       findUnowned,
	},
	{
		Cause:      DeadlineMissed,
		Condition:  "a job cannot meet its deadline with any placement",
		For:        5 * time.Minute,
		ClearAfter: 5 * time.Minute,
		Severity:   Page,
		Action:     "Look at `rwctl explain` for the job: raise the quota, cancel other work, add workers, or move the deadline.",
		Clears:     "when the job can meet its deadline again or has ended",
		find:       findDeadline,
	},
	{
		Cause:      NeverRunnable,
		Condition:  "a job that was accepted can never run any more, because the configuration or the workers changed",
		For:        time.Minute,
		ClearAfter: time.Minute,
		Severity:   Ticket,
		Action:     "Undo the change of configuration with `rwctl apply`, or cancel the job and submit it with smaller tasks.",
		Clears:     "when a task of the job fits again or the job has ended",
		find:       findNeverRunnable,
	},
	{
		Cause:      OutcomeUnknown,
		Condition:  "a task that must not be repeated was lost and nobody knows whether it finished",
		For:        0,
		ClearAfter: 0,
		Severity:   Ticket,
		Action:     "Find out from the job's own output whether the task finished, then submit a new job for what is missing. Page for kinds in never_lose.",
		Clears:     "when the job is forgotten after its keeping time",
		find:       findOutcomeUnknown,
	},
	{
		Cause:      GroupQuarantined,
		Condition:  "more than half of a group's workers are in quarantine",
		For:        5 * time.Minute,
		ClearAfter: 5 * time.Minute,
		Severity:   Page,
		Action:     "Look for a common cause in the rack: network, storage or a bad image. `rwctl explain -worker` names the failures.",
		Clears:     "when probes have returned at least half of the workers to service",
		find:       findQuarantined,
	},
	{
		Cause:      ClockRate,
		Condition:  "the clock of a worker or member runs faster or slower than the bound clock_rate_ppm",
		For:        2 * time.Minute,
		ClearAfter: 10 * time.Minute,
		Severity:   Page,
		Action:     "Take the machine out of service: leases on it are no longer safe. Repair its clock before it returns.",
		Clears:     "when the rate was within the bound for ten minutes or the machine is gone",
		find:       findClock,
	},
	{
		Cause:      ConfigLagging,
		Condition:  "a member that answers has not had a newer configuration in force for over 11 s",
		For:        time.Minute,
		ClearAfter: 10 * time.Second,
		Severity:   Ticket,
		Action:     "Check whether the member can reach the log; if it can, drain and restart it.",
		Clears:     "when the member has the newest configuration in force or is gone",
		find:       findConfig,
	},
	{
		Cause:      JournalOverflow,
		Condition:  "the journal's buffer is full and records are rejected",
		For:        5 * time.Minute,
		ClearAfter: time.Minute,
		Severity:   Page,
		Action:     "Check the log service: it is down or slower than the load. New jobs are rejected until it recovers; urgent requests continue.",
		Clears:     "when records are taken again",
		find:       findJournal,
	},
}

func findLogOutage(r *Reading) []Finding {
	if r.Log.Reachable || r.Settings.Retention <= 0 || r.Log.SnapshotAge <= r.Settings.Retention/2 {
		return nil
	}
	left := max(r.Settings.Retention-r.Log.SnapshotAge, 0)
	return []Finding{{Subject: "log", Detail: fmt.Sprintf("records expire unless the log returns within %s", left.Round(time.Minute))}}
}

func findNoMajority(r *Reading) []Finding {
	if !r.Log.Reachable || r.Voters.Voters == 0 || 2*r.Voters.Reachable > r.Voters.Voters {
		return nil
	}
	return []Finding{{Subject: "voters", Detail: fmt.Sprintf("%d of %d voters answer", r.Voters.Reachable, r.Voters.Voters)}}
}

func findUnowned(r *Reading) []Finding {
	var out []Finding
	for _, g := range r.Groups {
		if !g.Owned && r.Log.Reachable {
			out = append(out, Finding{Subject: g.ID, Detail: "the group has no owner"})
		}
	}
	return out
}

func findDeadline(r *Reading) []Finding {
	var out []Finding
	for _, j := range r.Jobs {
		if j.CannotMeetDeadline && j.NeverRunnable == "" {
			out = append(out, Finding{Subject: j.ID, Detail: "kind " + j.Kind})
		}
	}
	return out
}

func findNeverRunnable(r *Reading) []Finding {
	var out []Finding
	for _, j := range r.Jobs {
		if j.NeverRunnable != "" {
			out = append(out, Finding{Subject: j.ID, Detail: "one task exceeds every worker or the quota in " + j.NeverRunnable})
		}
	}
	return out
}

func findOutcomeUnknown(r *Reading) []Finding {
	var out []Finding
	for _, j := range r.Jobs {
		if !j.UnknownOutcome {
			continue
		}
		f := Finding{Subject: j.ID, Detail: "kind " + j.Kind}
		if j.MustNotLose {
			f.Severity = Page
			f.Detail += ", which its document lists in never_lose"
		}
		out = append(out, f)
	}
	return out
}

func findQuarantined(r *Reading) []Finding {
	var out []Finding
	for _, g := range r.Groups {
		if g.Workers > 0 && float64(g.Quarantined) > quarantinedShare*float64(g.Workers) {
			out = append(out, Finding{Subject: g.ID, Detail: fmt.Sprintf("%d of %d workers are in quarantine", g.Quarantined, g.Workers)})
		}
	}
	return out
}

func findClock(r *Reading) []Finding {
	var out []Finding
	for _, c := range r.Clocks {
		if r.Settings.ClockRatePPM > 0 && c.RatePPM > r.Settings.ClockRatePPM {
			out = append(out, Finding{Subject: c.ID, Detail: fmt.Sprintf("the rate differs by %.0f ppm, the bound is %.0f ppm", c.RatePPM, r.Settings.ClockRatePPM)})
		}
	}
	return out
}

func findConfig(r *Reading) []Finding {
	var out []Finding
	for _, c := range r.Config {
		if c.Responding && c.Behind > ConfigBound {
			out = append(out, Finding{Subject: c.Instance, Detail: fmt.Sprintf("the configuration is %s behind", c.Behind.Round(time.Second))})
		}
	}
	return out
}

func findJournal(r *Reading) []Finding {
	if !r.Journal.Full {
		return nil
	}
	return []Finding{{Subject: "journal", Detail: "records are rejected with RW5003"}}
}
