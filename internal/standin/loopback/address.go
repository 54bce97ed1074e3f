// Package loopback finds free TCP addresses for servers that run in one process.
package loopback

import "net"

// FreeAddress returns an address at ip with a port that is currently unused. Another
// process can take the port before the result is used.
func FreeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}
