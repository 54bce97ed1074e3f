package group

import "time"

// Ticket marks the moment before a query to a member is sent. Tickets of one Watcher are
// totally ordered, even if the clock does not advance.
type Ticket struct {
	number uint64
	at     time.Time
}

// After reports whether t was taken later than o.
func (t Ticket) After(o Ticket) bool { return t.number > o.number }
