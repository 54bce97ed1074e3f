package inifile

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

var (
	errNotInteger  = errors.New("not a whole number")
	errNotNumber   = errors.New("not a number")
	errNotDuration = errors.New("not a duration")
	errOutOfRange  = errors.New("out of range")
	errNotListed   = errors.New("not one of the allowed words")
	errNotName     = errors.New("not a name")
	errTooLong     = errors.New("too long")
	errNotAddress  = errors.New("not an IP address and port")
)

// Int is a whole number from Min to Max; its value is an int.
type Int struct{ Min, Max int }

// Parse implements ValueType.
func (k Int) Parse(text string) (any, error) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, errNotInteger
	}
	if n < k.Min || n > k.Max {
		return 0, errOutOfRange
	}
	return n, nil
}

// Allowed implements ValueType.
func (k Int) Allowed() string { return fmt.Sprintf("%d to %d", k.Min, k.Max) }

// Decimal is a number from Min to Max, written like 0.1; its value is a float64.
type Decimal struct{ Min, Max float64 }

// Parse implements ValueType.
func (k Decimal) Parse(text string) (any, error) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0.0, errNotNumber
	}
	if !(n >= k.Min && n <= k.Max) {
		return 0.0, errOutOfRange
	}
	return n, nil
}

// Allowed implements ValueType.
func (k Decimal) Allowed() string { return fmt.Sprintf("%v to %v", k.Min, k.Max) }

// Duration is a time span from Min to Max, written like 250ms, 5s or 1m30s;
// its value is a time.Duration.
type Duration struct{ Min, Max time.Duration }

// Parse implements ValueType.
func (k Duration) Parse(text string) (any, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return time.Duration(0), errNotDuration
	}
	if d < k.Min || d > k.Max {
		return time.Duration(0), errOutOfRange
	}
	return d, nil
}

// Allowed implements ValueType.
func (k Duration) Allowed() string { return fmt.Sprintf("%v to %v", k.Min, k.Max) }

// Enum is one of the listed words; its value is a string.
type Enum []string

// Parse implements ValueType.
func (k Enum) Parse(text string) (any, error) {
	if !slices.Contains(k, text) {
		return "", errNotListed
	}
	return text, nil
}

// Allowed implements ValueType.
func (k Enum) Allowed() string { return strings.Join(k, " or ") }

// MaxNameLength is the maximum length of a name in bytes. PostgreSQL truncates
// identifiers to 63 bytes.
const MaxNameLength = 63

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]*$`)

// Name is an identifier; its value is a string.
type Name struct{}

// Parse implements ValueType.
func (Name) Parse(text string) (any, error) {
	if len(text) > MaxNameLength {
		return "", errTooLong
	}
	if !namePattern.MatchString(text) {
		return "", errNotName
	}
	return text, nil
}

// Allowed implements ValueType.
func (Name) Allowed() string {
	return fmt.Sprintf("1 to %d of a-z, 0-9, - and _, not beginning with - or _", MaxNameLength)
}

// Text is any text up to Max bytes; its value is a string.
type Text struct{ Max int }

// Parse implements ValueType.
func (k Text) Parse(text string) (any, error) {
	if len(text) > k.Max {
		return "", errTooLong
	}
	return text, nil
}

// Allowed implements ValueType.
func (k Text) Allowed() string { return fmt.Sprintf("up to %d bytes", k.Max) }

// Address is an IP address and port; its value is a string.
type Address struct{}

// Parse implements ValueType.
func (Address) Parse(text string) (any, error) {
	ap, err := netip.ParseAddrPort(text)
	if err != nil || ap.Port() == 0 {
		return "", errNotAddress
	}
	return ap.String(), nil
}

// Allowed implements ValueType.
func (Address) Allowed() string { return "IP:port, such as 10.1.0.4:5432 or [fd00::4]:5432" }
