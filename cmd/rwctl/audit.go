package main

import (
	"context"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"redwingvale/internal/audit"
	"redwingvale/internal/code"
)

// auditCommand shows the audit trail.
func auditCommand(e *environment) *ffcli.Command {
	c := newCommand(e, "audit")
	q := &audit.Query{}
	since := c.flags.String("since", "", "earliest time: a duration before now such as 24h, or 2006-01-02T15:04:05Z")
	until := c.flags.String("until", "", "end of the time, in the same form")
	c.flags.StringVar(&q.Actor, "actor", "", "only what this operator, team or instance asked for")
	c.flags.StringVar(&q.Team, "team", "", "only this team")
	c.flags.StringVar(&q.Job, "job", "", "only jobs of this name")
	c.flags.StringVar(&q.Worker, "worker", "", "only this worker")
	c.flags.StringVar(&q.Kind, "kind", "", "only records of this kind, for example apply")
	c.flags.StringVar(&q.Streams, "stream", "", "only streams with this prefix: members, config or group/")
	c.flags.BoolVar(&q.WithVoid, "void", false, "include records that had no effect")
	c.flags.IntVar(&q.Limit, "limit", audit.DefaultLimit, "most entries; the newest are shown")
	return c.build("", "show who did what, when and why", func(ctx context.Context, _ []string) error {
		var err error
		if q.Since, err = c.timeFlag("since", *since); err != nil {
			return err
		}
		if q.Until, err = c.timeFlag("until", *until); err != nil {
			return err
		}
		if q.Limit < 1 || q.Limit > audit.MaxLimit {
			return usageError("-limit %d: use 1 to %d", q.Limit, audit.MaxLimit)
		}
		log, err := c.log()
		if err != nil {
			return err
		}
		result, err := audit.Read(ctx, log, *q)
		if err != nil {
			return code.New(code.LogUnavailable, "the streams cannot be listed: %s", err.Error())
		}
		return c.showAudit(result)
	})
}

// timeFlag parses a time, or a duration before now.
func (c *command) timeFlag(name, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if ago, err := time.ParseDuration(text); err == nil {
		return c.wall().Add(-ago), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, usageError("-%s %q: use a duration such as 24h, or a time such as 2006-01-02T15:04:05Z", name, text)
	}
	return at, nil
}

func (c *command) showAudit(result audit.Result) error {
	if err := c.showEntries(result); err != nil {
		return err
	}
	for _, gap := range result.Gaps {
		if gap.Unread != "" {
			return exitWith(exitUnreachable)
		}
	}
	return nil
}

func (c *command) showEntries(result audit.Result) error {
	if c.settings.json {
		if result.Entries == nil {
			result.Entries = []audit.Entry{}
		}
		if result.Gaps == nil {
			result.Gaps = []audit.Gap{}
		}
		return c.printJSON(result)
	}
	var rows [][]string
	for _, e := range result.Entries {
		rows = append(rows, []string{
			e.When.Format(time.RFC3339), e.Stream + "@" + strconv.FormatInt(e.Offset, 10), e.Actor, e.Kind, string(e.Standing), e.What, dash(e.Why),
		})
	}
	if err := c.table([]string{"WHEN", "WHERE", "WHO", "KIND", "STANDING", "WHAT", "WHY"}, rows); err != nil {
		return err
	}
	if result.Omitted > 0 {
		c.line("%d older entries are not shown; raise -limit or narrow the filters", result.Omitted)
	}
	for _, note := range result.Notes {
		c.line("note: %s", note)
	}
	return nil
}
