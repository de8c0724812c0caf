package main

import (
	"context"
	"strconv"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	operatorv1 "redwingvale/internal/gen/redwingvale/operator/v1"
)

// statusCommand shows the instances, members and worker groups, or the services.
func statusCommand(e *environment) *ffcli.Command {
	c := newCommand(e, "status")
	groups := c.flags.Bool("groups", false, "list the worker groups too")
	services := c.flags.Bool("services", false, "list the services and their revisions instead")
	return c.build("", "show instances, members and worker groups", func(ctx context.Context, args []string) error {
		if *services {
			return c.showServices(ctx)
		}
		responses, err := c.fetchStatus(ctx)
		if err != nil {
			return err
		}
		if c.settings.json {
			if err := printResponses(c, responses); err != nil {
				return err
			}
		} else if err := c.showStatus(responses, *groups); err != nil {
			return err
		}
		if _, err := firstResponse(responses); err != nil {
			return exitWith(exitUnreachable)
		}
		return nil
	})
}

func (c *command) fetchStatus(ctx context.Context) ([]instanceResponse[operatorv1.StatusResponse], error) {
	return callAll(ctx, c, func(ctx context.Context, client client) (*operatorv1.StatusResponse, error) {
		out, err := client.Status(ctx, connect.NewRequest(&operatorv1.StatusRequest{}))
		return unwrapResponse(out, err)
	})
}

func (c *command) showStatus(responses []instanceResponse[operatorv1.StatusResponse], groups bool) error {
	rows := make([][]string, 0, len(responses))
	for _, a := range responses {
		rows = append(rows, statusRow(a))
	}
	header := []string{"ADDRESS", "INSTANCE", "STATE", "UPTIME", "MAJORITY", "LOG", "SNAPSHOT", "CONFIG", "GROUPS", "ALARMS"}
	if err := c.table(header, rows); err != nil {
		return err
	}
	view, err := firstResponse(responses)
	if err != nil {
		return nil
	}
	c.line("\nMembers as %s sees them, voters version %d:", view.GetInstance(), view.GetVotersVersion())
	if err := c.showMembers(view.GetMembers()); err != nil || !groups {
		return err
	}
	c.line("\nGroups:")
	return c.showGroups(responses)
}

func statusRow(a instanceResponse[operatorv1.StatusResponse]) []string {
	if a.err != nil {
		return []string{a.address, "-", "no answer: " + a.err.Error(), "-", "-", "-", "-", "-", "-", "-"}
	}
	s := a.value
	log := "readable"
	if !s.GetLog().GetReadable() {
		log = "down for " + millis(s.GetLog().GetSinceTailMs())
	}
	snapshot := "-"
	if age := s.GetLog().GetOldestSnapshotMs(); age >= 0 {
		snapshot = millis(age)
	}
	owned := 0
	for _, g := range s.GetGroups() {
		if g.GetOwner() == s.GetInstance() {
			owned++
		}
	}
	return []string{
		a.address, s.GetInstance(), s.GetState(), millis(s.GetUptimeMs()), yesNo(s.GetMajority()), log, snapshot,
		strconv.FormatInt(s.GetConfigOffset(), 10), strconv.Itoa(owned), strconv.FormatUint(uint64(s.GetAlarms()), 10),
	}
}

func (c *command) showMembers(members []*operatorv1.MemberStatus) error {
	var rows [][]string
	for _, m := range members {
		rows = append(rows, []string{
			m.GetInstance(), strconv.FormatUint(m.GetIncarnation(), 10), m.GetDataCentre(), m.GetState(),
			millis(m.GetHeardMs()), strconv.FormatInt(m.GetConfigOffset(), 10), dash(m.GetOperatorAddr()),
		})
	}
	return c.table([]string{"INSTANCE", "INCARNATION", "DATA CENTRE", "STATE", "HEARD", "CONFIG", "OPERATOR ADDRESS"}, rows)
}

// showGroups lists each group once, as reported by its owner if the owner
// responded.
func (c *command) showGroups(responses []instanceResponse[operatorv1.StatusResponse]) error {
	known := make(map[string]*operatorv1.GroupStatus)
	for _, a := range responses {
		for _, g := range a.value.GetGroups() {
			if _, seen := known[g.GetGroup()]; !seen || g.GetOwner() == a.value.GetInstance() {
				known[g.GetGroup()] = g
			}
		}
	}
	var rows [][]string
	for _, name := range sortedNames(known) {
		g := known[name]
		rows = append(rows, []string{
			name, dash(g.GetOwner()), strconv.FormatUint(g.GetEpoch(), 10), yesNo(g.GetDeciding()), count(g.GetWorkers()),
			count(g.GetQuarantined()), count(g.GetRunningTasks()), count(g.GetWaitingTasks()),
		})
	}
	return c.table([]string{"GROUP", "OWNER", "EPOCH", "DECIDING", "WORKERS", "QUARANTINED", "RUNNING", "WAITING"}, rows)
}

func count(v uint32) string { return strconv.FormatUint(uint64(v), 10) }

func yesNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}
