package peer

import "errors"

// ErrNotSent says that a call never left this instance, so that it did not run.
var ErrNotSent = errors.New("peer: call was not sent")
