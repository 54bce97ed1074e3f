package inifile

// Key describes one key of a section.
type Key struct {
	Section string
	Name    string
	Type    ValueType
	// Default is the value of an absent key, as written in the file.
	Default string
	// Required is set for a key that has no default and must be present.
	Required bool
	// Secret is set for a value that must not appear in errors.
	Secret      bool
	Description string
}

// SectionRule describes one kind of section, which the first word of its header names.
type SectionRule struct {
	Kind string
	// Named is set if the header includes a name, as in [group orders].
	Named bool
	// Required is set if at least one such section must be present.
	Required bool
}

// Schema describes the sections and keys that a kind of file may contain.
type Schema struct {
	// MaxSize is the maximum file size in bytes.
	MaxSize  int
	Sections []SectionRule
	Keys     []Key
}

func (s *Schema) findSection(kind string) (SectionRule, bool) {
	for _, r := range s.Sections {
		if r.Kind == kind {
			return r, true
		}
	}
	return SectionRule{}, false
}

func (s *Schema) findKey(section, name string) (Key, bool) {
	for _, k := range s.Keys {
		if k.Section == section && k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

func (s *Schema) sectionKeys(section string) []Key {
	var keys []Key
	for _, k := range s.Keys {
		if k.Section == section {
			keys = append(keys, k)
		}
	}
	return keys
}

func (s *Schema) sectionHeaders() string {
	var text string
	for i, r := range s.Sections {
		if i > 0 {
			text += ", "
		}
		text += "[" + r.Kind
		if r.Named {
			text += " NAME"
		}
		text += "]"
	}
	return text
}
