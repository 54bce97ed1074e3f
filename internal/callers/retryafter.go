package callers

import "time"

// RetryAfterRejection is the retry delay sent to a caller whose connection is rejected because
// the instance has reached its maximum number of callers or has not loaded its documents yet.
const RetryAfterRejection = time.Second
