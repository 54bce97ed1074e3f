package linedemo

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// codeBusy is the protocol's code of a statement that did not run.
const codeBusy = "BUSY"

// statementTimeout bounds one statement, as callers see it.
const statementTimeout = 5 * time.Second

// line is one session over the line protocol.
type line struct {
	database string
	conn     net.Conn
	in       *bufio.Reader
	broken   bool
}

// dialLine opens a session. A session that could not be opened is broken.
func dialLine(address, database string) *line {
	l := &line{database: database}
	conn, err := net.DialTimeout("tcp", address, statementTimeout)
	if err != nil {
		l.broken = true
		return l
	}
	l.conn, l.in = conn, bufio.NewReader(conn)
	if _, err := fmt.Fprintf(conn, "START %s demo\r\n", database); err != nil {
		l.broken = true
		return l
	}
	l.receive()
	return l
}

// do runs one statement. It returns its last row and its error's code; false if there
// was no whole answer.
func (l *line) do(id, text string) (row, code string, ok bool) {
	if l.broken {
		return "", "", false
	}
	if _, err := fmt.Fprintf(l.conn, "QUERY %s %s\r\n", id, text); err != nil {
		l.broken = true
		return "", "", false
	}
	return l.receive()
}

// receive takes an answer up to the line that asks for the next statement.
func (l *line) receive() (row, code string, ok bool) {
	_ = l.conn.SetReadDeadline(time.Now().Add(statementTimeout))
	for {
		text, err := l.in.ReadString('\n')
		if err != nil {
			l.broken = true
			return "", "", false
		}
		word, rest, _ := strings.Cut(strings.TrimRight(text, "\r\n"), " ")
		switch word {
		case "DATAROW":
			row = rest
		case "ERROR":
			code, _, _ = strings.Cut(rest, " ")
		case "READY":
			return row, code, true
		}
	}
}

// close ends the session.
func (l *line) close() {
	if l != nil && l.conn != nil {
		_ = l.conn.Close()
	}
}
