// Package linecaller is a caller of the line protocol, as it looks from outside of an instance.
package linecaller

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// Session is one session over the line protocol. It is not safe for concurrent use.
type Session struct {
	Database string
	conn     net.Conn
	reader   *bufio.Reader
	timeout  time.Duration
	// started is the answer to START.
	started Answer
	broken  bool
}

// Answer is the complete answer to a START or a statement.
type Answer struct {
	// Row is the last row; empty if there was none.
	Row string
	// MAC is the member's authentication code of a statement that succeeded.
	MAC string
	// Code and Text are those of an error; empty if there was none.
	Code, Text string
	// Complete reports whether the answer has arrived whole.
	Complete bool
}

// Open opens a session. timeout limits the connect and the wait for each answer. A session that could
// not be opened is broken.
func Open(address, database string, timeout time.Duration) *Session {
	s := &Session{Database: database, timeout: timeout}
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		s.broken = true
		return s
	}
	s.conn, s.reader = conn, bufio.NewReader(conn)
	s.started = s.exchange(fmt.Sprintf("START %s demo\r\n", database))
	return s
}

// Started returns the answer to START.
func (s *Session) Started() Answer { return s.started }

// Broken reports whether the session has ended. A nil session is broken.
func (s *Session) Broken() bool { return s == nil || s.broken }

// Run runs one statement and returns its answer.
func (s *Session) Run(id, text string) Answer {
	return s.exchange(fmt.Sprintf("QUERY %s %s\r\n", id, text))
}

// exchange sends a message and reads up to the READY that ends its answer, or to the end of the session.
func (s *Session) exchange(message string) Answer {
	if s.broken {
		return Answer{}
	}
	_ = s.conn.SetDeadline(time.Now().Add(s.timeout))
	if _, err := s.conn.Write([]byte(message)); err != nil {
		s.broken = true
		return Answer{}
	}
	var a Answer
	for {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			// A refused START is answered by an error and the end of the session.
			s.broken = true
			a.Complete = a.Code != ""
			return a
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			a.Row = rest
		case "COMPLETE":
			a.MAC = rest
		case "ERROR":
			a.Code, a.Text, _ = strings.Cut(rest, " ")
		case "READY":
			a.Complete = true
			return a
		}
	}
}

// Close closes the connection. The session may be nil or broken.
func (s *Session) Close() {
	if s != nil && s.conn != nil {
		s.broken = true
		_ = s.conn.Close()
	}
}
