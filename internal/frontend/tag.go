package frontend

import (
	"net/url"
	"strings"

	"github.com/topazrock/topazrock/internal/result"
)

// Names that a request's tag may carry.
const (
	tagRequest = "request"
	tagKey     = "key"
)

// tag names a request: its class in the service document, and its key.
type tag struct {
	class, key string
}

// parseTag reads the request's tag from the comment that begins or ends an SQL
// text, in the sqlcommenter form: /*request='pay-fee',key='42'*/. No SQL is
// parsed. A comment without a request is no tag.
func parseTag(sql string) (tag, error) {
	comment, ok := outerComment(sql)
	if !ok || !strings.Contains(comment, tagRequest+"=") {
		return tag{}, nil
	}
	var t tag
	for _, pair := range strings.Split(comment, ",") {
		name, value, err := parsePair(pair)
		if err != nil {
			return tag{}, err
		}
		switch name {
		case tagRequest:
			t.class = value
		case tagKey:
			t.key = value
		}
	}
	return t, nil
}

// outerComment returns the inside of the comment at the end of sql, or else of
// the one at its start.
func outerComment(sql string) (string, bool) {
	sql = strings.TrimRight(sql, "; \t\r\n")
	if before, ok := strings.CutSuffix(sql, commentEnd); ok {
		// The marks must not share a byte: of "/*/" no comment is left between
		// them, and to cut there would bring the instance down.
		if i := strings.LastIndex(before, commentStart); i >= 0 {
			return before[i+len(commentStart):], true
		}
	}
	sql = strings.TrimLeft(sql, " \t\r\n")
	if after, ok := strings.CutPrefix(sql, commentStart); ok {
		inside, _, ended := strings.Cut(after, commentEnd)
		return inside, ended
	}
	return "", false
}

func parsePair(pair string) (name, value string, err error) {
	name, quoted, ok := strings.Cut(strings.TrimSpace(pair), "=")
	if !ok || len(quoted) < 2 || quoted[0] != '\'' || quoted[len(quoted)-1] != '\'' {
		return "", "", result.New(result.BadRequestTag, "%q is not name='value'", pair)
	}
	value, err = url.PathUnescape(quoted[1 : len(quoted)-1])
	if err != nil {
		return "", "", result.New(result.BadRequestTag, "%q", pair).WithCause(err)
	}
	if strings.ContainsAny(value, "\\\x00") {
		// A backslash would end up in an SQL literal, where a member may take
		// it for an escape.
		return "", "", result.New(result.BadRequestTag, "%q holds a backslash or a zero byte", pair)
	}
	return name, value, nil
}
