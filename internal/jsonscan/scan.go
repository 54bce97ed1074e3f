// Package jsonscan splits JSON documents into their parts without decoding the parts.
//
// The standard library's decoder rejects a whole document if one value in it nests too deeply or is not
// valid JSON. Here a document is split at the brackets, strings and commas of its outer levels only, so
// that each part can be decoded, or rejected, by itself. A document whose brackets or strings are not
// balanced is rejected as a whole, because the end of its parts is unknown.
//
// The returned parts are slices of the document. Errors wrap ErrUnbalanced.
package jsonscan

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// ErrUnbalanced reports a document whose parts cannot be told apart.
var ErrUnbalanced = errors.New("jsonscan: the parts of the document cannot be told apart")

// Field is one member of an object.
type Field struct {
	Name  string
	Value []byte
}

// Fields holds the members of an object in their order.
type Fields []Field

// Get returns the value of the last member with a name, or nil. Case is ignored, as by encoding/json.
func (f Fields) Get(name string) []byte {
	var value []byte
	for _, field := range f {
		if strings.EqualFold(field.Name, name) {
			value = field.Value
		}
	}
	return value
}

// Object returns the members of a document that is an object.
func Object(document []byte) (Fields, error) {
	var fields Fields
	err := split(document, '{', '}', func(part []byte) error {
		end, err := valueEnd(part)
		if err != nil {
			return err
		}
		value := bytes.TrimLeft(part[end:], whitespace)
		if part[0] != '"' || len(value) == 0 || value[0] != ':' {
			return fmt.Errorf("%w: a member of an object without a name", ErrUnbalanced)
		}
		var name string
		if err := json.Unmarshal(part[:end], &name); err != nil {
			// No member that is looked for has such a name.
			name = ""
		}
		fields = append(fields, Field{Name: name, Value: bytes.Trim(value[1:], whitespace)})
		return nil
	})
	return fields, err
}

// Array returns the elements of a document that is an array.
func Array(document []byte) ([][]byte, error) {
	var elements [][]byte
	err := split(document, '[', ']', func(part []byte) error {
		elements = append(elements, part)
		return nil
	})
	return elements, err
}

// Depth returns how many arrays and objects contain the innermost value of a document. It is meaningful
// only for documents whose brackets are balanced.
func Depth(document []byte) int {
	depth, deepest := 0, 0
	for i := 0; i < len(document); i++ {
		switch document[i] {
		case '"':
			i = stringEnd(document, i) - 1
		case '{', '[':
			depth++
			deepest = max(deepest, depth)
		case '}', ']':
			depth--
		}
	}
	return deepest
}

// whitespace is what may stand between the tokens of a document.
const whitespace = " \t\r\n"

// split calls yield with each part between the brackets of a document, without the commas and the white
// space around it. It ends at the first error of yield.
func split(document []byte, begin, end byte, yield func(part []byte) error) error {
	rest := bytes.Trim(document, whitespace)
	if len(rest) < 2 || rest[0] != begin || rest[len(rest)-1] != end {
		return fmt.Errorf("%w: no %c%c", ErrUnbalanced, begin, end)
	}
	rest = bytes.Trim(rest[1:len(rest)-1], whitespace)
	for len(rest) > 0 {
		n, err := partEnd(rest)
		if err != nil {
			return err
		}
		part := bytes.TrimRight(rest[:n], whitespace)
		if len(part) == 0 {
			return fmt.Errorf("%w: an empty part", ErrUnbalanced)
		}
		if err := yield(part); err != nil {
			return err
		}
		if n == len(rest) {
			return nil
		}
		if rest = bytes.TrimLeft(rest[n+1:], whitespace); len(rest) == 0 {
			return fmt.Errorf("%w: nothing behind a comma", ErrUnbalanced)
		}
	}
	return nil
}

// partEnd returns where the first part of a text ends: at a comma outside brackets and strings, or at the
// end of the text.
func partEnd(text []byte) (int, error) {
	for i := 0; i < len(text); {
		if text[i] == ',' {
			return i, nil
		}
		n, err := valueEnd(text[i:])
		if err != nil {
			return 0, err
		}
		i += n
	}
	return len(text), nil
}

// valueEnd returns where the first string, array or object of a text ends if the text begins with one,
// and the length of its first character otherwise.
func valueEnd(text []byte) (int, error) {
	switch text[0] {
	case '"':
		if n := stringEnd(text, 0); n <= len(text) {
			return n, nil
		}
		return 0, fmt.Errorf("%w: a string without an end", ErrUnbalanced)
	case '{', '[':
		return bracketsEnd(text)
	case '}', ']':
		return 0, fmt.Errorf("%w: a bracket that was not opened", ErrUnbalanced)
	default:
		return 1, nil
	}
}

// bracketsEnd returns where the array or object at the beginning of a text ends. Brackets of both kinds
// are counted alike: a value that mixes them up is not decoded, but its end is that of the outer one.
func bracketsEnd(text []byte) (int, error) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = stringEnd(text, i) - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth == 0 {
				return i + 1, nil
			}
		}
	}
	return 0, fmt.Errorf("%w: a bracket that is not closed", ErrUnbalanced)
}

// stringEnd returns where the string that begins at i ends; a position past the text if it has no end.
func stringEnd(text []byte, i int) int {
	for i++; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(text) + 1
}
