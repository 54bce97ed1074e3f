package inifile

import (
	"fmt"
	"slices"
	"strings"
)

// CompareDocs compares a Markdown page with the keys of a schema and returns the
// differences. For each section, the page must have a heading that begins with
// the section in brackets, followed by the rows that KeyDoc.MarkdownRow returns
// for its keys, in schema order.
func CompareDocs(page string, keys []KeyDoc) []string {
	var differences []string
	found := pageRows(page)
	want := make(map[string][]string)
	for _, k := range keys {
		want[k.Section] = append(want[k.Section], k.MarkdownRow())
	}
	for section, rows := range want {
		if !slices.Equal(found[section], rows) {
			differences = append(differences, fmt.Sprintf("section [%s] should have these rows:\n%s", section, strings.Join(rows, "\n")))
		}
	}
	for section, rows := range found {
		if _, known := want[section]; !known && len(rows) > 0 {
			differences = append(differences, fmt.Sprintf("section [%s] is not in the schema", section))
		}
	}
	return differences
}

// pageRows returns the table rows that describe keys, grouped by section.
func pageRows(page string) map[string][]string {
	rows := make(map[string][]string)
	section := ""
	for line := range strings.Lines(page) {
		line = strings.TrimSpace(line)
		if title, ok := strings.CutPrefix(line, "## "); ok {
			section = ""
			if inner, ok := strings.CutPrefix(title, "["); ok {
				section = strings.FieldsFunc(inner, func(r rune) bool { return r == ']' || r == ' ' })[0]
			}
		}
		if section != "" && strings.HasPrefix(line, "| `") {
			rows[section] = append(rows[section], line)
		}
	}
	return rows
}
