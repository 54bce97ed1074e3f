package inifile

import "time"

// Section is one section with typed values.
type Section struct {
	Kind string
	// Name is the name in the header; empty for a kind without names.
	Name string
	Line int

	values map[string]any
	lines  map[string]int
	texts  map[string]string
}

// Title returns the header without its brackets.
func (s *Section) Title() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + " " + s.Name
}

// Value returns the typed value of a key, its default when it is absent, and
// the zero value of the key's kind when it was faulty.
func (s *Section) Value(key string) any { return s.values[key] }

// Int returns the value of a key of kind Int.
func (s *Section) Int(key string) int {
	n, _ := s.values[key].(int)
	return n
}

// Decimal returns the value of a key of kind Decimal.
func (s *Section) Decimal(key string) float64 {
	n, _ := s.values[key].(float64)
	return n
}

// String returns the value of a key whose value is a string.
func (s *Section) String(key string) string {
	text, _ := s.values[key].(string)
	return text
}

// Duration returns the value of a key of kind Duration.
func (s *Section) Duration(key string) time.Duration {
	d, _ := s.values[key].(time.Duration)
	return d
}

// KeyLine returns the line of a key, or of the section when it is absent.
func (s *Section) KeyLine(key string) int {
	if n, ok := s.lines[key]; ok {
		return n
	}
	return s.Line
}

// Present reports whether the key stands in the file.
func (s *Section) Present(key string) bool {
	_, ok := s.lines[key]
	return ok
}
