package netio

import (
	"errors"
	"net"
	"syscall"
)

// Errors of CheckIdle.
var (
	errClosed     = errors.New("the peer closed the connection")
	errUnexpected = errors.New("bytes on an idle connection")
)

// CheckIdle returns an error when the peer has closed an idle connection or sent
// something on it. It looks at the socket without a round trip, and says nothing
// about a connection that has gone silent or is no socket.
func CheckIdle(conn net.Conn) error {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var found error
	err = raw.Read(func(fd uintptr) bool {
		found = peek(int(fd))
		return true
	})
	return errors.Join(err, found)
}

func peek(fd int) error {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return nil
	case err != nil:
		return err
	case n == 0:
		return errClosed
	default:
		return errUnexpected
	}
}
