package member

import (
	"strings"
	"unicode"
)

// Token kinds. The kind of a punctuation token is the character itself.
const (
	kindWord   = 'w'
	kindText   = 't'
	kindNumber = 'n'
	kindParam  = '$'
)

// token is one token of a statement. A punctuation token has no text.
type token struct {
	kind rune
	text string
}

// lex splits SQL into tokens and drops comments. It reports false for an
// unterminated literal or comment.
func lex(sql string) ([]token, bool) {
	var out []token
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
			text, size, ok := lexQuoted(sql[i:])
			if !ok {
				return nil, false
			}
			out = append(out, token{kindText, text})
			i += size
		case c == '$':
			end := spanEnd(sql, i+1, unicode.IsDigit)
			out = append(out, token{kindParam, sql[i+1 : end]})
			i = end
		case unicode.IsDigit(c):
			end := spanEnd(sql, i, func(r rune) bool { return unicode.IsDigit(r) || r == '.' })
			out = append(out, token{kindNumber, sql[i:end]})
			i = end
		case isWordRune(c):
			end := spanEnd(sql, i, isWordRune)
			out = append(out, token{kindWord, strings.ToLower(sql[i:end])})
			i = end
		default:
			out = append(out, token{kind: c})
			i++
		}
	}
	return out, true
}

// lexQuoted reads a quoted literal, in which a doubled quote is an escaped quote.
// It returns the text and the number of bytes read.
func lexQuoted(s string) (text string, size int, ok bool) {
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

func isWordRune(r rune) bool { return r == '_' || unicode.IsLetter(r) || unicode.IsDigit(r) }

func spanEnd(s string, i int, in func(rune) bool) int {
	for i < len(s) && in(rune(s[i])) {
		i++
	}
	return i
}
