package member

import "errors"

var (
	// ErrStaleTerm reports that the member has entered a higher term than the one in the call.
	ErrStaleTerm = errors.New("member has entered a higher term")
	// ErrTooManyConnections reports that the member responds but accepts no more connections.
	// The member is alive and must not be replaced.
	ErrTooManyConnections = errors.New("member accepts no more connections")
)
