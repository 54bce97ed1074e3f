package frontend

import (
	"slices"
	"strings"

	"github.com/topazrock/topazrock/internal/execution"
	"github.com/topazrock/topazrock/internal/result"
	state "github.com/topazrock/topazrock/internal/session"
)

// setting is one change of a session value by a statement.
type setting struct {
	// name is the name of the value in lower case; allSettings means all values.
	name string
	// value is the new value as SQL text; empty for the member's default.
	value string
}

// allSettings is the name with which RESET resets all values.
const allSettings = "all"

// timeZoneName is the name of the setting that SET TIME ZONE changes.
const timeZoneName = "timezone"

// unsupportedSettings are settings that a session must not change. The first two change
// the role that a statement runs as, which the instance decides. The next two make a
// member reject writes with the same error as a member that is not the primary, and the
// instance would search for another primary. The session token is set by a statement of
// its own.
var unsupportedSettings = []string{
	"role", "session_authorization", "default_transaction_read_only", "transaction_read_only", TokenParameter,
}

// parseSettings parses an SQL text that only changes session values. It returns
// isSettings false if the text does not begin with a statement that changes them, and an
// error if it begins with one but any part of it is not supported.
func parseSettings(sql string) (changes []setting, isSettings bool, err error) {
	if !changesSettings(sql) {
		return nil, false, nil
	}
	tokens, ok := settingTokens(sql)
	for ok && len(tokens) > 0 {
		end := slices.Index(tokens, ";")
		if end < 0 {
			end = len(tokens)
		}
		if end > 0 {
			var c setting
			c, ok = parseSetting(tokens[:end])
			changes = append(changes, c)
		}
		tokens = tokens[min(end+1, len(tokens)):]
	}
	if !ok {
		return nil, true, result.New(result.NotSupported, "this SET is not kept for the session; plain values are: SET name = 'value'")
	}
	for _, c := range changes {
		if slices.Contains(unsupportedSettings, c.name) {
			return nil, true, result.New(result.NotSupported, "%s is not kept for the session", c.name)
		}
	}
	return changes, true, nil
}

// changesSettings reports whether sql begins with a statement that changes settings
// beyond the current transaction.
func changesSettings(sql string) bool {
	fields := strings.Fields(strings.ToLower(skipComments(sql)))
	if len(fields) < 2 {
		return false
	}
	switch fields[0] {
	case "set":
		return !slices.Contains([]string{"local", "transaction", "constraints"}, fields[1])
	case "reset":
		return true
	case "discard":
		return strings.TrimRight(fields[1], ";") == allSettings
	}
	return false
}

// parseSetting parses one SET, RESET or DISCARD statement.
func parseSetting(tokens []string) (setting, bool) {
	first, rest := strings.ToLower(tokens[0]), tokens[1:]
	if first == "set" && len(rest) > 0 && strings.EqualFold(rest[0], "session") {
		rest = rest[1:]
	}
	if len(rest) == 0 {
		return setting{}, false
	}
	c := setting{name: strings.ToLower(rest[0])}
	rest = rest[1:]
	isTimeZone := c.name == "time" && len(rest) > 0 && strings.EqualFold(rest[0], "zone")
	if isTimeZone {
		c.name, rest = timeZoneName, rest[1:]
	}
	switch first {
	case "reset":
		return c, len(rest) == 0 && isSettingName(c.name)
	case "discard":
		return c, len(rest) == 0 && c.name == allSettings
	}
	if !isTimeZone {
		if len(rest) == 0 || rest[0] != "=" && !strings.EqualFold(rest[0], "to") {
			return setting{}, false
		}
		rest = rest[1:]
	}
	value, ok := parseValue(rest)
	c.value = value
	return c, ok && isSettingName(c.name) && c.name != allSettings
}

// parseValue parses the comma-separated values of SET. DEFAULT gives an empty value,
// which means the member's default.
func parseValue(tokens []string) (string, bool) {
	if len(tokens)%2 == 0 {
		return "", false
	}
	var values []string
	for i, t := range tokens {
		comma := t == ","
		if comma != (i%2 == 1) || t == "=" {
			return "", false
		}
		if !comma {
			values = append(values, t)
		}
	}
	if len(values) == 1 && strings.EqualFold(values[0], "default") {
		return "", true
	}
	return strings.Join(values, ", "), true
}

// isSettingName reports whether name is a valid setting name: words separated by dots.
func isSettingName(name string) bool {
	for _, word := range strings.Split(name, ".") {
		if word == "" || wordLength(word) != len(word) || word[0] < 'A' {
			return false
		}
	}
	return true
}

// settingTokens splits a text into words, numbers, quoted strings and punctuation. It
// returns false if the text contains anything else: the text runs on shared connections
// before other sessions' statements, and other content might affect these.
func settingTokens(sql string) ([]string, bool) {
	var tokens []string
	for {
		sql = skipComments(sql)
		if sql == "" {
			return tokens, true
		}
		n := tokenLength(sql)
		if n == 0 {
			return nil, false
		}
		tokens = append(tokens, sql[:n])
		sql = sql[n:]
	}
}

// tokenLength returns the length of the token at the start of sql, in bytes; 0 if there
// is no valid token.
func tokenLength(sql string) int {
	switch c := sql[0]; c {
	case '=', ',', ';':
		return 1
	case '\'', '"':
		end := strings.IndexByte(sql[1:], c) + 2
		quoted := sql[:end]
		// A doubled quote inside a string is an escaped quote, after which the string
		// continues. Such strings are rejected; SET LOCAL accepts them.
		if end < 2 || strings.ContainsAny(quoted, "\\\x00") || strings.HasPrefix(sql[end:], string(c)) {
			return 0
		}
		return end
	}
	n := wordLength(sql)
	if n > 0 && n < len(sql) && (sql[n] == '\'' || sql[n] == '"') {
		// Strings with a prefix, such as E'...', have other escape rules.
		return 0
	}
	return n
}

// wordLength returns the length of the word, dotted name or signed number at the start
// of s, in bytes. Only one sign is accepted, because two dashes begin a comment.
func wordLength(s string) int {
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c == '.'
		sign := i == 0 && (c == '+' || c == '-')
		if !letter && !sign {
			return i
		}
	}
	return len(s)
}

// applySettings applies changes to a session's values.
func applySettings(s *state.State, changes []setting) {
	for _, c := range changes {
		switch {
		case c.name == allSettings:
			s.UnsetAll()
		case c.value == "":
			s.Unset(c.name)
		default:
			s.Set(c.name, c.value)
		}
	}
}

// valuesAfter returns the values that a session will have after changes.
func valuesAfter(s state.State, changes []setting) ([]execution.SessionValue, error) {
	applySettings(&s, changes)
	if len(s.Values()) > state.MaxValues {
		return nil, result.New(result.NotSupported, "more than %d session values", state.MaxValues)
	}
	return s.Values(), nil
}
