package cli

import (
	"errors"

	"github.com/topazrock/topazrock/internal/adminclient"
	"github.com/topazrock/topazrock/internal/result"
)

// Exit codes. docs/ops/command-line.md must list the same codes.
const (
	// ExitOK: the command succeeded.
	ExitOK = 0
	// ExitFailure: any failure without a code of its own.
	ExitFailure = 1
	// ExitUsage: the command line is not valid.
	ExitUsage = 2
	// ExitInvalid: the settings or the document did not pass the checks.
	ExitInvalid = 3
	// ExitConflict: the change was not accepted because another version was
	// stored first.
	ExitConflict = 4
	// ExitNotStored: the change was not stored.
	ExitNotStored = 5
	// ExitOutcomeUnknown: it is not known whether the change was stored.
	ExitOutcomeUnknown = 6
	// ExitUnreachable: the API, or the platform that it depends on, does not
	// respond; nothing was changed.
	ExitUnreachable = 7
	// ExitDenied: the request needs the access token.
	ExitDenied = 8
	// ExitNotFound: there is no such object.
	ExitNotFound = 9
	// ExitNotAllInstances: the change was accepted, but not all live instances
	// reported it before the time limit.
	ExitNotAllInstances = 10
)

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error for errors.Is and errors.As.
func (e *exitError) Unwrap() error { return e.err }

// exitCodes maps result codes to exit codes. Codes that are not listed map to
// ExitFailure.
var exitCodes = map[result.Code]int{
	result.DocumentInvalid:     ExitInvalid,
	result.VersionConflict:     ExitConflict,
	result.DidNotTakeEffect:    ExitNotStored,
	result.StillSettling:       ExitOutcomeUnknown,
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
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		return exitErr.code
	}
	if code, ok := exitCodes[adminclient.ResultCode(err)]; ok {
		return code
	}
	if errors.Is(err, adminclient.ErrUnreachable) {
		return ExitUnreachable
	}
	return ExitFailure
}
