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

// nonEmpty is text that must not be empty.
type nonEmpty struct{ inifile.Text }

// requiredText is the kind of a short text that must be given.
var requiredText = nonEmpty{inifile.Text{Max: inifile.MaxNameLength}}

// Parse implements inifile.Kind.
func (k nonEmpty) Parse(text string) (any, error) {
	if text == "" {
		return "", errEmpty
	}
	return k.Text.Parse(text)
}

// optional is a kind that may also be empty.
type optional struct{ inifile.Kind }

// Parse implements inifile.Kind.
func (k optional) Parse(text string) (any, error) {
	if text == "" {
		return "", nil
	}
	return k.Kind.Parse(text)
}

// Allowed implements inifile.Kind.
func (k optional) Allowed() string { return "empty or " + k.Kind.Allowed() }

// platformURL is an http or https URL whose host is an IP address and port;
// its value is a string.
type platformURL struct{}

// Parse implements inifile.Kind.
func (platformURL) Parse(text string) (any, error) {
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

// Allowed implements inifile.Kind.
func (platformURL) Allowed() string { return "http://IP:port or https://IP:port" }

// maxSeeds bounds the list of seeds.
const maxSeeds = 32

// addresses is a list of IP addresses with ports; its value is a []string.
type addresses struct{}

// Parse implements inifile.Kind.
func (addresses) Parse(text string) (any, error) {
	var list []string
	for _, word := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' || r == '\t' }) {
		v, err := inifile.Address{}.Parse(word)
		if err != nil {
			return []string(nil), fmt.Errorf("%q: %w", word, err)
		}
		list = append(list, v.(string))
	}
	if len(list) > maxSeeds {
		return []string(nil), fmt.Errorf("%d addresses", len(list))
	}
	return list, nil
}

// Allowed implements inifile.Kind.
func (addresses) Allowed() string {
	return fmt.Sprintf("up to %d of IP:port, parted by commas", maxSeeds)
}
