package inifile

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// loadOptions make the library read one line as one value.
var loadOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
	ChildSectionDelimiter:    "\x00",
}

// Read parses text and checks it against a schema. It returns no error: File.Err
// returns the problems, together with those that other packages add by AddKeyProblem and
// AddSectionProblem after Read.
func Read(schema *Schema, name string, text []byte) *File {
	f := &File{Name: name}
	if len(text) > schema.MaxSize {
		f.problems = Problems{{File: name, Line: 1, Reason: fmt.Sprintf("the file has %d bytes", len(text)),
			Allowed: fmt.Sprintf("up to %d bytes", schema.MaxSize)}}
		return f
	}
	sc := scan(name, text)
	f.problems = sc.problems
	loaded, err := ini.LoadSources(loadOptions, sc.cleaned.Bytes())
	if err != nil {
		f.problems = append(f.problems, Problem{File: name, Line: 1, Reason: err.Error()})
		return f
	}
	r := &reader{schema: schema, file: f, loaded: loaded, firstLines: make(map[string]int)}
	r.readSections(sc.headers)
	r.checkRequiredSections()
	return f
}

// reader converts scanned sections to sections with typed values.
type reader struct {
	schema *Schema
	file   *File
	loaded *ini.File
	// firstLines maps the title of each section to the line where it first occurs.
	firstLines map[string]int
}

func (r *reader) readSections(headers []*sectionPosition) {
	for _, h := range headers {
		if h.name == "" {
			continue
		}
		if s := r.newSection(h); s != nil {
			r.file.Sections = append(r.file.Sections, s)
			r.readKeys(s, h)
		}
	}
}

// newSection checks a section header and returns a section without keys, or
// nil if the section is invalid.
func (r *reader) newSection(h *sectionPosition) *Section {
	kind, name, _ := strings.Cut(h.name, " ")
	rule, known := r.schema.findSection(kind)
	s := defaultSection(r.schema, kind)
	s.Name, s.Line = name, h.line
	switch {
	case !known:
		r.file.AddSectionProblem(s, "unknown section", r.schema.sectionHeaders())
		return nil
	case rule.Named && name == "":
		r.file.AddSectionProblem(s, "the section needs a name", "["+kind+" NAME]")
		return nil
	case !rule.Named && name != "":
		r.file.AddSectionProblem(s, "the section takes no name", "["+kind+"]")
		return nil
	}
	if rule.Named {
		if _, err := (Name{}).Parse(name); err != nil {
			r.file.AddSectionProblem(s, err.Error(), Name{}.Allowed())
		}
	}
	if first, duplicate := r.firstLines[h.name]; duplicate {
		r.file.AddSectionProblem(s, fmt.Sprintf("the section stands twice, first in line %d", first), "")
		return nil
	}
	r.firstLines[h.name] = h.line
	return s
}

func (r *reader) readKeys(s *Section, h *sectionPosition) {
	values := r.loaded.Section(sectionID(h.line))
	for _, pos := range h.keys {
		s.keyLines[pos.key] = pos.line
		r.readKey(s, pos.key, values.Key(pos.key).Value())
	}
	for _, k := range r.schema.sectionKeys(s.Kind) {
		if k.Required && !s.HasKey(k.Name) {
			r.file.AddKeyProblem(s, k.Name, "the key is missing", k.Type.Allowed())
		}
	}
}

func (r *reader) readKey(s *Section, name, text string) {
	k, known := r.schema.findKey(s.Kind, name)
	if !known {
		r.file.AddKeyProblem(s, name, "unknown key", strings.Join(r.keyNames(s.Kind), ", "))
		return
	}
	if !k.Secret {
		s.rawValues[name] = text
	}
	v, err := k.Type.Parse(text)
	s.values[name] = v
	if err != nil {
		reason := err.Error()
		if text == "" {
			reason = "the value is empty"
		}
		r.file.AddKeyProblem(s, name, reason, k.Type.Allowed())
	}
}

func (r *reader) keyNames(kind string) []string {
	var names []string
	for _, k := range r.schema.sectionKeys(kind) {
		names = append(names, k.Name)
	}
	return names
}

// checkRequiredSections reports every required section that the file lacks.
func (r *reader) checkRequiredSections() {
	for _, rule := range r.schema.Sections {
		if rule.Required && len(r.file.SectionsOfKind(rule.Kind)) == 0 {
			s := &Section{Kind: rule.Kind, Line: 1}
			r.file.AddSectionProblem(s, "the section is missing", r.schema.sectionHeaders())
		}
	}
}

// defaultSection returns a section whose keys have their default values.
func defaultSection(schema *Schema, kind string) *Section {
	s := &Section{Kind: kind, Line: 1, values: make(map[string]any),
		keyLines: make(map[string]int), rawValues: make(map[string]string)}
	for _, k := range schema.sectionKeys(kind) {
		v, err := k.Type.Parse(k.Default)
		if err != nil && !k.Required && k.Default != "" {
			panic(fmt.Sprintf("inifile: invalid default of %s.%s: %v", kind, k.Name, err))
		}
		s.values[k.Name] = v
	}
	return s
}
