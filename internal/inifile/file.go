package inifile

// File is a parsed file that was checked against a schema.
type File struct {
	Name     string
	Sections []*Section
	problems Problems
}

// All returns the sections of a kind in file order.
func (f *File) All(kind string) []*Section {
	var found []*Section
	for _, s := range f.Sections {
		if s.Kind == kind {
			found = append(found, s)
		}
	}
	return found
}

// First returns the first section of a kind. If the file has none, it returns a
// section with the default values.
func (f *File) First(schema *Schema, kind string) *Section {
	if all := f.All(kind); len(all) > 0 {
		return all[0]
	}
	return defaultSection(schema, kind)
}

// Refuse adds a problem with the value of a key. Other packages use it for
// checks that involve several keys.
func (f *File) Refuse(s *Section, key, reason, allowed string) {
	f.problems = append(f.problems, Problem{File: f.Name, Line: s.KeyLine(key), Section: s.Title(),
		Key: key, Value: s.rawValues[key], Reason: reason, Allowed: allowed})
}

// RefuseSection adds a problem with a whole section.
func (f *File) RefuseSection(s *Section, reason, allowed string) {
	f.problems = append(f.problems, Problem{File: f.Name, Line: s.Line, Section: s.Title(),
		Reason: reason, Allowed: allowed})
}

// Err returns all problems found so far as Problems, or nil if there are none.
func (f *File) Err() error { return f.problems.Err() }
