package inifile

// ValueType is the type of a key's value.
type ValueType interface {
	// Parse returns the typed value. Its error states only what is wrong with the
	// text. The accepted values are reported separately, in Problem.Allowed.
	Parse(text string) (any, error)
	// Allowed describes the accepted values.
	Allowed() string
}
