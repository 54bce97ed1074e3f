package cli

import (
	"errors"

	"github.com/topazrock/topazrock/internal/adminclient"
	"github.com/topazrock/topazrock/internal/result"
)

// Exit codes. docs/ops/command-line.md lists the same ones.
const (
	// ExitOK: the command did what it was asked for.
	ExitOK = 0
	// ExitFailure: anything that no other code names.
	ExitFailure = 1
	// ExitUsage: the command line is not valid.
	ExitUsage = 2
	// ExitInvalid: the settings or the document did not pass the checks.
	ExitInvalid = 3
	// ExitConflict: not accepted, another version stands.
	ExitConflict = 4
	// ExitNoEffect: the change was not stored.
	ExitNoEffect = 5
	// ExitUnknown: whether the change was stored is not known.
	ExitUnknown = 6
	// ExitUnreachable: the API or the platform behind it does not answer; the
	// call changed nothing.
	ExitUnreachable = 7
	// ExitDenied: the call needs the access token.
	ExitDenied = 8
	// ExitNotFound: there is no such object.
	ExitNotFound = 9
	// ExitNotEverywhere: the change is accepted, but not every live instance
	// reported it in time.
	ExitNotEverywhere = 10
)

// exitError is an error with an exit code of its own.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap implements the errors package's chain.
func (e *exitError) Unwrap() error { return e.err }

// exitOf maps result codes to exit codes.
var exitOf = map[result.Code]int{
	result.DocumentInvalid:     ExitInvalid,
	result.VersionConflict:     ExitConflict,
	result.DidNotTakeEffect:    ExitNoEffect,
	result.StillSettling:       ExitUnknown,
	result.PlatformUnavailable: ExitUnreachable,
	result.NotReady:            ExitUnreachable,
	result.AccessDenied:        ExitDenied,
	result.NotFound:            ExitNotFound,
	result.BadAdminRequest:     ExitUsage,
	result.StatementTooLarge:   ExitInvalid,
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var own *exitError
	if errors.As(err, &own) {
		return own.code
	}
	if code, ok := exitOf[adminclient.CodeOf(err)]; ok {
		return code
	}
	if errors.Is(err, adminclient.ErrUnreachable) {
		return ExitUnreachable
	}
	return ExitFailure
}
