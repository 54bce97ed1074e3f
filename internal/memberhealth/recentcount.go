package memberhealth

import "time"

// recentCount counts events of the recent past, in two periods of recentPeriod.
type recentCount struct {
	periodFrom        time.Time
	current, previous int
}

func (c *recentCount) add(now time.Time) {
	c.advance(now)
	c.current++
}

// sum returns the number of events in the current and the previous period.
func (c *recentCount) sum(now time.Time) int {
	c.advance(now)
	return c.current + c.previous
}

func (c *recentCount) advance(now time.Time) {
	switch age := now.Sub(c.periodFrom); {
	case age < recentPeriod:
	case age < 2*recentPeriod:
		c.periodFrom, c.current, c.previous = c.periodFrom.Add(recentPeriod), 0, c.current
	default:
		c.periodFrom, c.current, c.previous = now, 0, 0
	}
}
