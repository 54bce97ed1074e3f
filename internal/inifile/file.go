package inifile

// File is a parsed file that was checked against a schema.
type File struct {
	Name     string
	Sections []*Section
	problems Problems
}

// SectionsOfKind returns the sections of a kind in file order.
func (f *File) SectionsOfKind(kind string) []*Section {
	var found []*Section
	for _, s := range f.Sections {
		if s.Kind == kind {
			found = append(found, s)
		}
	}
	return found
}

// FirstSection returns the first section of a kind. If the file has none, it returns a
// section with the default values.
func (f *File) FirstSection(schema *Schema, kind string) *Section {
	if all := f.SectionsOfKind(kind); len(all) > 0 {
		return all[0]
	}
	return defaultSection(schema, kind)
}

// AddKeyProblem adds a problem with the value of a key. Other packages use it for
// checks that involve several keys.
func (f *File) AddKeyProblem(s *Section, key, reason, allowed string) {
	f.problems = append(f.problems, Problem{File: f.Name, Line: s.KeyLine(key), Section: s.Title(),
		Key: key, Value: s.rawValues[key], Reason: reason, Allowed: allowed})
}

// AddSectionProblem adds a problem with a whole section.
func (f *File) AddSectionProblem(s *Section, reason, allowed string) {
	f.problems = append(f.problems, Problem{File: f.Name, Line: s.Line, Section: s.Title(),
		Reason: reason, Allowed: allowed})
}

// Err returns all problems found so far as Problems, or nil if there are none.
func (f *File) Err() error { return f.problems.Err() }
