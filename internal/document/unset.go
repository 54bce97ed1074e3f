package document

import (
	"time"

	"github.com/topazrock/topazrock/internal/inifile"
)

// orUnset is a time span whose zero says that the common value holds.
type orUnset struct{ inifile.Duration }

// Parse implements inifile.Kind.
func (k orUnset) Parse(text string) (any, error) {
	if d, err := time.ParseDuration(text); err == nil && d == 0 {
		return d, nil
	}
	return k.Duration.Parse(text)
}

// noName stands in a document where a name could.
const noName = "-"

// optionalName is a name, or noName, whose value is empty.
type optionalName struct{ inifile.Name }

// Parse implements inifile.Kind.
func (k optionalName) Parse(text string) (any, error) {
	if text == noName {
		return "", nil
	}
	return k.Name.Parse(text)
}

// Allowed implements inifile.Kind.
func (k optionalName) Allowed() string { return noName + " or " + k.Name.Allowed() }

// Allowed implements inifile.Kind.
func (k orUnset) Allowed() string { return "0s or " + k.Duration.Allowed() }
