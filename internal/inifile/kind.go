package inifile

// Kind is the type of a key's value.
type Kind interface {
	// Parse returns the typed value. Its error only describes what is wrong; the
	// problem that reports the error adds the result of Allowed.
	Parse(text string) (any, error)
	// Allowed describes the accepted values.
	Allowed() string
}
