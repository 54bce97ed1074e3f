package logpos

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrBadToken is returned for text that is not a session token.
var ErrBadToken = errors.New("not a session token")

// maxTokenLength limits the token text that a caller may send, in bytes.
const maxTokenLength = 256

// Token is the minimum position in one group's log that a session must observe.
// The zero Token requires nothing.
type Token struct {
	Group string `json:"group"`
	TermPosition
}

// IsZero reports whether the token requires nothing.
func (t Token) IsZero() bool { return t == Token{} }

// String returns the token's wire form: group:term:position.
func (t Token) String() string {
	if t.IsZero() {
		return ""
	}
	return fmt.Sprintf("%s:%d:%d", t.Group, t.Term, t.Position)
}

// ParseToken parses the wire form of a token. It returns the zero Token for an empty
// string, and ErrBadToken for malformed text.
func ParseToken(s string) (Token, error) {
	if s == "" {
		return Token{}, nil
	}
	parts := strings.Split(s, ":")
	if len(s) > maxTokenLength || len(parts) != 3 || parts[0] == "" {
		return Token{}, ErrBadToken
	}
	term, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil || term == 0 {
		return Token{}, ErrBadToken
	}
	position, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return Token{}, ErrBadToken
	}
	mark := TermPosition{Term: Term(term), Position: Position(position)}
	return Token{Group: parts[0], TermPosition: mark}, nil
}
