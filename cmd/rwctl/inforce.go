package main

import (
	"context"
	"strings"
	"time"

	"connectrpc.com/connect"

	"redwingvale/internal/code"

	operatorv1 "redwingvale/internal/gen/redwingvale/operator/v1"
)

// inForcePoll is the interval at which awaitInForce queries the instances.
const inForcePoll = 250 * time.Millisecond

// awaitInForce waits until the configuration up to an offset is in force on
// every active member. When ctx ends first, it returns the members that lag and
// the error ConfigNotInForce.
func (c *command) awaitInForce(ctx context.Context, offset int64) ([]string, error) {
	lagging := []string{"no instance answers"}
	for {
		instances, err := c.instanceConfigs(ctx)
		if err == nil {
			lagging = laggingInstances(instances, offset)
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

// instanceConfigs merges the config offsets of the active members as reported by
// all reachable instances. The largest offset of a member counts, because
// offsets only grow.
func (c *command) instanceConfigs(ctx context.Context) (map[string]int64, error) {
	responses, err := c.listServices(ctx)
	if err != nil {
		return nil, err
	}
	newest := make(map[string]int64)
	answered := false
	for _, response := range responses {
		if response.err != nil {
			continue
		}
		for _, instance := range response.value.GetInstances() {
			answered = true
			offset, seen := newest[instance.GetInstance()]
			if !seen || instance.GetConfigOffset() > offset {
				newest[instance.GetInstance()] = instance.GetConfigOffset()
			}
		}
	}
	if !answered {
		return nil, code.New(code.HomeUnreachable, "no instance answers")
	}
	return newest, nil
}

func (c *command) listServices(ctx context.Context) ([]instanceResponse[operatorv1.ListServicesResponse], error) {
	return callAll(ctx, c, func(ctx context.Context, client client) (*operatorv1.ListServicesResponse, error) {
		out, err := client.ListServices(ctx, connect.NewRequest(&operatorv1.ListServicesRequest{}))
		return unwrapResponse(out, err)
	})
}

// laggingInstances returns the instances below an offset, in ascending order.
func laggingInstances(instances map[string]int64, offset int64) []string {
	var out []string
	for _, name := range sortedNames(instances) {
		if instances[name] < offset {
			out = append(out, name)
		}
	}
	return out
}
