package member

import "errors"

// ErrTermPassed says that the member has entered a higher term than the call named.
var ErrTermPassed = errors.New("member has entered a higher term")
