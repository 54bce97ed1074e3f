// Package loopback finds addresses for parts that run in one process.
package loopback

import "net"

// FreeAddress returns an address at ip with a port that nobody uses now.
func FreeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}
