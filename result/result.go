// Package result defines the numbered result codes that callers and operators receive.
//
// Every refusal or failure that leaves the system is an *Error. Its Execution field states whether the request ran;
// NotRun is used only where that is certain.
package result

import (
	"errors"
	"fmt"
	"time"
)

// Execution states whether a request ran.
type Execution string

const (
	// NotRun means that the request certainly did not run and never will.
	NotRun Execution = "not_run"
	// Ran means that the request ran, though its answer may be missing or incomplete.
	Ran Execution = "ran"
	// Unknown means that the request may have run.
	Unknown Execution = "unknown"
)

// Error is a refusal or failure with a result code.
type Error struct {
	Code       Code
	Message    string
	Execution  Execution
	RetryAfter time.Duration // zero: unspecified
	Cause      error
}

// New returns an Error with the default execution of the code.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), Execution: code.Info().Execution}
}

// WithExecution sets whether the work ran and returns e.
func (e *Error) WithExecution(x Execution) *Error {
	e.Execution = x
	return e
}

// WithRetryAfter sets the time after which a retry makes sense and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithCause sets the underlying error, which is logged but not sent to callers, and returns e.
func (e *Error) WithCause(err error) *Error {
	e.Cause = err
	return e
}

func (e *Error) Error() string {
	s := fmt.Sprintf("%d %s: %s", e.Code, e.Code.Info().Name, e.Message)
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// From returns the *Error in err's chain, or wraps err as Internal with an unknown execution.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "internal error").WithCause(err)
}

// CodeOf returns the result code of err, OK for nil and Internal for errors without a code.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	return From(err).Code
}
