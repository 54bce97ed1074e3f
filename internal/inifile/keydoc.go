package inifile

import "fmt"

// KeyDoc describes one key for the operator documentation.
type KeyDoc struct {
	// Section is the first word of the section header.
	Section string
	Name    string
	// Default is the default as written in the file. It is empty if the key is
	// required or its default is an empty value.
	Default     string
	Required    bool
	Allowed     string
	Description string
}

// MarkdownRow returns the key as a row of a Markdown table with the columns
// key, default, allowed values and meaning.
func (k KeyDoc) MarkdownRow() string {
	value := "`" + k.Default + "`"
	switch {
	case k.Required:
		value = "required"
	case k.Default == "":
		value = "empty"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s |", k.Name, value, k.Allowed, k.Description)
}

// KeyDocs returns the documentation of every key in schema order.
func (s *Schema) KeyDocs() []KeyDoc {
	docs := make([]KeyDoc, len(s.Keys))
	for i, k := range s.Keys {
		docs[i] = KeyDoc{Section: k.Section, Name: k.Name, Default: k.Default,
			Required: k.Required, Allowed: k.Type.Allowed(), Description: k.Description}
	}
	return docs
}
