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

// waitOn returns an IdleWait of a connection, the connection, and its other end.
func waitOn() (w *IdleWait, near, far net.Conn) {
	near, far = net.Pipe()
	return NewIdleWait(near), near, far
}

// readOne reads one byte.
func readOne(conn net.Conn) func() error {
	return func() error {
		_, err := io.ReadFull(conn, make([]byte, 1))
		return err
	}
}

// Guards against an idle session that a stop does not reach.
func TestWakeEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, near, far := waitOn()
		defer far.Close()
		go func() {
			time.Sleep(time.Second)
			w.Wake()
		}()
		is.True(errors.Is(w.Read(time.Time{}, readOne(near)), ErrWoken))
		w.Wake()
		is.True(errors.Is(w.Read(time.Time{}, readOne(near)), ErrWoken))
		go func() { _, _ = far.Write([]byte{1}) }()
		is.NoErr(w.Read(time.Time{}, readOne(near)))
	})
}

// Guards against a wake that takes bytes of a message that has begun.
func TestWakeLeavesAReadBehindTheWaitAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, near, far := waitOn()
		go func() {
			_, _ = far.Write([]byte{1})
			time.Sleep(time.Second)
			_, _ = far.Write([]byte{2})
			far.Close()
		}()
		is.NoErr(w.Read(time.Time{}, readOne(near)))
		w.Wake()
		is.NoErr(readOne(near)())
	})
}

// Guards against a wait without bound of a caller that sends nothing, and against a bound that
// outlives its wait.
func TestWaitEndsAtItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, near, far := waitOn()
		defer far.Close()
		is.True(errors.Is(w.Read(time.Now().Add(time.Second), readOne(near)), os.ErrDeadlineExceeded))
		go func() {
			time.Sleep(time.Minute)
			_, _ = far.Write([]byte{1})
		}()
		is.NoErr(readOne(near)())
	})
}
