package logpos

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrBadToken says that a text is not a session token.
var ErrBadToken = errors.New("not a session token")

// maxTokenLength bounds what a caller may send as a token, in bytes.
const maxTokenLength = 256

// Token is what a session must see at least: a mark in one group's log.
// The zero Token demands nothing.
type Token struct {
	Group string `json:"group"`
	Mark
}

// IsZero reports whether the token demands nothing.
func (t Token) IsZero() bool { return t == Token{} }

// String returns the token's wire form: group:term:position.
func (t Token) String() string {
	if t.IsZero() {
		return ""
	}
	return fmt.Sprintf("%s:%d:%d", t.Group, t.Term, t.Position)
}

// ParseToken reads the wire form of a token. The empty text is the zero Token.
// It returns ErrBadToken for anything else that is malformed.
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
	mark := Mark{Term: Term(term), Position: Position(position)}
	return Token{Group: parts[0], Mark: mark}, nil
}
