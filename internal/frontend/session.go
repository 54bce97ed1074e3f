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
	idleWait  *callers.IdleWait
	processID uint32
	secret    uint32

	// user is the account that the caller authenticated as.
	user  string
	state state.State
	// pendingSettings are the changes of session values in the open transaction.
	pendingSettings []setting
	statements      map[string]*statement
	unnamed         *statement
	// callerLeft means that the caller left while a unit ran. No further unit is sent.
	callerLeft bool

	// mu guards runningUnitID.
	mu sync.Mutex
	// runningUnitID is the ID of the running unit; empty if there is none.
	runningUnitID string
}

func newSession(s *Server, conn net.Conn) *session {
	var secret [4]byte
	_, _ = rand.Read(secret[:])
	return &session{
		server:   s,
		conn:     conn,
		idleWait: callers.NewIdleWait(conn),
		secret:   binary.BigEndian.Uint32(secret[:]),
		state:    state.State{Roaming: true},
	}
}

func (s *session) defineStatement(name string, st *statement) {
	if s.statements == nil {
		s.statements = make(map[string]*statement)
	}
	s.statements[name] = st
}

// Run implements callers.Session.
func (s *session) Run() {
	defer s.server.processIDs.remove(s)
	started := false
	s.server.workers.run(func() { started = s.start() })
	if !started {
		return
	}
	defer func() { s.state.AbandonTransaction(s.server.config.Executor) }()
	for {
		kind, err := s.waitForMessage()
		if err != nil {
			s.sendShutdownNotice(err)
			return
		}
		var keepOpen bool
		s.server.workers.run(func() { keepOpen = s.serve(kind) })
		if !keepOpen {
			return
		}
	}
}

// waitForMessage waits for the first byte of the next message. During a drain, a session with
// an open transaction continues until the caller ends it or the drain times out.
func (s *session) waitForMessage() (byte, error) {
	for {
		if s.server.Draining() && s.state.Transaction == "" || s.server.UnitContext().Err() != nil {
			return 0, errDraining
		}
		first, err := s.readFirstByte(time.Time{})
		if !errors.Is(err, callers.ErrWoken) {
			return first, err
		}
	}
}

// readFirstByte waits for the first byte of a message until the deadline; the zero time
// means no deadline.
func (s *session) readFirstByte(deadline time.Time) (byte, error) {
	var first [1]byte
	err := s.idleWait.Read(deadline, func() error {
		_, err := s.conn.Read(first[:])
		return err
	})
	return first[0], err
}

// Wake implements callers.Session: it interrupts the wait for a message.
func (s *session) Wake() { s.idleWait.Wake() }

var errDraining = errors.New("instance is draining")

// sendShutdownNotice sends the caller the notice of a planned shutdown, if that is why the
// session ends. Otherwise it sends nothing.
func (s *session) sendShutdownNotice(err error) {
	if errors.Is(err, errDraining) {
		s.send(fatalResponse(sqlStateAdminShutdown, "this instance is shutting down; connect again"))
	}
}

// serve handles messages until no data is buffered and no batch is unfinished. It returns
// false when the session has ended.
func (s *session) serve(kind byte) bool {
	r := readerPool.Get().(*bufio.Reader)
	r.Reset(s.conn)
	defer func() {
		r.Reset(nil)
		readerPool.Put(r)
	}()
	b := &batch{session: s}
	for {
		keepOpen := s.serveMessage(r, kind, &b)
		if !keepOpen {
			return false
		}
		if r.Buffered() == 0 && b.isEmpty() {
			return true
		}
		next, err := s.readMessageType(r)
		if err != nil {
			return false
		}
		kind = next
	}
}

// readMessageType reads the type of the next message, which is already buffered or belongs
// to an unfinished batch.
func (s *session) readMessageType(r *bufio.Reader) (byte, error) {
	if err := s.setReadDeadline(); err != nil {
		return 0, err
	}
	return r.ReadByte()
}

// setReadDeadline limits the wait for the rest of a message or batch. Without it, a
// caller that stalls in the middle of a message would occupy a worker and a buffer
// forever.
func (s *session) setReadDeadline() error {
	return s.conn.SetReadDeadline(s.server.config.Clock.Now().Add(s.server.config.MessageTimeout))
}

func (s *session) serveMessage(r *bufio.Reader, kind byte, b **batch) bool {
	if err := s.setReadDeadline(); err != nil {
		return false
	}
	f, err := readFrame(r, kind, s.server.config.MaxUnit)
	if err != nil {
		s.reportProtocolError(err)
		return false
	}
	if err := s.conn.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	switch kind {
	case 'X':
		return false
	case 'Q':
		return s.handleQuery(f)
	case 'S':
		completed := *b
		*b = &batch{session: s}
		return s.handleSync(completed)
	case 'd', 'c', 'f':
		// Copy data that the caller sent before it saw that the copy was rejected.
		return true
	case 'H':
		return s.handleFlush(b)
	case 'P', 'B', 'D', 'E', 'C', 'F':
		(*b).addMessage(f, s.server.config.MaxUnit)
		return true
	default:
		s.reportProtocolError(errMalformed)
		return false
	}
}

// reportProtocolError sends the caller a protocol error and counts it. A caller that
// only disconnected is not counted.
func (s *session) reportProtocolError(err error) {
	if errors.Is(err, io.EOF) {
		return
	}
	e := result.New(result.ProtocolViolation, "%v", err)
	if errors.Is(err, errMessageTooLarge) {
		e = result.New(result.StatementTooLarge, "at most %d bytes", s.server.config.MaxUnit)
	}
	s.server.config.Metrics.countError(e)
	s.send(fatalResponse(e.Code.SQLState(), e.Error()))
}

func (s *session) setRunningUnit(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningUnitID = id
}

// cancel cancels the running unit, if there is one.
func (s *session) cancel() {
	s.mu.Lock()
	id := s.runningUnitID
	s.mu.Unlock()
	if id != "" {
		s.server.config.Executor.CancelUnit(s.state.Group, id)
	}
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
