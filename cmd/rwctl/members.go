package main

import (
	"context"
	"encoding/json"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	operatorv1 "redwingvale/internal/gen/redwingvale/operator/v1"
)

// membersCommand lists and removes members.
func membersCommand(e *environment) *ffcli.Command {
	return &ffcli.Command{
		Name:        "members",
		ShortUsage:  "rwctl members <list|remove>",
		ShortHelp:   "list members, or remove a dead one",
		FlagSet:     newFlagSet(e, "members"),
		Subcommands: []*ffcli.Command{membersListCommand(e), membersRemoveCommand(e)},
		Exec: func(context.Context, []string) error {
			return usageError("use rwctl members list or rwctl members remove")
		},
	}
}

func membersListCommand(e *environment) *ffcli.Command {
	c := newCommand(e, "members list")
	return c.build("", "list the members as one instance sees them", func(ctx context.Context, _ []string) error {
		responses, err := c.fetchStatus(ctx)
		if err != nil {
			return err
		}
		view, err := firstResponse(responses)
		if err != nil {
			return withUnreachableStatus(err)
		}
		if !c.settings.json {
			return c.showMembers(view.GetMembers())
		}
		list := make([]json.RawMessage, 0, len(view.GetMembers()))
		for _, m := range view.GetMembers() {
			data, err := marshalProtoJSON(m)
			if err != nil {
				return err
			}
			list = append(list, data)
		}
		return c.printJSON(list)
	})
}

func membersRemoveCommand(e *environment) *ffcli.Command {
	c := newCommand(e, "members remove")
	reason := c.flags.String("reason", "", "why the member is removed, for the audit trail")
	incarnation := c.flags.Uint64("incarnation", 0, "incarnation of the dead member, as rwctl members list shows it")
	forced := c.flags.Bool("forced", false, "confirm that the member is dead although no majority can decide")
	return c.build("INSTANCE", "take a dead member out of the membership", func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return usageError("name one instance")
		}
		if *incarnation == 0 {
			return usageError("-incarnation is required, so that a restarted instance is not removed by mistake")
		}
		if err := c.checkActor(*reason); err != nil {
			return err
		}
		version, err := c.remove(ctx, &operatorv1.RemoveMemberRequest{
			Instance: args[0], Incarnation: *incarnation, Actor: c.settings.author, Reason: *reason, Forced: *forced,
		})
		if err != nil {
			return withUnreachableStatus(err)
		}
		if c.settings.json {
			return c.printJSON(map[string]any{"instance": args[0], "voters_version": version})
		}
		c.line("%s was removed; the voters have version %d", args[0], version)
		return nil
	})
}

// remove tries the instances one after the other, because an instance that
// cannot reach the log cannot record the removal.
func (c *command) remove(ctx context.Context, request *operatorv1.RemoveMemberRequest) (uint64, error) {
	addresses, err := c.addresses()
	if err != nil {
		return 0, err
	}
	var failed error
	for _, address := range addresses {
		bounded, cancel := context.WithTimeout(ctx, connectTimeLimit)
		out, err := unwrapResponse(c.clientAt(address).RemoveMember(bounded, connect.NewRequest(request)))
		cancel()
		if err == nil {
			return out.GetVotersVersion(), nil
		}
		failed = err
	}
	return 0, failed
}
