package callers

import "time"

// RetryAfterFull is the retry delay sent to a caller when the instance has reached its
// maximum number of callers or has not loaded its documents yet.
const RetryAfterFull = time.Second
