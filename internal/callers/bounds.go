package callers

import "time"

// RetryAfterFull is when a caller should come back to an instance that is full
// or has not learned its documents yet.
const RetryAfterFull = time.Second
