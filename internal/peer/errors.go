package peer

import "errors"

// ErrNotSent reports that a call never left this instance and therefore did not run.
var ErrNotSent = errors.New("peer: call was not sent")
