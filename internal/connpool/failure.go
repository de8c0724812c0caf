package connpool

import (
	"redwingvale/internal/code"
)

// FailureKind says how a request to a target failed.
type FailureKind uint8

// The kinds of failure.
const (
	// NoConnection: every granted connection is in use, or the request ended
	// before it had one.
	NoConnection FailureKind = iota + 1
	// DialFailed: no connection was established in time, dialling is in
	// back-off after failures, or the pool is closed.
	DialFailed
	// NotWritten: the connection ended before anything was written.
	NotWritten
	// ConnectionLost: the connection ended after something was written.
	ConnectionLost
	// TimedOut: there was no response before the time limit.
	TimedOut
	// TargetRefused: the target responded that it did not run the request.
	TargetRefused
	// Truncated: the response was truncated, or a truncation could not be
	// detected.
	Truncated
)

// Failure is the error of a request to a target.
type Failure struct {
	Kind FailureKind
	// Written states that some of the request may have reached the target.
	Written bool
	Cause   error
}

// Error returns the kind and the cause.
func (f *Failure) Error() string {
	if f.Cause == nil {
		return f.Kind.String()
	}
	return f.Kind.String() + ": " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Outcome returns code.NotRun only if the target cannot have run the request.
func (f *Failure) Outcome() code.Outcome {
	if f.Kind == TargetRefused || !f.Written {
		return code.NotRun
	}
	return code.Unknown
}

// String describes the kind. The text is part of error details for clients.
func (k FailureKind) String() string {
	switch k {
	case NoConnection:
		return "no connection is free"
	case DialFailed:
		return "the target cannot be dialled"
	case NotWritten:
		return "the connection ended before the request was written"
	case ConnectionLost:
		return "the connection ended before the answer"
	case TimedOut:
		return "there was no answer before the time limit"
	case TargetRefused:
		return "the target did not run the request"
	case Truncated:
		return "the answer was cut short"
	default:
		return "unknown failure"
	}
}
