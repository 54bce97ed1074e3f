// Package inifile reads INI text against a schema and reports every fault at
// once, each with file, line, key, value and what is allowed.
//
// The values are read by gopkg.in/ini.v1. That library stops at the first
// fault, merges repeated sections and keys, and gives no line numbers, so a
// line scanner runs beside it: the scanner refuses what the library would
// merge or guess at and hands over the rest.
package inifile
