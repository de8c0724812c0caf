package main

import (
	"flag"
	"fmt"

	"github.com/cockroachdb/errors"

	"redwingvale/internal/code"
)

// The exit codes, documented in docs/rwctl.md.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitUnsure      = 5
	exitNotInForce  = 6
	exitUnreachable = 7
	exitFindings    = 8
	exitNotFound    = 9
)

// exitError is an error with an exit code of its own.
type exitError struct {
	status int
	err    error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func usageError(format string, args ...any) error {
	return &exitError{status: exitUsage, err: errors.Newf(format, args...)}
}

// statusOf returns the exit code of an error.
func statusOf(err error) int {
	var withStatus *exitError
	if errors.As(err, &withStatus) {
		return withStatus.status
	}
	switch code.Of(err) {
	case code.BadDocument, code.AmbiguousAlias:
		return exitInvalid
	case code.BadSettings, code.BadRequest, code.BadID:
		return exitUsage
	case code.ConfigConflict:
		return exitConflict
	case code.ConfigUnsure, code.AcceptanceUnsure, code.TimeLimit:
		return exitUnsure
	case code.ConfigNotInForce:
		return exitNotInForce
	case code.LogUnavailable, code.HomeUnreachable:
		return exitUnreachable
	case code.UnknownJob, code.UnknownTeam, code.UnknownService, code.UnknownResource:
		return exitNotFound
	default:
		return exitFailed
	}
}

// errAlreadyShown marks an error whose text has already been printed.
var errAlreadyShown = errors.New("already shown")

// report prints an error and returns the exit code.
func report(e *environment, err error) int {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if !errors.Is(err, errAlreadyShown) {
		fmt.Fprintln(e.stderr, "rwctl:", err)
	}
	return statusOf(err)
}

// exitWith returns an error that only sets the exit code.
func exitWith(status int) error { return &exitError{status: status, err: errAlreadyShown} }
