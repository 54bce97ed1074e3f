package pgcontrol

import "errors"

var (
	// ErrMalformedStatus reports that a response is not a valid status row.
	ErrMalformedStatus = errors.New("pgcontrol: malformed status row")
	// errSecondDial prevents pgconn from opening a second connection for a cancel request.
	errSecondDial = errors.New("pgcontrol: a control connection must not dial twice")
)
