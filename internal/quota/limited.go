package quota

import (
	"fmt"
	"strings"
	"time"
)

// limitedMemory is how long after its last refusal a workspace counts as limited at an instance.
// It is longer than the pause between two refusals of a workspace that stays at its limit.
const limitedMemory = 2 * time.Second

// limitedPeriod is the time during which an instance refuses operations of a workspace at its
// limit.
type limitedPeriod struct {
	beganAt       time.Time
	lastRefusalAt time.Time
	refused       rankCounts
}

// recordRefusal adds a refusal and reports whether the period begins with it.
func (p *limitedPeriod) recordRefusal(rank Rank, now time.Time) (begins bool) {
	begins = p.beganAt.IsZero()
	if begins {
		p.beganAt = now
	}
	p.lastRefusalAt = now
	p.refused[rank]++
	return begins
}

// end ends the period if it is over, and returns it.
func (p *limitedPeriod) end(now time.Time) (ended limitedPeriod, isOver bool) {
	if p.beganAt.IsZero() || now.Sub(p.lastRefusalAt) < limitedMemory {
		return limitedPeriod{}, false
	}
	ended = *p
	*p = limitedPeriod{}
	return ended, true
}

// refusedByRank returns the refusals for a log line, such as "rank 1: 3, rank 9: 840".
func (p *limitedPeriod) refusedByRank() string {
	var words []string
	for rank, n := range p.refused {
		if n > 0 {
			words = append(words, fmt.Sprintf("rank %d: %d", rank, n))
		}
	}
	return strings.Join(words, ", ")
}
