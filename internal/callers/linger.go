package callers

import (
	"io"
	"net"
	"time"
)

const (
	// lingerTimeout limits how long a closing connection is still read. It allows several
	// round trips between regions, and is shorter than the time between the end of a drain
	// and the end of the process.
	lingerTimeout = 500 * time.Millisecond
	// maxLingerBytes limits how much is read from a closing connection, in bytes. It allows
	// a few messages of the maximum size.
	maxLingerBytes = 4 << 20
)

// lingeringClose closes a connection after its last reply was written. It closes the write side,
// then reads and discards data until the caller closes the connection or a limit is reached. TCP
// resets a connection that is closed with unread data, and the reset can overtake the reply: the
// caller would see a connection error instead of the reply.
func lingeringClose(conn net.Conn, now time.Time) {
	defer conn.Close()
	writeCloser, ok := conn.(interface{ CloseWrite() error })
	if !ok || writeCloser.CloseWrite() != nil || conn.SetReadDeadline(now.Add(lingerTimeout)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(conn, maxLingerBytes))
}
