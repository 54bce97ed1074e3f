package inifile

import (
	"cmp"
	"slices"
	"strings"
)

// Problems are all faults of a file in the order of its lines. It is an error
// whose text has one line for each fault.
type Problems []Problem

// Error implements error.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems sorted by line, or nil when there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	slices.SortStableFunc(ps, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return ps
}
