package inifile

import (
	"fmt"
	"strings"
)

// Problem is one error in a file.
type Problem struct {
	File string `json:"file"`
	// Line is the line number; the first line is 1.
	Line    int    `json:"line"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Value   string `json:"value,omitempty"`
	Reason  string `json:"reason"`
	// Allowed describes the accepted values. It is empty if Reason is sufficient.
	Allowed string `json:"allowed,omitempty"`
}

// maxQuotedValue is the maximum number of bytes of a value, key or line that a
// problem quotes.
const maxQuotedValue = 80

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
		fmt.Fprintf(&b, " = %q", truncate(p.Value))
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

func truncate(s string) string {
	if len(s) <= maxQuotedValue {
		return s
	}
	return strings.ToValidUTF8(s[:maxQuotedValue], "") + "..."
}
