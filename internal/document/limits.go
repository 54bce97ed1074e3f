package document

import "time"

// Bounds of a service document. They guard the instances that apply it: a
// mistyped figure must not take a member's last connection or an instance's
// memory.
const (
	// MaxSize bounds a document's text, in bytes. With its envelope and history
	// it stays well under what the platform stores in one object.
	MaxSize = 256 << 10

	// MinMembers is the smallest group: with fewer than three members the loss
	// of one leaves no majority.
	MinMembers = 3
	// MaxMembers is the largest group.
	MaxMembers = 9

	maxConnections = 10_000
	maxSlots       = 1_000
	maxQueueBound  = 100_000
	maxRate        = 1_000_000

	// HighestPriority goes first.
	HighestPriority = 1
	// LowestPriority goes last.
	LowestPriority = 9

	maxAgeBound = 24 * time.Hour

	minTimeout = 10 * time.Millisecond
	maxTimeout = 10 * time.Minute

	minAnswerBuffer = 4 << 10
	maxAnswerBuffer = 16 << 20
)
