package result

import (
	"errors"
	"fmt"
	"time"
)

// Error carries a result code from where it arose to the caller.
type Error struct {
	Code Code
	// Detail adds what is particular to this case. It may be empty.
	Detail string
	// RetryAfter is when the caller should come back; zero when coming back
	// does not help.
	RetryAfter time.Duration
	// Cause is the underlying error; it may be nil.
	Cause error
}

// New returns an Error with a code and a detail.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy that tells the caller when to come back.
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

// Unwrap implements the errors package's chain.
func (e *Error) Unwrap() error { return e.Cause }

// As returns the Error in err's chain, if there is one.
func As(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}
