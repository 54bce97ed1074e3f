package inifile

import "fmt"

// KeyDoc describes one key for the operators' pages.
type KeyDoc struct {
	// Section is the header's first word.
	Section string
	Name    string
	// Default is the value in the file's notation; empty when the key is
	// required or when its default is an empty value.
	Default  string
	Required bool
	Allowed  string
	Meaning  string
}

// Row returns the key as a row of a Markdown table: key, default, what is
// allowed, meaning.
func (k KeyDoc) Row() string {
	value := "`" + k.Default + "`"
	switch {
	case k.Required:
		value = "required"
	case k.Default == "":
		value = "empty"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s |", k.Name, value, k.Allowed, k.Meaning)
}

// Docs describes every key in the order of the schema.
func (s *Schema) Docs() []KeyDoc {
	docs := make([]KeyDoc, len(s.Keys))
	for i, k := range s.Keys {
		docs[i] = KeyDoc{Section: k.Section, Name: k.Name, Default: k.Default,
			Required: k.Required, Allowed: k.Kind.Allowed(), Meaning: k.Meaning}
	}
	return docs
}
