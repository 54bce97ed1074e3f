package memberhealth

import "time"

// Work is what this instance has seen of the statements that it sent to one incarnation of a
// member.
type Work struct {
	// Incarnation is the start of the member's process, in Unix milliseconds; zero if it is not
	// known.
	Incarnation int64
	// FailingSince is when the first of the latest failed statements was sent, if enough of them
	// have failed for the member to count as failing its work; zero otherwise.
	FailingSince time.Time
	// Served and Failed count the statements of the recent past. Statements that the member
	// refused before it ran them count as neither.
	Served, Failed int
	// LastServedAt is when the newest statement that the member served was sent.
	LastServedAt time.Time
}

// Failing reports whether the member fails its work.
func (w Work) Failing() bool { return !w.FailingSince.IsZero() }

// WorkView provides the work of a group's members, by address.
type WorkView interface {
	Work(address string) Work
}
