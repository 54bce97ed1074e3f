package failover

import (
	"math/rand/v2"
	"time"
)

// backoff gives growing waits with jitter.
type backoff struct {
	low, high time.Duration
	rand      *rand.Rand
	tries     int
}

// next returns a wait between half and the whole of a bound that doubles.
func (b *backoff) next() time.Duration {
	bound := b.high
	if b.tries < 30 {
		bound = min(b.high, b.low<<b.tries)
	}
	b.tries++
	return bound/2 + time.Duration(b.rand.Int64N(int64(bound/2)+1))
}

func (b *backoff) reset() { b.tries = 0 }
