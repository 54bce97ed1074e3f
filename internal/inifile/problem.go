package inifile

import (
	"fmt"
	"strings"
)

// Problem is one fault of a file.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1.
	Line    int    `json:"line"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Value   string `json:"value,omitempty"`
	Reason  string `json:"reason"`
	// Allowed tells which values are accepted; empty when Reason says it all.
	Allowed string `json:"allowed,omitempty"`
}

// maxQuoted bounds how much of a value an error repeats, in bytes.
const maxQuoted = 80

// String returns the problem as one line of text.
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:", p.File, p.Line)
	if p.Section != "" {
		fmt.Fprintf(&b, " [%s]", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, " %s", p.Key)
	}
	if p.Value != "" {
		fmt.Fprintf(&b, " = %q", shorten(p.Value))
	}
	if p.Section != "" {
		b.WriteByte(':')
	}
	b.WriteString(" " + p.Reason)
	if p.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", p.Allowed)
	}
	return b.String()
}

func shorten(s string) string {
	if len(s) <= maxQuoted {
		return s
	}
	return strings.ToValidUTF8(s[:maxQuoted], "") + "..."
}
