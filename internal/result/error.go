package result

import (
	"errors"
	"fmt"
	"time"
)

// Error is an error with a result code for the caller.
type Error struct {
	Code Code
	// Detail describes the specific case. It may be empty.
	Detail string
	// RetryAfter is how long the caller should wait before a retry; zero if
	// retrying does not help.
	RetryAfter time.Duration
	// Cause is the underlying error. It may be nil.
	Cause error
}

// New returns an Error with a code and a formatted detail.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy that asks the caller to wait for d before a retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithCause returns a copy that wraps err.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.Cause = err
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	entry, _ := Lookup(e.Code)
	s := fmt.Sprintf("%s %s: %s", e.Code.Label(), e.Code.Family(), entry.Name)
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.Cause }

// As returns the first Error in err's chain, if there is one.
func As(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}
