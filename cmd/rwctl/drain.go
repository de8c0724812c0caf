package main

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	"redwingvale/internal/code"

	operatorv1 "redwingvale/internal/gen/redwingvale/operator/v1"
)

// drainPoll is the interval at which the progress of a drain is queried.
const drainPoll = time.Second

// drainCommand drains and stops one instance.
func drainCommand(e *environment) *ffcli.Command {
	c := newCommand(e, "drain")
	reason := c.flags.String("reason", "", "why the instance is stopped, for the audit trail")
	wait := c.flags.Bool("wait", false, "wait until the instance no longer answers")
	return c.build("INSTANCE", "stop an instance without interrupting a request", func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return usageError("name one instance")
		}
		if err := c.checkActor(*reason); err != nil {
			return err
		}
		address, err := c.findInstance(ctx, args[0])
		if err != nil {
			return err
		}
		request := &operatorv1.DrainRequest{Instance: args[0], Actor: c.settings.author, Reason: *reason}
		progress, err := c.drain(ctx, address, request)
		if err != nil {
			return withUnreachableStatus(err)
		}
		if *wait {
			return c.awaitDrained(ctx, address, request)
		}
		return c.showDrain(args[0], progress)
	})
}

func (c *command) drain(ctx context.Context, address string, request *operatorv1.DrainRequest) (*operatorv1.DrainResponse, error) {
	out, err := c.clientAt(address).Drain(ctx, connect.NewRequest(request))
	return unwrapResponse(out, err)
}

// findInstance returns the operator address of the named instance.
func (c *command) findInstance(ctx context.Context, name string) (string, error) {
	responses, err := c.fetchStatus(ctx)
	if err != nil {
		return "", err
	}
	for _, a := range responses {
		if a.err == nil && a.value.GetInstance() == name {
			return a.address, nil
		}
	}
	if _, err := firstResponse(responses); err != nil {
		return "", withUnreachableStatus(err)
	}
	return "", code.New(code.UnknownResource, "no address of -operators answers as instance %s", name)
}

// awaitDrained repeats the drain request, which is idempotent, until the
// instance has stopped.
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
