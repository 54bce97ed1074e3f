package netio

import (
	"errors"
	"net"
	"syscall"
)

// Errors of CheckIdle.
var (
	errClosed     = errors.New("the peer closed the connection")
	errUnexpected = errors.New("unexpected data on an idle connection")
)

// CheckIdle returns an error if the peer has closed an idle connection or sent data
// on it. It peeks at the socket without a round trip, so it does not detect a
// peer that has become unreachable, and it returns nil for a connection that is
// not a socket.
func CheckIdle(conn net.Conn) error {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		peekErr = peek(int(fd))
		return true
	})
	return errors.Join(err, peekErr)
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
