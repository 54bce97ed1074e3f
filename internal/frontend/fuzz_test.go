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

// fuzzLimit is the maximum size of a message or a batch in the fuzz tests, in bytes.
const fuzzLimit = 1 << 16

// parseTag gets any SQL that a caller sends. It returns a tag, finds none, or returns
// BadRequestTag. The class and key must not contain anything that a member could
// interpret as an escape when the key is stored.
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

// The instance itself replies to SET topazrock.token; every other statement is sent to
// a member. Other text must never be mistaken for that SET: the caller would get a
// success reply for a statement that has not run.
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
		text, ok := parseTokenSetting(sql)
		if !ok {
			if text != "" {
				t.Fatalf("%q: %q without a setting", sql, text)
			}
			return
		}
		if firstWord(sql) != "set" || !strings.Contains(strings.ToLower(sql), TokenParameter) {
			t.Fatalf("%q was parsed as a token setting", sql)
		}
		token, err := logpos.ParseToken(text)
		if err == nil && !strings.Contains(token.Group, ";") && mayHaveSeveralStatements(sql) {
			t.Fatalf("%q: the token %q is accepted and the statement after it is dropped", sql, text)
		}
	})
}

// A message may declare any length. readFrame must return a complete message of the
// declared length or an error, and never a message longer than the limit.
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
		consumed := len(data) - r.Len()
		if got.kind != kind || len(got.bytes) != consumed+1 || len(got.bytes) > fuzzLimit {
			t.Fatalf("%d bytes consumed, frame of %d", consumed, len(got.bytes))
		}
		if declared := binary.BigEndian.Uint32(got.bytes[1:]); int(declared) != len(got.body())+4 {
			t.Fatalf("length %d, body of %d", declared, len(got.body()))
		}
	})
}
