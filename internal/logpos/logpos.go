// Package logpos defines the coordinates of a replicated log: terms, positions,
// and the session token that combines them.
//
// A term is the number of one primary's leadership period and never decreases.
// A position is a byte offset in the log. Two positions with terms are compared by term first,
// because records that an older primary wrote past the start of the next term
// are discarded.
package logpos

// Term is the number of one primary's leadership period in a group. Zero means none.
type Term uint64

// Position is an offset in a group's log, in bytes.
type Position uint64

// TermPosition identifies a log record by the term that wrote it and its end position.
type TermPosition struct {
	Term     Term     `json:"term"`
	Position Position `json:"position"`
}

// Less reports whether m precedes other. Terms are compared before positions.
func (m TermPosition) Less(other TermPosition) bool {
	if m.Term != other.Term {
		return m.Term < other.Term
	}
	return m.Position < other.Position
}
