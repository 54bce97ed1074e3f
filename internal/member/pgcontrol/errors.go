package pgcontrol

import "errors"

var (
	// ErrMalformedStatus says that a row is not a member's status.
	ErrMalformedStatus = errors.New("pgcontrol: malformed status row")
	// errOneDial stops pgconn from opening a second connection for a cancel request.
	errOneDial = errors.New("pgcontrol: a control connection is dialled once")
)
