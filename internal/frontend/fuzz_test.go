package frontend

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/result"
)

// fuzzLimit bounds a message or a batch in the fuzz tests, in bytes.
const fuzzLimit = 1 << 16

// A tag is cut out of whatever SQL a caller sends. It is read, left alone, or
// refused with its own code; a class or key that is read holds nothing that a
// member could take for an escape when the key is stored.
func FuzzParseTag(f *testing.F) {
	for _, s := range []string{
		"", "SELECT 1", "SELECT 1 /*request='application'*/", "/*request='fee-payment',key='42'*/ INSERT",
		"SELECT 1 /*request='a',key='%27%5C'*/", "SELECT 1 /*request='%zz'*/", "/*/", "/**/", "*/", "SELECT '/*' */",
		"SELECT 1 /*request=*/", "SELECT 1 /*request='*/", "SELECT 1 /*request='a',,key='b'*/;\n", "/*request='a'*/ /*x*/",
		"SELECT 1 /*request='a',key='%00'*/", "SELECT 1 /* my_request='x' */",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		tag, err := parseTag(sql)
		if err != nil {
			if e, ok := result.As(err); !ok || e.Code != result.BadRequestTag {
				t.Fatalf("%q: error %v", sql, err)
			}
			return
		}
		if strings.ContainsAny(tag.class+tag.key, "\\\x00") {
			t.Fatalf("%q: tag %+v", sql, tag)
		}
		if !strings.Contains(sql, "/*") && tag.class+tag.key != "" {
			t.Fatalf("%q: tag %+v without a comment", sql, tag)
		}
	})
}

// SET topazrock.token is answered here and every other statement goes on to a
// member. A text that is not that SET must never be taken for it: the statement
// would be answered as done and not run.
func FuzzTokenSetting(f *testing.F) {
	for _, s := range []string{
		"", "SET topazrock.token = 'base-1:3:4096'", "set topazrock.token to 'x';", "SET topazrock.token='x'",
		"SET topazrock.token = ''", "SET topazrock.tokens = 'x'", "SET LOCAL topazrock.token = 'x'",
		"/* c */ SET topazrock.token = 'x'", "SET topazrock.token = 'x'; DELETE FROM t", "SET topazrock.token == 'x'",
		"SET topazrock.token = 'a=b'", "SET topazrock.token = 'x';DELETE", "SET topazrock.token 'x'",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		text, ok := tokenSetting(sql)
		if !ok {
			if text != "" {
				t.Fatalf("%q: %q without a setting", sql, text)
			}
			return
		}
		if firstWord(sql) != "set" || !strings.Contains(strings.ToLower(sql), TokenParameter) {
			t.Fatalf("%q was taken for a token", sql)
		}
		token, err := logpos.ParseToken(text)
		if err == nil && !strings.Contains(token.Group, ";") && severalStatements(sql) {
			t.Fatalf("%q: the token %q is taken and a statement behind it dropped", sql, text)
		}
	})
}

// A caller's bytes claim any length. The message is whole and as long as it
// claims, or it is refused; no claim makes the instance set aside more than the
// bound.
func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{}, byte('Q'))
	f.Add([]byte{0, 0, 0, 4}, byte('S'))
	f.Add([]byte{0, 0, 0, 3}, byte('S'))
	f.Add([]byte{0, 0, 0, 0}, byte('S'))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1}, byte('Q'))
	f.Add([]byte{0x7f, 0xff, 0xff, 0xff, 1}, byte('Q'))
	f.Add([]byte{0, 0, 0, 9, 'S', 'E'}, byte('Q'))
	f.Add(encodedSync[1:], byte('S'))
	f.Fuzz(func(t *testing.T, data []byte, kind byte) {
		r := bytes.NewReader(data)
		got, err := readFrame(r, kind, fuzzLimit)
		if err != nil {
			known := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
				errors.Is(err, errMalformed) || errors.Is(err, errMessageTooLarge)
			if !known {
				t.Fatalf("error %v", err)
			}
			return
		}
		taken := len(data) - r.Len()
		if got.kind != kind || len(got.bytes) != taken+1 || len(got.bytes) > fuzzLimit {
			t.Fatalf("%d bytes taken, frame of %d", taken, len(got.bytes))
		}
		if claimed := binary.BigEndian.Uint32(got.bytes[1:]); int(claimed) != len(got.body())+4 {
			t.Fatalf("length %d, body of %d", claimed, len(got.body()))
		}
	})
}
