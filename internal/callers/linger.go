package callers

import (
	"io"
	"net"
	"time"
)

const (
	// lingerTime bounds how long a connection that ends is read: several round trips between
	// regions, and a part of what a drain leaves.
	lingerTime = 500 * time.Millisecond
	// lingerBytes bounds how much of it is read, in bytes: a few of the largest messages.
	lingerBytes = 4 << 20
)

// lingeringClose closes a connection whose last answer was written. It ends what is sent, and
// reads and drops what the caller still sends until the caller closes or the bounds are
// reached. TCP resets a connection that is closed with bytes unread, and the reset overtakes the
// answer: the caller would see a broken connection in place of what it was told.
func lingeringClose(conn net.Conn, now time.Time) {
	defer conn.Close()
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || conn.SetReadDeadline(now.Add(lingerTime)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(conn, lingerBytes))
}
