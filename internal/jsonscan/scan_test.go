package jsonscan

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func nested(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }

func TestObjectSplitsMembers(t *testing.T) {
	is := is.New(t)
	f, err := Object([]byte(" {\"a\" : 1 ,\"b\":[1,{\"c\":\"},\\\"\"}], \"\\u0063\":null,\"A\":2}\n"))
	is.NoErr(err)
	is.Equal(len(f), 4)
	is.Equal(string(f.Get("a")), "2") // the last one counts, in any case
	is.Equal(string(f.Get("b")), `[1,{"c":"},\""}]`)
	is.Equal(string(f.Get("c")), "null")
	is.Equal(f.Get("d"), nil)
}

// Guards against a part that makes the parts beside it unreadable.
func TestPartsAreSplitWhateverTheyContain(t *testing.T) {
	for name, part := range map[string]string{
		"deep":               nested(1_000_000),
		"not a value":        "nul",
		"two values":         "1 2",
		"mixed-up brackets":  "{[}]",
		"number too large":   "1e99999",
		"cut UTF-8":          "\"\xc3\"",
		"control characters": "\"\x00\n\"",
		"invalid escape":     `"\x"`,
		"brackets in string": `"]}],{"`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			elements, err := Array([]byte("[1," + part + ",\"last\"]"))
			is.NoErr(err)
			is.Equal(len(elements), 3)
			is.True(string(elements[1]) == part)
			f, err := Object([]byte(`{"odd":` + part + `,"n":7}`))
			is.NoErr(err)
			is.Equal(string(f.Get("n")), "7")
		})
	}
}

// Guards against parts that are left out without an error.
func TestUnbalancedDocumentsAreRejected(t *testing.T) {
	for _, text := range []string{"", " ", "[", "]", "[1", "[1,]", "[,1]", "[1,,2]", "[[1]", "[1]]", `["a]`, `["a\"]`, `[{"a":1]`, "{}", "[1}"} {
		if _, err := Array([]byte(text)); !errors.Is(err, ErrUnbalanced) {
			t.Errorf("%q: %v", text, err)
		}
	}
	for _, text := range []string{"", "{", "[]", `{"a"}`, `{"a",1}`, `{1:2}`, `{"a":1,}`, `{"a:1}`, `{a:1}`, `{"a":{}`} {
		if _, err := Object([]byte(text)); !errors.Is(err, ErrUnbalanced) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestDepth(t *testing.T) {
	is := is.New(t)
	is.Equal(Depth([]byte(`"[["`)), 0)
	is.Equal(Depth([]byte(`{"a":[1,{}],"b":"[[["}`)), 3)
	is.Equal(Depth([]byte(nested(20_000))), 20_000)
}

// Guards against a document that the standard library reads and that is split into other parts.
func FuzzPartsOfValidDocuments(f *testing.F) {
	for _, seed := range []string{`[]`, `{}`, `[1,"a",{"b":[null]}]`, `{"a":1,"b":[{"c":"\"]"}],"a":2}`, "[\"\xc3\",1.5e3]", `{"":{},"é":"\u00e9"}`, `7`, `"x"`, `[[[]]]`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, document []byte) {
		elements, arrayErr := Array(document)
		fields, objectErr := Object(document)
		Depth(document)
		var wantElements []json.RawMessage
		if json.Unmarshal(document, &wantElements) == nil && wantElements != nil {
			if arrayErr != nil || len(elements) != len(wantElements) {
				t.Fatalf("%d elements, want %d: %v", len(elements), len(wantElements), arrayErr)
			}
			for i := range elements {
				if string(elements[i]) != string(wantElements[i]) {
					t.Fatalf("element %d: %q, want %q", i, elements[i], wantElements[i])
				}
			}
		}
		var wantFields map[string]json.RawMessage
		if json.Unmarshal(document, &wantFields) == nil && wantFields != nil {
			if objectErr != nil {
				t.Fatal(objectErr)
			}
			last := make(map[string]string)
			for _, field := range fields {
				last[field.Name] = string(field.Value)
			}
			for name, want := range wantFields {
				if last[name] != string(want) {
					t.Fatalf("member %q: %q, want %q", name, last[name], want)
				}
			}
		}
	})
}
