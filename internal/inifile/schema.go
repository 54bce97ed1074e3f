package inifile

// Key describes one key of a section.
type Key struct {
	Section string
	Name    string
	Kind    Kind
	// Default is the value in the file's notation when the key is absent.
	Default string
	// Required says that the key has no default and must be present.
	Required bool
	// Secret says that errors must not repeat the value.
	Secret  bool
	Meaning string
}

// SectionRule describes one kind of section.
type SectionRule struct {
	Kind string
	// Named says that the header carries a name, as in [group orders].
	Named bool
	// Required says that at least one such section must be present.
	Required bool
}

// Schema describes a kind of file.
type Schema struct {
	// MaxSize bounds the file, in bytes.
	MaxSize  int
	Sections []SectionRule
	Keys     []Key
}

func (s *Schema) rule(kind string) (SectionRule, bool) {
	for _, r := range s.Sections {
		if r.Kind == kind {
			return r, true
		}
	}
	return SectionRule{}, false
}

func (s *Schema) key(section, name string) (Key, bool) {
	for _, k := range s.Keys {
		if k.Section == section && k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

func (s *Schema) keysOf(section string) []Key {
	var keys []Key
	for _, k := range s.Keys {
		if k.Section == section {
			keys = append(keys, k)
		}
	}
	return keys
}

func (s *Schema) kinds() string {
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
