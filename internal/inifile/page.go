package inifile

import (
	"fmt"
	"slices"
	"strings"
)

// ComparePage compares a Markdown page with the keys of a schema and returns
// what differs. The page has a heading for each section that begins with the
// section in brackets, and below it the rows that Row gives, in order.
func ComparePage(page string, keys []KeyDoc) []string {
	var faults []string
	found := pageRows(page)
	wanted := make(map[string][]string)
	for _, k := range keys {
		wanted[k.Section] = append(wanted[k.Section], k.Row())
	}
	for section, rows := range wanted {
		if !slices.Equal(found[section], rows) {
			faults = append(faults, fmt.Sprintf("section [%s] should have these rows:\n%s", section, strings.Join(rows, "\n")))
		}
	}
	for section, rows := range found {
		if _, known := wanted[section]; !known && len(rows) > 0 {
			faults = append(faults, fmt.Sprintf("section [%s] is not in the schema", section))
		}
	}
	return faults
}

// pageRows collects the rows that describe keys, by section.
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
