package netio

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// keepAlive has the kernel probe an idle connection. Something between two ends
// may lose track of an open connection; without probes it stays open and silent
// for ever. With these it breaks within three seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 4}

// userTimeout is how long sent bytes may stay without an acknowledgement before
// the kernel breaks the connection, in milliseconds. It covers a connection that
// goes silent while something is under way, which no keep-alive probe does.
const userTimeout = 3000

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 0x12

// TCP is the Network of the running process.
type TCP struct{}

// Dial implements Dialer.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive, Control: boundSilence}
	return d.DialContext(ctx, "tcp", address)
}

// boundSilence sets the user timeout of a new connection.
func boundSilence(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, userTimeout)
	})
	return errors.Join(err, failure)
}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive}
	return c.Listen(context.Background(), "tcp", address)
}
