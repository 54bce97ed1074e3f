package settings

import (
	"errors"
	"net/netip"
	"net/url"

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
