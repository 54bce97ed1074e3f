package logpos

import (
	"errors"
	"testing"
)

// A caller may send any text as its token. It is either refused as no token, or
// names a group and a term, and its wire form leads back to the same token:
// otherwise a session would be held against another mark than it was given.
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
		again, err := ParseToken(token.String())
		if err != nil || again != token {
			t.Fatalf("%q: %v became %v, error %v", s, token, again, err)
		}
	})
}
