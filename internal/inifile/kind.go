package inifile

// Kind is the type of a key's value.
type Kind interface {
	// Parse returns the typed value. The error says what is wrong with it; what
	// is allowed is added by the caller.
	Parse(text string) (any, error)
	// Allowed describes the accepted values.
	Allowed() string
}
