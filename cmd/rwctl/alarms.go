package main

import (
	"context"
	"encoding/json"
	"sort"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	operatorv1 "redwingvale/internal/gen/redwingvale/operator/v1"
)

// alarmsCommand lists the alarms of all instances.
func alarmsCommand(e *environment) *ffcli.Command {
	c := newCommand(e, "alarms")
	cleared := c.flags.Bool("cleared", false, "include alarms that have cleared")
	exitCode := c.flags.Bool("exit-code", false, "exit with 8 when an alarm is raised")
	return c.build("", "list the alarms, each with what to do", func(ctx context.Context, _ []string) error {
		responses, err := callAll(ctx, c, func(ctx context.Context, client client) (*operatorv1.ListAlarmsResponse, error) {
			out, err := client.ListAlarms(ctx, connect.NewRequest(&operatorv1.ListAlarmsRequest{Cleared: *cleared}))
			return unwrapResponse(out, err)
		})
		if err != nil {
			return err
		}
		alarms := joinAlarms(responses)
		if err := c.showAlarms(alarms, responses); err != nil {
			return err
		}
		if _, err := firstResponse(responses); err != nil {
			return exitWith(exitUnreachable)
		}
		if *exitCode && raisedAny(alarms) {
			return exitWith(exitFindings)
		}
		return nil
	})
}

// joinAlarms merges the alarms of all instances: raised before cleared, then
// the oldest first.
func joinAlarms(responses []instanceResponse[operatorv1.ListAlarmsResponse]) []*operatorv1.Alarm {
	out := []*operatorv1.Alarm{}
	for _, a := range responses {
		out = append(out, a.value.GetAlarms()...)
	}
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].GetCleared() != out[j].GetCleared() {
			return out[j].GetCleared()
		}
		return out[i].GetAgeMs() > out[j].GetAgeMs()
	})
	return out
}

func raisedAny(alarms []*operatorv1.Alarm) bool {
	for _, a := range alarms {
		if !a.GetCleared() {
			return true
		}
	}
	return false
}

func (c *command) showAlarms(alarms []*operatorv1.Alarm, responses []instanceResponse[operatorv1.ListAlarmsResponse]) error {
	var unanswered []string
	for _, a := range responses {
		if a.err != nil {
			unanswered = append(unanswered, a.address)
		}
	}
	if c.settings.json {
		return c.alarmsJSON(alarms, unanswered)
	}
	for _, a := range alarms {
		state := "raised " + millis(a.GetAgeMs()) + " ago"
		if a.GetCleared() {
			state += ", cleared"
		}
		c.line("%s %s %s (%s, %s): %s", a.GetSeverity(), a.GetCause(), a.GetSubject(), state, a.GetInstance(), a.GetDetail())
		c.line("  %s", a.GetAction())
	}
	if len(alarms) == 0 {
		c.line("no alarm")
	}
	for _, address := range unanswered {
		c.line("note: %s does not answer, so its alarms are missing", address)
	}
	return nil
}

func (c *command) alarmsJSON(alarms []*operatorv1.Alarm, unanswered []string) error {
	list := make([]json.RawMessage, 0, len(alarms))
	for _, a := range alarms {
		data, err := marshalProtoJSON(a)
		if err != nil {
			return err
		}
		list = append(list, data)
	}
	if unanswered == nil {
		unanswered = []string{}
	}
	return c.printJSON(map[string]any{"alarms": list, "no_answer": unanswered})
}
