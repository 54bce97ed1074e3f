package admission

import "time"

// slot is one slot in use.
type slot struct {
	class *class
	since time.Time
}

// remaining estimates how long the slot stays in use. One that is held longer
// than its class usually takes is expected to stay as long again: were it
// expected to end now, requests would queue behind a stalled member up to the
// bound instead of being refused at once.
func (s *slot) remaining(now time.Time) time.Duration {
	held := now.Sub(s.since)
	if held < s.class.service {
		return s.class.service - held
	}
	return held - s.class.service
}
