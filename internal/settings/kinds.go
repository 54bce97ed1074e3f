package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"strings"

	"github.com/topazrock/topazrock/internal/inifile"
)

var (
	errEmpty  = errors.New("the value is empty")
	errNotURL = errors.New("not the URL of an IP address and port")
)

// nonEmpty is text with at least one byte.
type nonEmpty struct{ inifile.Text }

// requiredText is a short text that must not be empty.
var requiredText = nonEmpty{inifile.Text{Max: inifile.MaxNameLength}}

// Parse implements inifile.ValueType.
func (k nonEmpty) Parse(text string) (any, error) {
	if text == "" {
		return "", errEmpty
	}
	return k.Text.Parse(text)
}

// optional accepts an empty value in addition to the values of ValueType.
type optional struct{ inifile.ValueType }

// Parse implements inifile.ValueType.
func (k optional) Parse(text string) (any, error) {
	if text == "" {
		return "", nil
	}
	return k.ValueType.Parse(text)
}

// Allowed implements inifile.ValueType.
func (k optional) Allowed() string { return "empty or " + k.ValueType.Allowed() }

// baseURL is an http or https URL with an IP address and port as its host and
// without a path; its value is a string.
type baseURL struct{}

// Parse implements inifile.ValueType.
func (baseURL) Parse(text string) (any, error) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return "", errNotURL
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return "", errNotURL
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" || (u.Path != "" && u.Path != "/") {
		return "", errNotURL
	}
	return u.Scheme + "://" + u.Host, nil
}

// Allowed implements inifile.ValueType.
func (baseURL) Allowed() string { return "http://IP:port or https://IP:port" }

// maxSeeds is the maximum number of addresses in an address list.
const maxSeeds = 32

// addressList is a list of IP addresses with ports, separated by commas, spaces
// or tabs; its value is a []string.
type addressList struct{}

// Parse implements inifile.ValueType.
func (addressList) Parse(text string) (any, error) {
	var list []string
	for _, item := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' || r == '\t' }) {
		v, err := inifile.Address{}.Parse(item)
		if err != nil {
			return []string(nil), fmt.Errorf("%q: %w", item, err)
		}
		list = append(list, v.(string))
	}
	if len(list) > maxSeeds {
		return []string(nil), fmt.Errorf("%d addresses", len(list))
	}
	return list, nil
}

// Allowed implements inifile.ValueType.
func (addressList) Allowed() string {
	return fmt.Sprintf("up to %d of IP:port, parted by commas", maxSeeds)
}

// wordList is a list of words, separated by commas, spaces or tabs; its value is a []string.
type wordList struct{}

// Parse implements inifile.ValueType.
func (wordList) Parse(text string) (any, error) {
	list := strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' || r == '\t' })
	if len(list) > maxDeclared {
		return []string(nil), fmt.Errorf("%d words", len(list))
	}
	return list, nil
}

// Allowed implements inifile.ValueType.
func (wordList) Allowed() string { return fmt.Sprintf("up to %d words, parted by commas", maxDeclared) }
