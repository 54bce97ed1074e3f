package homechoice

import (
	"math"
	"sync"
	"time"
)

const (
	// rateWindow is the time over which an owner's rate is averaged: several units of a small
	// owner, and short beside the time for which a choice is kept.
	rateWindow = 10 * time.Second
	// maxRatedOwners bounds the owners that a home keeps rates of: several times the workspaces
	// of a large deployment.
	maxRatedOwners = 4096
)

// OwnerRates measures the rates at which a home serves the units of each owner. Of more than
// maxRatedOwners owners, the further ones have rate zero. The zero value is ready for use.
type OwnerRates struct {
	mu     sync.Mutex
	counts map[string]decayingCount
}

// decayingCount is a count that decays with rateWindow.
type decayingCount struct {
	count float64
	at    time.Time
}

func (c decayingCount) decayed(now time.Time) float64 {
	age := max(now.Sub(c.at), 0)
	return c.count * math.Exp(-age.Seconds()/rateWindow.Seconds())
}

// Record counts a unit of the owner and returns the owner's rate in units a second.
func (r *OwnerRates) Record(owner string, now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[string]decayingCount)
	}
	previous, known := r.counts[owner]
	if !known && len(r.counts) >= maxRatedOwners && !r.removeIdle(now) {
		return 0
	}
	count := previous.decayed(now) + 1
	r.counts[owner] = decayingCount{count: count, at: now}
	return count / rateWindow.Seconds()
}

// removeIdle drops the owners without units in several windows. It reports whether there were any.
func (r *OwnerRates) removeIdle(now time.Time) bool {
	before := len(r.counts)
	for owner, c := range r.counts {
		if now.Sub(c.at) > 3*rateWindow {
			delete(r.counts, owner)
		}
	}
	return len(r.counts) < before
}
