package member

import "errors"

var (
	// ErrTermPassed reports that the member has entered a higher term than the one in the call.
	ErrTermPassed = errors.New("member has entered a higher term")
	// ErrBusy reports that the member responds but accepts no more connections.
	// The member is alive and must not be replaced.
	ErrBusy = errors.New("member accepts no more connections")
)
