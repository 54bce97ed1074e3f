package member

import "errors"

var (
	// ErrTermPassed says that the member has entered a higher term than the call named.
	ErrTermPassed = errors.New("member has entered a higher term")
	// ErrBusy says that the member answers but takes no more connections. It
	// lives, and so must not be replaced.
	ErrBusy = errors.New("member takes no more connections")
)
