package operator

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"redwingvale/internal/code"
)

// CodeHeader carries the result code of a failed call, written RWnnnn.
const CodeHeader = "Redwingvale-Code"

// toConnect turns err into a connect error that carries its result code.
func toConnect(err error) error {
	result := code.Of(err)
	if errors.Is(err, context.DeadlineExceeded) && result == code.Internal {
		err = code.New(code.TimeLimit, "the instance did not answer in time")
		result = code.TimeLimit
	}
	out := connect.NewError(connectCode(code.Lookup(result).Status), err)
	out.Meta().Set(CodeHeader, result.String())
	return out
}

// FromConnect returns the error of a call with the result code that the
// server gave. An error without one is returned as it is.
func FromConnect(err error) error {
	var failed *connect.Error
	if !errors.As(err, &failed) {
		return err
	}
	number, bad := strconv.Atoi(strings.TrimPrefix(failed.Meta().Get(CodeHeader), "RW"))
	if bad != nil {
		return err
	}
	result := code.Code(number)
	prefix := result.String() + " " + code.Lookup(result).Name + ": "
	return code.New(result, "%s", strings.TrimPrefix(failed.Message(), prefix))
}

func connectCode(status int) connect.Code {
	switch status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return connect.CodeInvalidArgument
	case http.StatusNotFound:
		return connect.CodeNotFound
	case http.StatusConflict:
		return connect.CodeFailedPrecondition
	case http.StatusTooManyRequests:
		return connect.CodeResourceExhausted
	case http.StatusServiceUnavailable:
		return connect.CodeUnavailable
	case http.StatusGatewayTimeout:
		return connect.CodeDeadlineExceeded
	default:
		return connect.CodeInternal
	}
}
