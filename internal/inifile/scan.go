package inifile

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// entry is the place of one key.
type entry struct {
	key  string
	line int
}

// header is the place of one section and of the keys in it.
type header struct {
	name    string
	line    int
	entries []entry
}

// scanner walks over the lines of a file and makes a copy in which each
// section is named by its line number, so that repeated sections stay apart,
// and lines that the library would misread are blank.
type scanner struct {
	file     string
	clean    bytes.Buffer
	headers  []*header
	problems Problems
}

var (
	headerPattern = regexp.MustCompile(`^\[([^\[\]]*[^\[\]\s][^\[\]]*)\]\s*([#;].*)?$`)
	keyPattern    = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)
	byteOrderMark = []byte("\xef\xbb\xbf")
)

func scan(file string, text []byte) *scanner {
	s := &scanner{file: file}
	text = bytes.TrimPrefix(text, byteOrderMark)
	for i, line := range strings.Split(string(text), "\n") {
		s.clean.WriteString(s.line(i+1, strings.TrimSpace(line)))
		s.clean.WriteByte('\n')
	}
	return s
}

// line takes one trimmed line and returns what the library is to read.
func (s *scanner) line(n int, line string) string {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
		return ""
	case !utf8.ValidString(line):
		s.fault(n, "the line is not valid UTF-8")
		return ""
	case strings.ContainsFunc(line, isControl):
		s.fault(n, "the line holds a control character")
		return ""
	case line[0] == '[':
		return s.section(n, line)
	default:
		return s.key(n, line)
	}
}

func isControl(r rune) bool { return r != '\t' && unicode.IsControl(r) }

func (s *scanner) section(n int, line string) string {
	m := headerPattern.FindStringSubmatch(line)
	if m == nil {
		s.fault(n, fmt.Sprintf("%q is not a section header", shorten(line)))
		// Keys that follow belong to no known section; they are kept under a
		// header without a name, so that they cause no errors of their own.
		m = []string{"", ""}
	}
	s.headers = append(s.headers, &header{name: strings.Join(strings.Fields(m[1]), " "), line: n})
	return "[" + sectionID(n) + "]"
}

func sectionID(line int) string { return "line " + strconv.Itoa(line) }

func (s *scanner) key(n int, line string) string {
	key, value, found := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !found:
		s.fault(n, fmt.Sprintf("%q is neither a section nor key = value", shorten(line)))
		return ""
	case !keyPattern.MatchString(key):
		s.fault(n, fmt.Sprintf("%q is not a key: lower-case letters, digits and _", shorten(key)))
		return ""
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		s.fault(n, "values over several lines are not allowed")
		return ""
	case len(s.headers) == 0:
		s.fault(n, fmt.Sprintf("key %q stands before the first section", key))
		return ""
	}
	return s.place(n, key, line)
}

func (s *scanner) place(n int, key, line string) string {
	h := s.headers[len(s.headers)-1]
	for _, e := range h.entries {
		if e.key == key {
			s.problems = append(s.problems, Problem{File: s.file, Line: n, Section: h.name, Key: key,
				Reason: fmt.Sprintf("the key stands twice, first in line %d", e.line)})
			return ""
		}
	}
	h.entries = append(h.entries, entry{key: key, line: n})
	return line
}

func (s *scanner) fault(line int, reason string) {
	s.problems = append(s.problems, Problem{File: s.file, Line: line, Reason: reason})
}
