package inifile

// File is a file that was read against a schema.
type File struct {
	Name     string
	Sections []*Section
	problems Problems
}

// All returns the sections of a kind in the order of the file.
func (f *File) All(kind string) []*Section {
	var found []*Section
	for _, s := range f.Sections {
		if s.Kind == kind {
			found = append(found, s)
		}
	}
	return found
}

// First returns the first section of a kind. A kind that is absent yields a
// section whose values are the defaults.
func (f *File) First(schema *Schema, kind string) *Section {
	if all := f.All(kind); len(all) > 0 {
		return all[0]
	}
	return emptySection(schema, kind)
}

// Refuse adds a fault of a key that only a check across keys can find.
func (f *File) Refuse(s *Section, key, reason, allowed string) {
	f.problems = append(f.problems, Problem{File: f.Name, Line: s.KeyLine(key), Section: s.Title(),
		Key: key, Value: s.texts[key], Reason: reason, Allowed: allowed})
}

// RefuseSection adds a fault of a whole section.
func (f *File) RefuseSection(s *Section, reason, allowed string) {
	f.problems = append(f.problems, Problem{File: f.Name, Line: s.Line, Section: s.Title(),
		Reason: reason, Allowed: allowed})
}

// Err returns all faults found so far, or nil.
func (f *File) Err() error { return f.problems.Err() }
