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

// Read reads text against a schema. The faults are in the File's Err, so that
// a caller can add its own checks and report all of them together.
func Read(schema *Schema, name string, text []byte) *File {
	f := &File{Name: name}
	if len(text) > schema.MaxSize {
		f.problems = Problems{{File: name, Line: 1, Reason: fmt.Sprintf("the file has %d bytes", len(text)),
			Allowed: fmt.Sprintf("up to %d bytes", schema.MaxSize)}}
		return f
	}
	sc := scan(name, text)
	f.problems = sc.problems
	loaded, err := ini.LoadSources(loadOptions, sc.clean.Bytes())
	if err != nil {
		f.problems = append(f.problems, Problem{File: name, Line: 1, Reason: err.Error()})
		return f
	}
	r := &reader{schema: schema, file: f, loaded: loaded, titles: make(map[string]int)}
	r.sections(sc.headers)
	r.missing()
	return f
}

// reader turns scanned sections into typed ones.
type reader struct {
	schema *Schema
	file   *File
	loaded *ini.File
	// titles maps the title of each section to its first line.
	titles map[string]int
}

func (r *reader) sections(headers []*header) {
	for _, h := range headers {
		if h.name == "" {
			continue
		}
		if s := r.open(h); s != nil {
			r.file.Sections = append(r.file.Sections, s)
			r.entries(s, h)
		}
	}
}

// open checks a header and returns its section, or nil when it is refused.
func (r *reader) open(h *header) *Section {
	kind, name, _ := strings.Cut(h.name, " ")
	rule, known := r.schema.rule(kind)
	s := emptySection(r.schema, kind)
	s.Name, s.Line = name, h.line
	switch {
	case !known:
		r.file.RefuseSection(s, "unknown section", r.schema.kinds())
		return nil
	case rule.Named && name == "":
		r.file.RefuseSection(s, "the section needs a name", "["+kind+" NAME]")
		return nil
	case !rule.Named && name != "":
		r.file.RefuseSection(s, "the section takes no name", "["+kind+"]")
		return nil
	}
	if rule.Named {
		if _, err := (Name{}).Parse(name); err != nil {
			r.file.RefuseSection(s, err.Error(), Name{}.Allowed())
		}
	}
	if first, twice := r.titles[h.name]; twice {
		r.file.RefuseSection(s, fmt.Sprintf("the section stands twice, first in line %d", first), "")
		return nil
	}
	r.titles[h.name] = h.line
	return s
}

func (r *reader) entries(s *Section, h *header) {
	values := r.loaded.Section(sectionID(h.line))
	for _, e := range h.entries {
		s.lines[e.key] = e.line
		r.entry(s, e.key, values.Key(e.key).Value())
	}
	for _, k := range r.schema.keysOf(s.Kind) {
		if k.Required && !s.Present(k.Name) {
			r.file.Refuse(s, k.Name, "the key is missing", k.Kind.Allowed())
		}
	}
}

func (r *reader) entry(s *Section, name, text string) {
	k, known := r.schema.key(s.Kind, name)
	if !known {
		r.file.Refuse(s, name, "unknown key", strings.Join(r.names(s.Kind), ", "))
		return
	}
	if !k.Secret {
		s.texts[name] = text
	}
	v, err := k.Kind.Parse(text)
	s.values[name] = v
	if err != nil {
		reason := err.Error()
		if text == "" {
			reason = "the value is empty"
		}
		r.file.Refuse(s, name, reason, k.Kind.Allowed())
	}
}

func (r *reader) names(kind string) []string {
	var names []string
	for _, k := range r.schema.keysOf(kind) {
		names = append(names, k.Name)
	}
	return names
}

// missing refuses a file without a section that must be present.
func (r *reader) missing() {
	for _, rule := range r.schema.Sections {
		if rule.Required && len(r.file.All(rule.Kind)) == 0 {
			s := &Section{Kind: rule.Kind, Line: 1}
			r.file.RefuseSection(s, "the section is missing", r.schema.kinds())
		}
	}
}

// emptySection returns a section that holds the defaults of its kind.
func emptySection(schema *Schema, kind string) *Section {
	s := &Section{Kind: kind, Line: 1, values: make(map[string]any),
		lines: make(map[string]int), texts: make(map[string]string)}
	for _, k := range schema.keysOf(kind) {
		v, err := k.Kind.Parse(k.Default)
		if err != nil && !k.Required && k.Default != "" {
			panic(fmt.Sprintf("inifile: default of %s.%s: %v", kind, k.Name, err))
		}
		s.values[k.Name] = v
	}
	return s
}
