package callers

import "time"

// RetryAfterFull is the retry delay sent to a caller whose instance has reached its
// maximum of callers or has not loaded its documents yet.
const RetryAfterFull = time.Second
