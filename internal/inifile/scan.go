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

// keyPosition records the line of one key.
type keyPosition struct {
	key  string
	line int
}

// sectionPosition records the line of one section header and of the keys below it.
type sectionPosition struct {
	name string
	line int
	keys []keyPosition
}

// scanner reads a file line by line and writes a cleaned copy for the library.
// In the copy, each section is named after its line number, so that the library
// does not merge repeated sections, and lines that it would misread are blank.
type scanner struct {
	file     string
	cleaned  bytes.Buffer
	headers  []*sectionPosition
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
		s.cleaned.WriteString(s.scanLine(i+1, strings.TrimSpace(line)))
		s.cleaned.WriteByte('\n')
	}
	return s
}

// scanLine checks the trimmed line n and returns the line for the cleaned copy.
func (s *scanner) scanLine(n int, line string) string {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
		return ""
	case !utf8.ValidString(line):
		s.addProblem(n, "the line is not valid UTF-8")
		return ""
	case strings.ContainsFunc(line, isControl):
		s.addProblem(n, "the line holds a control character")
		return ""
	case line[0] == '[':
		return s.scanSection(n, line)
	default:
		return s.scanKey(n, line)
	}
}

func isControl(r rune) bool { return r != '\t' && unicode.IsControl(r) }

func (s *scanner) scanSection(n int, line string) string {
	m := headerPattern.FindStringSubmatch(line)
	if m == nil {
		s.addProblem(n, fmt.Sprintf("%q is not a section header", truncate(line)))
		// The keys that follow belong to no known section. They are collected in a
		// section with an empty name, which is skipped later, so that only the
		// header is reported and not each of its keys.
		m = []string{"", ""}
	}
	s.headers = append(s.headers, &sectionPosition{name: strings.Join(strings.Fields(m[1]), " "), line: n})
	return "[" + sectionID(n) + "]"
}

func sectionID(line int) string { return "line " + strconv.Itoa(line) }

func (s *scanner) scanKey(n int, line string) string {
	key, value, found := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !found:
		s.addProblem(n, fmt.Sprintf("%q is neither a section nor key = value", truncate(line)))
		return ""
	case !keyPattern.MatchString(key):
		s.addProblem(n, fmt.Sprintf("%q is not a key: lower-case letters, digits and _", truncate(key)))
		return ""
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		s.addProblem(n, "values over several lines are not allowed")
		return ""
	case len(s.headers) == 0:
		s.addProblem(n, fmt.Sprintf("key %q stands before the first section", key))
		return ""
	}
	return s.addKey(n, key, line)
}

func (s *scanner) addKey(n int, key, line string) string {
	h := s.headers[len(s.headers)-1]
	for _, pos := range h.keys {
		if pos.key == key {
			s.problems = append(s.problems, Problem{File: s.file, Line: n, Section: h.name, Key: key,
				Reason: fmt.Sprintf("the key stands twice, first in line %d", pos.line)})
			return ""
		}
	}
	h.keys = append(h.keys, keyPosition{key: key, line: n})
	return line
}

func (s *scanner) addProblem(line int, reason string) {
	s.problems = append(s.problems, Problem{File: s.file, Line: line, Reason: reason})
}
