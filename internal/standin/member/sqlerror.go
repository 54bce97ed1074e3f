package member

import "github.com/jackc/pgx/v5/pgproto3"

// SQLSTATE codes that the node returns. All but the last are PostgreSQL's.
const (
	stateReadOnly           = "25006"
	stateAborted            = "25P02"
	stateDuplicateKey       = "23505"
	stateSyntax             = "42601"
	stateUnknownPrepared    = "26000"
	stateUnknownPortal      = "34000"
	stateDuplicatePrepared  = "42P05"
	stateUnknownSetting     = "42704"
	stateBadValue           = "22P02"
	stateCancelled          = "57014"
	stateLockTimeout        = "55P03"
	stateTooManyConnections = "53300"
	stateNotInState         = "55000"
	stateProtocolViolation  = "08P01"
	// stateTermPassed means that the node has entered a higher term.
	stateTermPassed = "55G01"
)

// sqlError is an error with a SQLSTATE.
type sqlError struct{ state, message string }

// Error implements error.
func (e *sqlError) Error() string { return e.state + ": " + e.message }

func (e *sqlError) response(severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.state,
		Message:             e.message,
	}
}

var errReadOnly = &sqlError{stateReadOnly, "cannot execute in a read-only transaction"}
