package callers

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// newPipeWait returns an IdleWait on one end of a pipe, that end, and the other end.
func newPipeWait() (w *IdleWait, conn, peer net.Conn) {
	conn, peer = net.Pipe()
	return NewIdleWait(conn), conn, peer
}

// readByte returns a function that reads one byte.
func readByte(conn net.Conn) func() error {
	return func() error {
		_, err := io.ReadFull(conn, make([]byte, 1))
		return err
	}
}

// Guards against an idle session that does not notice a shutdown.
func TestWakeInterruptsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, conn, peer := newPipeWait()
		defer peer.Close()
		go func() {
			time.Sleep(time.Second)
			w.Wake()
		}()
		is.True(errors.Is(w.Read(time.Time{}, readByte(conn)), ErrWoken))
		w.Wake()
		is.True(errors.Is(w.Read(time.Time{}, readByte(conn)), ErrWoken))
		go func() { _, _ = peer.Write([]byte{1}) }()
		is.NoErr(w.Read(time.Time{}, readByte(conn)))
	})
}

// Guards against a Wake that interrupts the read of the rest of a message.
func TestWakeDoesNotInterruptReadAfterWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, conn, peer := newPipeWait()
		go func() {
			_, _ = peer.Write([]byte{1})
			time.Sleep(time.Second)
			_, _ = peer.Write([]byte{2})
			peer.Close()
		}()
		is.NoErr(w.Read(time.Time{}, readByte(conn)))
		w.Wake()
		is.NoErr(readByte(conn)())
	})
}

// Guards against waiting forever for a caller that sends nothing, and against a deadline that
// still applies after the wait has ended.
func TestWaitEndsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, conn, peer := newPipeWait()
		defer peer.Close()
		is.True(errors.Is(w.Read(time.Now().Add(time.Second), readByte(conn)), os.ErrDeadlineExceeded))
		go func() {
			time.Sleep(time.Minute)
			_, _ = peer.Write([]byte{1})
		}()
		is.NoErr(readByte(conn)())
	})
}
