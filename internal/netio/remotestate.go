package netio

import (
	"encoding/binary"
	"net"
	"syscall"
)

// RemoteState is what a connection shows of its other end.
type RemoteState int

// States of the other end.
const (
	// RemoteOpen means that nothing shows that the other end has closed, or that the connection
	// cannot tell.
	RemoteOpen RemoteState = iota
	// RemoteFinished means that the other end sends no more. It may still read.
	RemoteFinished
	// RemoteReset means that the connection is broken. The other end receives nothing any more.
	RemoteReset
)

// RemoteStater is a connection that is not a socket and knows the state of its other end.
type RemoteStater interface{ RemoteState() RemoteState }

// States of a TCP connection in the kernel's tcp_info, which package syscall does not define.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// GetRemoteState returns the state of the other end without a round trip. It reads no data, does not
// block, and may be called beside a Read. It sees the end of the stream behind unread data.
func GetRemoteState(conn net.Conn) RemoteState {
	if r, ok := conn.(RemoteStater); ok {
		return r.RemoteState()
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return RemoteOpen
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return RemoteOpen
	}
	state := RemoteOpen
	// Control fails only on a connection that this end has closed.
	_ = raw.Control(func(fd uintptr) { state = socketState(int(fd)) })
	return state
}

// socketState reads the first byte of the kernel's tcp_info, which is the state of the connection.
func socketState(fd int) RemoteState {
	info, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
	if err != nil {
		return RemoteOpen
	}
	var first [4]byte
	binary.NativeEndian.PutUint32(first[:], uint32(info))
	switch first[0] {
	case tcpCloseWait:
		return RemoteFinished
	case tcpClose:
		return RemoteReset
	default:
		return RemoteOpen
	}
}
