package logpos

import (
	"errors"
	"testing"
)

// A caller may send any text as its token. ParseToken must either reject it, or
// return a token with a group and a term whose wire form parses to the same token.
// Otherwise a session would be checked against a position other than its own.
func FuzzParseToken(f *testing.F) {
	for _, s := range []string{
		"", "base-1:3:4096", "base-1:0:1", ":1:1", "a:b:c", "base-1:1", "base-1:1:1:1",
		"base-1:18446744073709551615:18446744073709551615", "base-1:18446744073709551616:1",
		"base-1:+1:1", "base-1:1:-1", "base-1:01:007", "\x00:1:1", "g:1:1 ",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		token, err := ParseToken(s)
		if err != nil {
			if !errors.Is(err, ErrBadToken) || !token.IsZero() {
				t.Fatalf("%q: token %v, error %v", s, token, err)
			}
			return
		}
		if token.IsZero() != (s == "") {
			t.Fatalf("%q: token %v", s, token)
		}
		if !token.IsZero() && (token.Group == "" || token.Term == 0) {
			t.Fatalf("%q: token %v has no group or no term", s, token)
		}
		reparsed, err := ParseToken(token.String())
		if err != nil || reparsed != token {
			t.Fatalf("%q: %v became %v, error %v", s, token, reparsed, err)
		}
	})
}
