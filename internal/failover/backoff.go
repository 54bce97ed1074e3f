package failover

import (
	"math/rand/v2"
	"time"
)

// backoff computes exponentially growing delays with jitter.
type backoff struct {
	minDelay, maxDelay time.Duration
	rand               *rand.Rand
	attempts           int
}

// nextDelay returns a random delay between half and all of a bound that doubles
// with each attempt, up to maxDelay.
func (b *backoff) nextDelay() time.Duration {
	bound := b.maxDelay
	if b.attempts < 30 {
		bound = min(b.maxDelay, b.minDelay<<b.attempts)
	}
	b.attempts++
	return bound/2 + time.Duration(b.rand.Int64N(int64(bound/2)+1))
}

func (b *backoff) reset() { b.attempts = 0 }
