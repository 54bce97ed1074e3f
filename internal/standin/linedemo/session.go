package linedemo

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// codeBusy is the protocol's error code for a statement that did not run.
const codeBusy = "BUSY"

// statementTimeout is the callers' timeout for connecting and for each statement.
const statementTimeout = 5 * time.Second

// session is one session over the line protocol.
type session struct {
	database string
	conn     net.Conn
	reader   *bufio.Reader
	broken   bool
}

// openSession opens a session. If that fails, it returns a session marked as broken.
func openSession(address, database string) *session {
	s := &session{database: database}
	conn, err := net.DialTimeout("tcp", address, statementTimeout)
	if err != nil {
		s.broken = true
		return s
	}
	s.conn, s.reader = conn, bufio.NewReader(conn)
	if _, err := fmt.Fprintf(conn, "START %s demo\r\n", database); err != nil {
		s.broken = true
		return s
	}
	s.readResponse()
	return s
}

// runQuery runs one statement and returns its last row and its error code, if any. ok is
// false if there was no complete response.
func (s *session) runQuery(id, text string) (row, code string, ok bool) {
	if s.broken {
		return "", "", false
	}
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		s.broken = true
		return "", "", false
	}
	return s.readResponse()
}

// readResponse reads up to the READY line that ends a response.
func (s *session) readResponse() (row, code string, ok bool) {
	_ = s.conn.SetReadDeadline(time.Now().Add(statementTimeout))
	for {
		text, err := s.reader.ReadString('\n')
		if err != nil {
			s.broken = true
			return "", "", false
		}
		keyword, rest, _ := strings.Cut(strings.TrimRight(text, "\r\n"), " ")
		switch keyword {
		case "DATAROW":
			row = rest
		case "ERROR":
			code, _, _ = strings.Cut(rest, " ")
		case "READY":
			return row, code, true
		}
	}
}

// close closes the connection. The session may be nil or broken.
func (s *session) close() {
	if s != nil && s.conn != nil {
		_ = s.conn.Close()
	}
}
