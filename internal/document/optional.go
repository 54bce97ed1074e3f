package document

import (
	"time"

	"github.com/topazrock/topazrock/internal/inifile"
)

// optionalDuration parses a duration in a range, or zero, which selects the
// default from [limits].
type optionalDuration struct{ inifile.Duration }

// Parse implements inifile.ValueType.
func (k optionalDuration) Parse(text string) (any, error) {
	if d, err := time.ParseDuration(text); err == nil && d == 0 {
		return d, nil
	}
	return k.Duration.Parse(text)
}

// noName is written in a document in place of an optional name that is not set.
const noName = "-"

// optionalName parses a name, or noName, whose value is the empty string.
type optionalName struct{ inifile.Name }

// Parse implements inifile.ValueType.
func (k optionalName) Parse(text string) (any, error) {
	if text == noName {
		return "", nil
	}
	return k.Name.Parse(text)
}

// Allowed implements inifile.ValueType.
func (k optionalName) Allowed() string { return noName + " or " + k.Name.Allowed() }

// Allowed implements inifile.ValueType.
func (k optionalDuration) Allowed() string { return "0s or " + k.Duration.Allowed() }
