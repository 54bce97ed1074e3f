package inifile

import "time"

// Section is one section with typed values.
type Section struct {
	Kind string
	// Name is the name in the header. It is empty for a kind without names.
	Name string
	Line int

	values    map[string]any
	keyLines  map[string]int
	rawValues map[string]string
}

// Title returns the header without its brackets.
func (s *Section) Title() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + " " + s.Name
}

// Value returns the typed value of a key. It is the default if the key is
// absent, and the zero value of the key's kind if the value is invalid.
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

// KeyLine returns the line of a key, or that of the section header if the key is
// absent.
func (s *Section) KeyLine(key string) int {
	if n, ok := s.keyLines[key]; ok {
		return n
	}
	return s.Line
}

// HasKey reports whether the file sets the key.
func (s *Section) HasKey(key string) bool {
	_, ok := s.keyLines[key]
	return ok
}
