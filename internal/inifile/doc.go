// Package inifile parses INI text, checks it against a schema and reports all
// problems at once, each with file, line, key, value and the allowed values.
//
// The values are parsed by gopkg.in/ini.v1. That library stops at the first
// error, merges repeated sections and keys, and gives no line numbers. A line
// scanner therefore runs first: it rejects what the library would merge or
// misinterpret and passes the rest to the library.
package inifile
