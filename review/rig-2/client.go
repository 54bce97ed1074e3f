//go:build reviewrig

package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// readyTimeout is how long a requester waits for READY after START.
const readyTimeout = 2 * time.Second

// requester is one session of a requester.
type requester struct {
	conn net.Conn
	in   *bufio.Reader
	// state is the state in the last READY.
	state string
}

// reply is the answer to one query.
type reply struct {
	row, mac, code, text string
}

var errNoReady = errors.New("START was refused")

// openSession connects and sends START.
func openSession(address, database string) (*requester, error) {
	conn, err := net.DialTimeout("tcp", address, readyTimeout)
	if err != nil {
		return nil, err
	}
	r := &requester{conn: conn, in: bufio.NewReaderSize(conn, 512)}
	_ = conn.SetDeadline(time.Now().Add(readyTimeout))
	if _, err := fmt.Fprintf(conn, "START %s rig\r\n", database); err != nil {
		conn.Close()
		return nil, err
	}
	line, err := r.in.ReadString('\n')
	if err != nil {
		conn.Close()
		return nil, err
	}
	if !strings.HasPrefix(line, "READY I") {
		conn.Close()
		return nil, fmt.Errorf("%w: %s", errNoReady, strings.TrimSpace(line))
	}
	r.state = "I"
	_ = conn.SetDeadline(time.Time{})
	return r, nil
}

// do sends one query and reads its whole answer.
func (r *requester) do(id, text string, limit time.Duration) (reply, error) {
	var a reply
	_ = r.conn.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(r.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return a, err
	}
	for {
		line, err := r.in.ReadString('\n')
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			a.row = rest
		case "COMPLETE":
			a.mac = rest
		case "ERROR":
			a.code, a.text, _ = strings.Cut(rest, " ")
		case "READY":
			r.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}

func (r *requester) close() { _ = r.conn.Close() }

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// errorKind returns an error's text without addresses.
func errorKind(err error) string {
	switch {
	case isTimeout(err):
		return "no answer within the limit"
	case errors.Is(err, errNoReady):
		return err.Error()
	default:
		return "connection refused, reset or closed"
	}
}
