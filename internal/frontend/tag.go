package frontend

import (
	"net/url"
	"strings"

	"github.com/topazrock/topazrock/internal/result"
)

// Names in a request's tag.
const (
	tagRequest = "request"
	tagKey     = "key"
)

// tag identifies a request by its class in the service document and its key.
type tag struct {
	class, key string
}

// parseTag parses the request's tag, which is a comment at the start or end of an SQL
// text in the sqlcommenter format: /*request='pay-fee',key='42'*/. The SQL
// itself is not parsed. A comment without a request is not a tag.
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

// outerComment returns the content of the comment at the end of sql, or of the one
// at its start if there is none at the end.
func outerComment(sql string) (string, bool) {
	sql = strings.TrimRight(sql, "; \t\r\n")
	if before, ok := strings.CutSuffix(sql, commentEnd); ok {
		// The delimiters must not overlap, as they do in "/*/": slicing between
		// overlapping delimiters would panic and crash the instance.
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
		// The value is put into an SQL literal, where a member may interpret a
		// backslash as an escape.
		return "", "", result.New(result.BadRequestTag, "%q holds a backslash or a zero byte", pair)
	}
	return name, value, nil
}
