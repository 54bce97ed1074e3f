package netio

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"unicode"
)

var errInvalidAddress = errors.New("invalid address")

// maxHostLength is the length of the longest name of a host in bytes.
const maxHostLength = 253

// CheckAddress returns an error unless an address consists of a host and a port from 1 to 65535.
func CheckAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || len(host) > maxHostLength || strings.ContainsFunc(host, notInHost) {
		return fmt.Errorf("%w %.100q", errInvalidAddress, address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("%w %.100q: port", errInvalidAddress, address)
	}
	return nil
}

// notInHost reports whether no host's name contains a character.
func notInHost(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }
