package frontend

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/topazrock/topazrock/internal/callers"
	"github.com/topazrock/topazrock/internal/result"
	state "github.com/topazrock/topazrock/internal/session"
)

// session is one caller's connection.
type session struct {
	server    *Server
	conn      net.Conn
	wait      *callers.IdleWait
	processID uint32
	secret    uint32

	// user is the account that the caller authenticated as.
	user  string
	state state.State
	// staged are the session values that the open transaction has changed.
	staged     []setting
	statements map[string]*statement
	unnamed    *statement
	units      uint64

	// mu guards running.
	mu sync.Mutex
	// running is the ID of the unit at work; empty when there is none.
	running string
}

func newSession(s *Server, conn net.Conn) *session {
	var secret [4]byte
	_, _ = rand.Read(secret[:])
	return &session{
		server: s,
		conn:   conn,
		wait:   callers.NewIdleWait(conn),
		secret: binary.BigEndian.Uint32(secret[:]),
		state:  state.State{Roaming: true},
	}
}

func (n *session) define(name string, s *statement) {
	if n.statements == nil {
		n.statements = make(map[string]*statement)
	}
	n.statements[name] = s
}

// Run implements callers.Session.
func (n *session) Run() {
	defer n.server.ids.remove(n)
	started := false
	n.server.workers.do(func() { started = n.start() })
	if !started {
		return
	}
	defer func() { n.state.Abandon(n.server.config.Executor) }()
	for {
		kind, err := n.waitForMessage()
		if err != nil {
			n.leave(err)
			return
		}
		var open bool
		n.server.workers.do(func() { open = n.serve(kind) })
		if !open {
			return
		}
	}
}

// waitForMessage waits for the first byte of the next message. An open transaction goes on
// through a drain until the caller ends it or sessions are cut off.
func (n *session) waitForMessage() (byte, error) {
	for {
		if n.server.Draining() && n.state.Transaction == "" || n.server.Units().Err() != nil {
			return 0, errDraining
		}
		first, err := n.firstByte(time.Time{})
		if !errors.Is(err, callers.ErrWoken) {
			return first, err
		}
	}
}

// firstByte waits for the first byte of a message until a time; zero for no bound.
func (n *session) firstByte(until time.Time) (byte, error) {
	var first [1]byte
	err := n.wait.Read(until, func() error {
		_, err := n.conn.Read(first[:])
		return err
	})
	return first[0], err
}

// Wake implements callers.Session: it interrupts the wait for a message.
func (n *session) Wake() { n.wait.Wake() }

var errDraining = errors.New("instance is draining")

// leave tells the caller of a planned stop. Other ends need no words.
func (n *session) leave(err error) {
	if errors.Is(err, errDraining) {
		n.send(fatal(shutdownState, "this instance is shutting down; connect again"))
	}
}

// serve handles messages until nothing more has arrived. It returns false when
// the session is over.
func (n *session) serve(kind byte) bool {
	r := readers.Get().(*bufio.Reader)
	r.Reset(n.conn)
	defer func() {
		r.Reset(nil)
		readers.Put(r)
	}()
	b := &batch{session: n}
	for {
		open := n.serveMessage(r, kind, &b)
		if !open {
			return false
		}
		if r.Buffered() == 0 && b.empty() {
			return true
		}
		next, err := n.nextKind(r)
		if err != nil {
			return false
		}
		kind = next
	}
}

// nextKind reads the type of a message that belongs to what has begun.
func (n *session) nextKind(r *bufio.Reader) (byte, error) {
	if err := n.limitRead(); err != nil {
		return 0, err
	}
	return r.ReadByte()
}

// limitRead bounds the wait for bytes that must follow. A caller that sends
// half a message and stalls would otherwise hold a worker and a buffer for ever.
func (n *session) limitRead() error {
	return n.conn.SetReadDeadline(n.server.config.Clock.Now().Add(n.server.config.MessageTimeout))
}

func (n *session) serveMessage(r *bufio.Reader, kind byte, b **batch) bool {
	if err := n.limitRead(); err != nil {
		return false
	}
	f, err := readFrame(r, kind, n.server.config.MaxUnit)
	if err != nil {
		n.broken(err)
		return false
	}
	if err := n.conn.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	switch kind {
	case 'X':
		return false
	case 'Q':
		return n.query(f)
	case 'S':
		done := *b
		*b = &batch{session: n}
		return n.sync(done)
	case 'd', 'c', 'f':
		// Copy data that was under way when the copy was refused.
		return true
	case 'H':
		return n.flush(b)
	case 'P', 'B', 'D', 'E', 'C', 'F':
		(*b).add(f, n.server.config.MaxUnit)
		return true
	default:
		n.broken(errMalformed)
		return false
	}
}

// broken tells the caller that its bytes make no sense, and counts it. A caller
// that only hung up is not counted.
func (n *session) broken(err error) {
	if errors.Is(err, io.EOF) {
		return
	}
	e := result.New(result.ProtocolViolation, "%v", err)
	if errors.Is(err, errMessageTooLarge) {
		e = result.New(result.StatementTooLarge, "at most %d bytes", n.server.config.MaxUnit)
	}
	n.server.config.Metrics.refused(e)
	n.send(fatal(e.Code.SQLState(), e.Error()))
}

func (n *session) setRunning(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.running = id
}

// cancel stops the unit at work, if there is one.
func (n *session) cancel() {
	n.mu.Lock()
	id := n.running
	n.mu.Unlock()
	if id != "" {
		n.server.config.Executor.Cancel(n.state.Group, id)
	}
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
