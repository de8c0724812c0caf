package entry

import (
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"redwingvale/internal/code"
)

// The header names of the callers' API.
const (
	codeHeader        = "Redwingvale-Code"
	outcomeHeader     = "Redwingvale-Outcome"
	keyHeader         = "Idempotency-Key"
	timeoutHeader     = "Request-Timeout"
	preferHeader      = "Prefer"
	appliedPreference = "Preference-Applied"
)

// errorBody is the JSON body of an error response.
type errorBody struct {
	Code    string `json:"code"`
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail"`
}

// setCode sets the code and outcome headers.
func setCode(h http.Header, c code.Code) {
	info := code.Lookup(c)
	h.Set(codeHeader, c.String())
	h.Set(outcomeHeader, string(info.Outcome))
}

// detailOf returns the detail of an error that may be shown to the caller.
func detailOf(err error) string {
	var coded *code.Error
	if errors.As(err, &coded) {
		return coded.Detail
	}
	return ""
}

// retryAfterSeconds is the Retry-After value of responses with status 429 and
// 503.
const retryAfterSeconds = 1

// writeError writes an error response. Errors without a code become
// code.Internal.
func writeError(c echo.Context, err error) error {
	info := code.Lookup(code.Of(err))
	h := c.Response().Header()
	setCode(h, info.Code)
	if info.Status == http.StatusTooManyRequests || info.Status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	return c.JSON(info.Status, errorBody{
		Code:    info.Code.String(),
		Name:    info.Name,
		Outcome: string(info.Outcome),
		Detail:  detailOf(err),
	})
}
