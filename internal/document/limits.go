package document

import "time"

// Limits of a service document. They protect the instances that apply it: a
// mistyped number must not use up a member's last connection or exhaust an
// instance's memory.
const (
	// MaxSize is the maximum size of a document's text in bytes. Together with
	// its envelope and history, a document of this size stays well below the
	// platform's limit for one object.
	MaxSize = 256 << 10

	// MinMembers is the minimum size of a group: with fewer than three members,
	// losing one leaves no majority.
	MinMembers = 3
	// MaxMembers is the maximum size of a group.
	MaxMembers = 9

	maxConnections = 10_000
	maxSlots       = 1_000
	maxQueueBound  = 100_000
	maxRate        = 1_000_000

	// HighestPriority is served first.
	HighestPriority = 1
	// LowestPriority is served last.
	LowestPriority = 9

	maxAgeBound = 24 * time.Hour

	minTimeout = 10 * time.Millisecond
	maxTimeout = 10 * time.Minute

	minAnswerBuffer = 4 << 10
	maxAnswerBuffer = 16 << 20
)
