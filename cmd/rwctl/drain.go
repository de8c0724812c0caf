package main

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	"redwingvale/internal/code"

	operatorv1 "redwingvale/internal/gen/redwingvale/operator/v1"
)

// drainPoll separates two looks at an instance that drains.
const drainPoll = time.Second

// drainCommand starts the planned stop of one instance.
func drainCommand(e *environment) *ffcli.Command {
	c := newCommand(e, "drain")
	reason := c.flags.String("reason", "", "why the instance is stopped, for the audit trail")
	wait := c.flags.Bool("wait", false, "wait until the instance no longer answers")
	return c.build("INSTANCE", "stop an instance without interrupting a request", func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return usageError("name one instance")
		}
		if err := c.actor(*reason); err != nil {
			return err
		}
		address, err := c.findInstance(ctx, args[0])
		if err != nil {
			return err
		}
		request := &operatorv1.DrainRequest{Instance: args[0], Actor: c.settings.author, Reason: *reason}
		progress, err := c.drain(ctx, address, request)
		if err != nil {
			return unreached(err)
		}
		if *wait {
			return c.awaitDrained(ctx, address, request)
		}
		return c.showDrain(args[0], progress)
	})
}

func (c *command) drain(ctx context.Context, address string, request *operatorv1.DrainRequest) (*operatorv1.DrainResponse, error) {
	out, err := c.clientAt(address).Drain(ctx, connect.NewRequest(request))
	return message(out, err)
}

// findInstance returns the address at which an instance answers.
func (c *command) findInstance(ctx context.Context, name string) (string, error) {
	answers, err := c.askStatus(ctx)
	if err != nil {
		return "", err
	}
	for _, a := range answers {
		if a.err == nil && a.value.GetInstance() == name {
			return a.address, nil
		}
	}
	if _, err := firstValue(answers); err != nil {
		return "", unreached(err)
	}
	return "", code.New(code.UnknownResource, "no address of -operators answers as instance %s", name)
}

// awaitDrained repeats the request, which is harmless, until the instance has
// ended.
func (c *command) awaitDrained(ctx context.Context, address string, request *operatorv1.DrainRequest) error {
	for {
		progress, err := c.drain(ctx, address, request)
		if ctx.Err() != nil {
			return code.New(code.TimeLimit, "%s still drains; it goes on without this command", request.GetInstance())
		}
		if code.Of(err) == code.HomeUnreachable {
			return c.showDrain(request.GetInstance(), &operatorv1.DrainResponse{State: "stopped"})
		}
		if err != nil {
			return err
		}
		if !c.settings.json {
			if err := c.showDrain(request.GetInstance(), progress); err != nil {
				return err
			}
		}
		c.pause(ctx, drainPoll)
	}
}

func (c *command) showDrain(instance string, progress *operatorv1.DrainResponse) error {
	if c.settings.json {
		return c.printJSON(map[string]any{
			"instance": instance, "state": progress.GetState(),
			"groups_left": progress.GetGroupsLeft(), "requests_left": progress.GetRequestsLeft(),
		})
	}
	c.line("%s: %s, %d groups and %d requests left", instance, progress.GetState(), progress.GetGroupsLeft(), progress.GetRequestsLeft())
	return nil
}
