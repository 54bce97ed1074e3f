package quota

import (
	"time"

	"github.com/topazrock/topazrock/internal/workspace"
)

// bucket is a token bucket over a part of a limit. It begins empty, as what was begun before it
// is not known.
type bucket struct {
	level     float64
	updatedAt time.Time
	// returnAt is when the caller that was refused last is to come back.
	returnAt time.Time
}

// size is what a bucket may hold and gain.
type size struct {
	rate  float64
	depth float64
}

// sizeOf is the size of a bucket over a part of a limit.
func sizeOf(part float64, l workspace.Limit, t Tolerance) size {
	return size{rate: part * l.Rate, depth: part * t.depth(l)}
}

// gain adds what came in since the last call.
func (b *bucket) gain(now time.Time, s size) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 && !b.updatedAt.IsZero() {
		b.level += s.rate * elapsed.Seconds()
	}
	b.updatedAt = now
	b.level = min(b.level, s.depth)
}

// add puts tokens in, which were taken before or gained while nobody held a share.
func (b *bucket) add(tokens float64, s size) { b.level = min(b.level+tokens, s.depth) }

// take takes up to n tokens and returns how many.
func (b *bucket) take(n int) int {
	taken := min(n, int(b.level))
	if taken <= 0 {
		return 0
	}
	b.level -= float64(taken)
	return taken
}

const (
	// minReturn and maxReturn bound when a refused caller is told to come back.
	minReturn = 20 * time.Millisecond
	maxReturn = 2 * time.Second
)

// refuse returns when the next n callers are to come back. Each is given a time of its own, one
// token behind the one before, so that they do not come back together and be refused again.
func (b *bucket) refuse(n int, now time.Time, s size) time.Duration {
	if b.returnAt.Before(now) {
		b.returnAt = now
	}
	if s.rate <= 0 {
		return maxReturn
	}
	b.returnAt = b.returnAt.Add(time.Duration(float64(n) / s.rate * float64(time.Second)))
	if latest := now.Add(maxReturn); b.returnAt.After(latest) {
		b.returnAt = latest
	}
	return max(b.returnAt.Sub(now), minReturn)
}
