package document

// Key describes one key of a service document for the operators' pages.
type Key struct {
	// Section is the header's first word.
	Section string
	Name    string
	// Default is the value in the document's notation; empty when the key is
	// required.
	Default  string
	Required bool
	Allowed  string
	Meaning  string
}

// Keys lists every key in the order of the operators' page.
func Keys() []Key {
	keys := make([]Key, 0, len(schema.Keys))
	for _, k := range schema.Keys {
		keys = append(keys, Key{Section: k.Section, Name: k.Name, Default: k.Default,
			Required: k.Required, Allowed: k.Kind.Allowed(), Meaning: k.Meaning})
	}
	return keys
}
