package callers

import (
	"errors"
	"net"
	"sync"
	"time"
)

// ErrWoken is returned by a wait that Wake interrupted before the caller sent any data.
var ErrWoken = errors.New("the wait for a message was interrupted")

// wakeDeadline is a read deadline in the past, which makes a blocked read return at once.
var wakeDeadline = time.Unix(1, 0)

// IdleWait waits for the first bytes of a caller's next message. Only this wait can be
// interrupted, by a read deadline in the past. If that deadline were set in the middle of a
// message, the read would fail after consuming some bytes, and the rest of the message would be
// parsed as a new one.
//
// Lock order: IdleWait.mu alone; it is not held while a read blocks.
type IdleWait struct {
	conn net.Conn

	mu sync.Mutex
	// waiting is set while a read blocks. woken is set by Wake and cleared when the current
	// wait ends or, if there is none, when the next one begins.
	waiting, woken bool
	// hasDeadline is set while the connection has a read deadline.
	hasDeadline bool
}

// NewIdleWait returns an IdleWait for a caller's connection.
func NewIdleWait(conn net.Conn) *IdleWait { return &IdleWait{conn: conn} }

// Read calls read, which waits for the first bytes of a message and must not consume any bytes
// if it fails. The wait times out at the deadline; the zero time means no deadline. Read returns
// ErrWoken if Wake was called during the wait or since the previous one. It clears the read
// deadline that it has set.
func (w *IdleWait) Read(deadline time.Time, read func() error) error {
	if err := w.beginWait(deadline); err != nil {
		return err
	}
	return w.endWait(read())
}

func (w *IdleWait) beginWait(deadline time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.woken {
		w.woken = false
		return ErrWoken
	}
	if !deadline.IsZero() {
		if err := w.setReadDeadline(deadline); err != nil {
			return err
		}
	}
	w.waiting = true
	return nil
}

// endWait ends a wait with the result of its read. If bytes arrived at the same moment as a
// call of Wake, the read counts as successful, and the session serves the message first.
func (w *IdleWait) endWait(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	woken := w.woken
	w.waiting, w.woken = false, false
	if w.hasDeadline {
		if clearErr := w.setReadDeadline(time.Time{}); clearErr != nil {
			return clearErr
		}
	}
	var timeout net.Error
	if woken && errors.As(err, &timeout) && timeout.Timeout() {
		return ErrWoken
	}
	return err
}

// setReadDeadline sets the read deadline; the zero time clears it. The caller holds w.mu.
func (w *IdleWait) setReadDeadline(t time.Time) error {
	w.hasDeadline = !t.IsZero()
	return w.conn.SetReadDeadline(t)
}

// Wake interrupts the current wait, or the next one if there is none.
func (w *IdleWait) Wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.woken = true
	if w.waiting {
		// Setting the deadline fails only on a closed connection, where the read ends anyway.
		_ = w.setReadDeadline(wakeDeadline)
	}
}
