package netio

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// keepAlive makes the kernel probe idle connections. A device between the two ends
// may drop its state of an open connection; without probes the connection would then
// stay open forever without data. With these settings it fails within three seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 4}

// userTimeout is how long sent data may remain unacknowledged before the kernel
// closes the connection, in milliseconds. It covers a peer that becomes unreachable
// while data is in flight, when no keep-alive probes are sent.
const userTimeout = 3000

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 0x12

// TCP is the Network over the operating system's TCP sockets.
type TCP struct{}

// Dial implements Dialer.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, userTimeout)
	})
	return errors.Join(err, setErr)
}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive}
	return c.Listen(context.Background(), "tcp", address)
}
