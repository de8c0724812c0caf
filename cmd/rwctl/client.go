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

// callTimeLimit bounds one question to one instance, so that an instance that
// does not answer cannot use up the time of the whole command.
const callTimeLimit = 5 * time.Second

type client = operatorv1connect.OperatorServiceClient

// answer is what one instance said.
type answer[T any] struct {
	address string
	value   *T
	err     error
}

// clientAt returns a client of the instance at an operator address.
func (c *command) clientAt(address string) client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return operatorv1connect.NewOperatorServiceClient(c.client, address)
}

// askAll asks every instance at the same time. Answers are in the order of
// the addresses.
func askAll[T any](ctx context.Context, c *command, ask func(context.Context, client) (*T, error)) ([]answer[T], error) {
	addresses, err := c.addresses()
	if err != nil {
		return nil, err
	}
	out := make([]answer[T], len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, callTimeLimit)
			defer cancel()
			value, err := ask(bounded, c.clientAt(address))
			out[i] = answer[T]{address, value, err}
		})
	}
	group.Wait()
	return out, nil
}

// firstValue returns the first answer without an error. Without any it returns
// the error that says most: a refusal by an instance rather than its silence.
func firstValue[T any](answers []answer[T]) (*T, error) {
	var failed error
	for _, a := range answers {
		if a.err == nil {
			return a.value, nil
		}
		if failed == nil || code.Of(failed) == code.HomeUnreachable {
			failed = a.err
		}
	}
	return nil, failed
}

// message unwraps a response. An error without a result code means that the
// instance was not reached.
func message[T any](response *connect.Response[T], err error) (*T, error) {
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
