// Package logpos holds the coordinates of a replicated log: terms, positions,
// and the session token made of them.
//
// A term numbers the reign of one primary and only rises. A position counts
// bytes of the log. Two marks compare by term first: a longer tail of an older
// term is a tail to discard.
package logpos

// Term numbers the reign of one primary of a group. Zero means none.
type Term uint64

// Position is an offset in a group's log, in bytes.
type Position uint64

// Mark names a log record by the term that wrote it and its end position.
type Mark struct {
	Term     Term     `json:"term"`
	Position Position `json:"position"`
}

// Less reports whether m stands before o, terms first.
func (m Mark) Less(o Mark) bool {
	if m.Term != o.Term {
		return m.Term < o.Term
	}
	return m.Position < o.Position
}
