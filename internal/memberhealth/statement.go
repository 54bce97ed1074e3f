package memberhealth

import "time"

// Statement is one statement that was sent to a member and has not ended. All methods of a nil
// Statement do nothing. Exactly one of the methods below is called when the statement ends.
type Statement struct {
	tracker     *Tracker
	address     string
	incarnation int64
	class       string
	sentAt      time.Time
	// silentFrom is when the member last answered a statement that was sent before this one, and
	// sentAt before it has done so. Guarded by Tracker.mu.
	silentFrom time.Time
	// overdue means that the statement was counted as silent. Guarded by Tracker.mu.
	overdue bool
}

// Served records that the member served the statement.
func (s *Statement) Served() { s.end(outcomeServed) }

// Failed records that the member failed the statement.
func (s *Statement) Failed() { s.end(outcomeFailed) }

// Broken records that the connection broke before the answer.
func (s *Statement) Broken() { s.end(outcomeBroken) }

// TimedOut records that the statement was given up on. It counts as silent only if the time was
// long enough for the class: a caller may allow less.
func (s *Statement) TimedOut() { s.end(outcomeTimedOut) }

// Refused records that the member refused the statement before it ran, or that the statement was
// not sent.
func (s *Statement) Refused() { s.end(outcomeRefused) }

func (s *Statement) end(o outcome) {
	if s != nil {
		s.tracker.end(s, o)
	}
}

// outcome is how a statement ended.
type outcome int

const (
	outcomeServed outcome = iota
	outcomeFailed
	outcomeBroken
	outcomeTimedOut
	outcomeRefused
)
