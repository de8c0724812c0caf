package main

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"redwingvale/internal/code"
	"redwingvale/internal/gen/redwingvale/operator/v1/operatorv1connect"
	"redwingvale/internal/operator"
)

// callTimeLimit bounds one call to one instance, so that an unresponsive
// instance cannot use up the timeout of the whole command.
const callTimeLimit = 5 * time.Second

type client = operatorv1connect.OperatorServiceClient

// instanceResponse is the response of one instance, or the error of the call.
type instanceResponse[T any] struct {
	address string
	value   *T
	err     error
}

// clientAt returns a client of the instance at an operator address.
func (c *command) clientAt(address string) client {
	return operatorv1connect.NewOperatorServiceClient(c.client, baseURL(address))
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}

// callAll calls every instance concurrently. The responses are in the order of
// the addresses.
func callAll[T any](ctx context.Context, c *command, call func(context.Context, client) (*T, error)) ([]instanceResponse[T], error) {
	return callEach(ctx, c, func(ctx context.Context, address string) (*T, error) { return call(ctx, c.clientAt(address)) })
}

// callEach is callAll for calls of any service.
func callEach[T any](ctx context.Context, c *command, call func(ctx context.Context, address string) (*T, error)) ([]instanceResponse[T], error) {
	addresses, err := c.addresses()
	if err != nil {
		return nil, err
	}
	out := make([]instanceResponse[T], len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, callTimeLimit)
			defer cancel()
			value, err := call(bounded, address)
			out[i] = instanceResponse[T]{address, value, err}
		})
	}
	group.Wait()
	return out, nil
}

// firstResponse returns the first response without an error. If all calls
// failed, it returns an error from an instance that responded in preference to
// HomeUnreachable.
func firstResponse[T any](responses []instanceResponse[T]) (*T, error) {
	var failed error
	for _, a := range responses {
		if a.err == nil {
			return a.value, nil
		}
		if failed == nil || code.Of(failed) == code.HomeUnreachable {
			failed = a.err
		}
	}
	return nil, failed
}

// unwrapResponse returns the message of a response. An error without a result
// code means that the instance was not reached.
func unwrapResponse[T any](response *connect.Response[T], err error) (*T, error) {
	if err == nil {
		return response.Msg, nil
	}
	err = operator.FromConnect(err)
	if code.Of(err) == code.Internal && connect.CodeOf(err) != connect.CodeUnknown {
		return nil, code.New(code.HomeUnreachable, "%s", err.Error())
	}
	return nil, err
}

func sortedNames[V any](values map[string]V) []string {
	out := make([]string, 0, len(values))
	for name := range values {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
