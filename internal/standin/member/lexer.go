package member

import (
	"strings"
	"unicode"
)

// Kinds of tokens. Any other kind is the punctuation character itself.
const (
	kindWord   = 'w'
	kindText   = 't'
	kindNumber = 'n'
	kindParam  = '$'
)

// lexeme is one token of a statement.
type lexeme struct {
	kind rune
	text string
}

// lex splits SQL into tokens and drops comments. It reports false for a literal
// or a comment that does not end.
func lex(sql string) ([]lexeme, bool) {
	var out []lexeme
	for i := 0; i < len(sql); {
		c := rune(sql[i])
		switch {
		case unicode.IsSpace(c):
			i++
		case strings.HasPrefix(sql[i:], "/*"):
			end := strings.Index(sql[i+2:], "*/")
			if end < 0 {
				return nil, false
			}
			i += end + 4
		case strings.HasPrefix(sql[i:], "--"):
			rest, _, _ := strings.Cut(sql[i:], "\n")
			i += len(rest)
		case c == '\'':
			text, size, ok := lexText(sql[i:])
			if !ok {
				return nil, false
			}
			out = append(out, lexeme{kindText, text})
			i += size
		case c == '$':
			end := span(sql, i+1, unicode.IsDigit)
			out = append(out, lexeme{kindParam, sql[i+1 : end]})
			i = end
		case unicode.IsDigit(c):
			end := span(sql, i, func(r rune) bool { return unicode.IsDigit(r) || r == '.' })
			out = append(out, lexeme{kindNumber, sql[i:end]})
			i = end
		case isWord(c):
			end := span(sql, i, isWord)
			out = append(out, lexeme{kindWord, strings.ToLower(sql[i:end])})
			i = end
		default:
			out = append(out, lexeme{kind: c})
			i++
		}
	}
	return out, true
}

// lexText reads a quoted literal in which two quotes stand for one.
func lexText(s string) (text string, size int, ok bool) {
	var b strings.Builder
	for i := 1; i < len(s); i++ {
		switch {
		case s[i] != '\'':
			b.WriteByte(s[i])
		case i+1 < len(s) && s[i+1] == '\'':
			b.WriteByte('\'')
			i++
		default:
			return b.String(), i + 1, true
		}
	}
	return "", 0, false
}

func isWord(r rune) bool { return r == '_' || unicode.IsLetter(r) || unicode.IsDigit(r) }

func span(s string, i int, in func(rune) bool) int {
	for i < len(s) && in(rune(s[i])) {
		i++
	}
	return i
}
