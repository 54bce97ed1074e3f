package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// requester is one session of a requester.
type requester struct {
	record *record
	name   string
	conn   net.Conn
	in     *bufio.Reader
	// sent holds the ids of the statements that were sent.
	sent map[string]bool
}

// reply is the answer to one statement.
type reply struct {
	rows []string
	// code is the MAC of a success, or the word of an error.
	code  string
	isErr bool
	state string
}

const answerTimeout = 5 * time.Second

// connect opens a session on a database. A nil record leaves the session out of the record.
func connect(r *record, name, address, database string) (*requester, error) {
	conn, err := net.DialTimeout("tcp", address, answerTimeout)
	if err != nil {
		return nil, err
	}
	q := &requester{record: r, name: name, conn: conn, in: bufio.NewReader(conn), sent: make(map[string]bool)}
	fmt.Fprintf(conn, "START %s %s\r\n", database, name)
	a, err := q.read()
	if r != nil {
		r.add(name, "START %s at %s -> %s%s", database, address, a, errorText(err))
	}
	if err == nil && a.isErr {
		err = fmt.Errorf("START: %s", a.code)
	}
	return q, err
}

// query sends a statement under a new id and returns the id and the answer.
func (q *requester) query(text string) (string, reply, error) {
	id := fmt.Sprintf("1%015x", rand.Uint64()>>4)
	q.sent[id] = true
	a, err := q.send(id, text)
	q.record.add(q.name, "QUERY %s %s -> %s%s", id, text, a, errorText(err))
	return id, a, err
}

// send sends a statement and reads its answer.
func (q *requester) send(id, text string) (reply, error) {
	if _, err := fmt.Fprintf(q.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return reply{}, err
	}
	return q.read()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return " (" + err.Error() + ")"
}

// read reads one answer up to READY, or to an ERROR that ends the connection.
func (q *requester) read() (reply, error) {
	var a reply
	if err := q.conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return a, err
	}
	for {
		line, err := q.in.ReadString('\n')
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.code = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
			a.isErr = true
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}

func (a reply) String() string {
	word := "COMPLETE"
	if a.isErr {
		word = "ERROR"
	}
	return fmt.Sprintf("%s%s %s, READY %s", strings.Join(append(a.rows, ""), " "), word, a.code, a.state)
}

func (q *requester) close() { _ = q.conn.Close() }
