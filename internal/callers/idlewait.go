package callers

import (
	"errors"
	"net"
	"sync"
	"time"
)

// ErrWoken is the end of a wait that Wake interrupted before the caller sent anything.
var ErrWoken = errors.New("the wait for a message was interrupted")

// wakeDeadline makes a read that waits end at once.
var wakeDeadline = time.Unix(1, 0)

// IdleWait is a session's wait for the first bytes of its caller's next message. Only that wait
// can be woken. A deadline in the past that struck while a message is half read would end the
// read behind bytes that were taken, and the rest of the message would be read as another one.
//
// Lock order: IdleWait.mu alone; it is not held while a read waits.
type IdleWait struct {
	conn net.Conn

	mu sync.Mutex
	// waiting says that a read waits, and woken that Wake was called since the last wait ended.
	waiting, woken bool
	// limited says that the connection has a read deadline.
	limited bool
}

// NewIdleWait returns the IdleWait of a caller's connection.
func NewIdleWait(conn net.Conn) *IdleWait { return &IdleWait{conn: conn} }

// Read calls read, which waits for the first bytes of a message and takes nothing when it
// fails. The wait ends at the time until; zero for no bound. It returns ErrWoken when Wake was
// called during the wait or since the last one. No read deadline is left behind.
func (w *IdleWait) Read(until time.Time, read func() error) error {
	if err := w.begin(until); err != nil {
		return err
	}
	return w.end(read())
}

func (w *IdleWait) begin(until time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.woken {
		w.woken = false
		return ErrWoken
	}
	if !until.IsZero() {
		if err := w.limit(until); err != nil {
			return err
		}
	}
	w.waiting = true
	return nil
}

// end ends a wait with what its read returned. What has arrived counts also where Wake came at
// the same moment: the session serves it first.
func (w *IdleWait) end(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	woken := w.woken
	w.waiting, w.woken = false, false
	if w.limited {
		if cleared := w.limit(time.Time{}); cleared != nil {
			return cleared
		}
	}
	var timeout net.Error
	if woken && errors.As(err, &timeout) && timeout.Timeout() {
		return ErrWoken
	}
	return err
}

// limit sets the read deadline; zero for none. The caller holds w.mu.
func (w *IdleWait) limit(t time.Time) error {
	w.limited = !t.IsZero()
	return w.conn.SetReadDeadline(t)
}

// Wake interrupts the wait under way, or else the next one.
func (w *IdleWait) Wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.woken = true
	if w.waiting {
		// A connection that has no deadlines any more is closed, which ends the wait as well.
		_ = w.limit(wakeDeadline)
	}
}
