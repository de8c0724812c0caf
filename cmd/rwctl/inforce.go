package main

import (
	"context"
	"strings"
	"time"

	"connectrpc.com/connect"

	"redwingvale/internal/code"

	operatorv1 "redwingvale/internal/gen/redwingvale/operator/v1"
)

// inForcePoll separates two looks at what is in force.
const inForcePoll = 250 * time.Millisecond

// awaitInForce waits until every active member has the configuration through
// an offset in force. When ctx ends first it returns the members that have
// not, with the error ConfigNotInForce.
func (c *command) awaitInForce(ctx context.Context, offset int64) ([]string, error) {
	lagging := []string{"no instance answers"}
	for {
		instances, err := c.instanceConfigs(ctx)
		if err == nil {
			lagging = behind(instances, offset)
			if len(lagging) == 0 {
				return nil, nil
			}
		}
		if ctx.Err() != nil {
			return lagging, code.New(code.ConfigNotInForce, "accepted at offset %d; not in force on: %s", offset, strings.Join(lagging, ", "))
		}
		c.pause(ctx, inForcePoll)
	}
}

// instanceConfigs joins what all reachable instances say about the active
// members. The largest offset of a member counts, because offsets only grow.
func (c *command) instanceConfigs(ctx context.Context) (map[string]int64, error) {
	answers, err := c.askServices(ctx)
	if err != nil {
		return nil, err
	}
	newest := make(map[string]int64)
	answered := false
	for _, answer := range answers {
		if answer.err != nil {
			continue
		}
		for _, instance := range answer.value.GetInstances() {
			answered = true
			known, seen := newest[instance.GetInstance()]
			if !seen || instance.GetConfigOffset() > known {
				newest[instance.GetInstance()] = instance.GetConfigOffset()
			}
		}
	}
	if !answered {
		return nil, code.New(code.HomeUnreachable, "no instance answers")
	}
	return newest, nil
}

func (c *command) askServices(ctx context.Context) ([]answer[operatorv1.ListServicesResponse], error) {
	return askAll(ctx, c, func(ctx context.Context, client client) (*operatorv1.ListServicesResponse, error) {
		out, err := client.ListServices(ctx, connect.NewRequest(&operatorv1.ListServicesRequest{}))
		return message(out, err)
	})
}

// behind returns the instances below an offset in ascending order.
func behind(instances map[string]int64, offset int64) []string {
	var out []string
	for _, name := range sortedNames(instances) {
		if instances[name] < offset {
			out = append(out, name)
		}
	}
	return out
}
