package member

import (
	"bufio"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"strconv"
	"strings"

	"github.com/topazrock/topazrock/internal/logpos"
	"github.com/topazrock/topazrock/internal/member"
)

// lineTable is the table that the line protocol reads and writes.
const lineTable = "items"

// errResponseDropped closes a connection without a response; see DropResponses.
var errResponseDropped = errors.New("response dropped")

// lineError is an error with an error code of the line protocol.
type lineError struct{ code, text string }

// Error implements error.
func (e *lineError) Error() string { return e.code + " " + e.text }

// linePrepared is a prepared statement of the line protocol.
type linePrepared struct {
	write bool
	shape string
}

// lineSession serves one connection of the line protocol.
type lineSession struct {
	node       *Node
	process    *process
	in         *bufio.Reader
	out        *bufio.Writer
	connNumber int
	// user is the user name given in START.
	user string

	values   map[string]string
	prepared map[string]linePrepared
	// tx is the open transaction, or nil. readTx means that it is read-only, failed
	// that it can only be rolled back, and wrote that it contains writes.
	tx                    *transaction
	readTx, failed, wrote bool
	transactionCount      int
}

// serveLine serves one connection of the line protocol.
func (n *Node) serveLine(proc *process, conn net.Conn, in *bufio.Reader) {
	s := &lineSession{node: n, process: proc, in: in, out: bufio.NewWriter(conn)}
	defer s.rollbackOpen()
	defer s.out.Flush()
	if !s.handshake() {
		return
	}
	defer n.releaseConnection(false)
	for s.serveMessage() {
	}
}

// handshake reads START and admits the connection.
func (s *lineSession) handshake() bool {
	n := s.node
	fields := strings.Fields(s.readLine())
	if len(fields) < 3 || fields[0] != "START" {
		return false
	}
	if fields[1] != n.opts.Group || len(fields) > 3 && fields[3] != n.opts.ID {
		fmt.Fprintf(s.out, "ERROR WRONGNODE %s\r\n", n.opts.ID)
		return false
	}
	if n.admitConnection(false) != nil {
		fmt.Fprintf(s.out, "ERROR CONNLIMIT %d\r\n", n.opts.MaxConnections)
		return false
	}
	if delay := n.opts.ConnectDelay; delay > 0 && sleep(s.process.ctx, delay) != nil {
		n.releaseConnection(false)
		return false
	}
	n.mu.Lock()
	n.lineConnCount++
	s.connNumber, s.user = n.lineConnCount, fields[2]
	n.mu.Unlock()
	s.resetSession()
	s.sendReady()
	return true
}

func (s *lineSession) resetSession() {
	s.values = make(map[string]string)
	s.prepared = make(map[string]linePrepared)
}

// readLine flushes pending output if no input is buffered and reads one line. It
// returns an empty string on any error, including the end of the stream.
func (s *lineSession) readLine() string {
	if s.in.Buffered() == 0 && s.out.Flush() != nil {
		return ""
	}
	text, err := s.in.ReadString('\n')
	if err != nil {
		return ""
	}
	return strings.TrimRight(text, "\r\n")
}

// serveMessage serves one message and reports whether the connection stays open.
func (s *lineSession) serveMessage() bool {
	word, rest, _ := strings.Cut(s.readLine(), " ")
	if word != "QUERY" {
		return false
	}
	id, text, _ := strings.Cut(rest, " ")
	row, code, err := s.runStatement(id, text)
	var lineErr *lineError
	switch {
	case errors.Is(err, errResponseDropped):
		return false
	case errors.As(err, &lineErr):
		s.failed = s.tx != nil && lineErr.code != "BUSY"
		fmt.Fprintf(s.out, "ERROR %s %s\r\n", lineErr.code, lineErr.text)
	case err != nil:
		return false
	default:
		if row != "" {
			fmt.Fprintf(s.out, "DATAROW %s\r\n", row)
		}
		fmt.Fprintf(s.out, "COMPLETE %s\r\n", code)
	}
	s.sendReady()
	return true
}

func (s *lineSession) sendReady() {
	state := "I"
	switch {
	case s.failed:
		state = "E"
	case s.tx != nil:
		state = "T"
	}
	m := s.node.Status().LastRecord
	fmt.Fprintf(s.out, "READY %s %d.%d\r\n", state, m.Term, m.Position)
}

// rollbackOpen rolls back the open transaction, if any.
func (s *lineSession) rollbackOpen() {
	if s.tx != nil {
		s.node.rollback(s.tx)
	}
	s.tx, s.failed, s.wrote = nil, false, false
}

// runStatement runs one statement. It returns an authentication code for a read, a
// write or a commit, and the code "-" for any other statement.
func (s *lineSession) runStatement(id, text string) (row, code string, err error) {
	statement, lagging := s.cutPosition(text)
	if lagging {
		return "", "", &lineError{"LAGGING", s.node.opts.ID}
	}
	verb, rest, _ := strings.Cut(statement, " ")
	if s.failed && verb != "ROLLBACK" && verb != "COMMIT" && verb != "STATUS" {
		return "", "", &lineError{"MALFORMED", "the transaction has failed"}
	}
	switch verb {
	case "READ", "WRITE", "EXECUTE":
		return s.executeStatement(id, statement, verb, rest)
	case "COMMIT":
		return s.commitTransaction(id, statement)
	case "BEGIN":
		return "", "-", s.beginTransaction(rest == "READ")
	case "ROLLBACK":
		s.rollbackOpen()
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
	case "PARSE":
		name, definition, _ := strings.Cut(rest, " ")
		kind, shape, _ := strings.Cut(definition, " ")
		s.prepared[name] = linePrepared{write: kind == "WRITE", shape: shape}
	case "CLOSE":
		delete(s.prepared, rest)
	case "DISCARD":
		s.resetSession()
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return s.executeControl(verb, rest)
	default:
		return "", "", &lineError{"MALFORMED", statement}
	}
	return "", "-", nil
}

// cutPosition removes a SINCE prefix from a statement and reports whether the log
// has not reached the position given there.
func (s *lineSession) cutPosition(text string) (string, bool) {
	rest, ok := strings.CutPrefix(text, "SINCE ")
	if !ok {
		return text, false
	}
	position, statement, _ := strings.Cut(rest, " ")
	term, number, _ := strings.Cut(position, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	p, _ := strconv.ParseUint(number, 10, 64)
	return statement, s.node.Status().LastRecord.Less(logpos.TermPosition{Term: logpos.Term(t), Position: logpos.Position(p)})
}

func (s *lineSession) beginTransaction(readOnly bool) error {
	if !readOnly && s.node.Status().Role != member.RolePrimary {
		return &lineError{"READONLY", s.node.opts.ID}
	}
	s.tx, s.readTx = newTransaction(s.process), readOnly
	s.transactionCount++
	return nil
}

// executeStatement runs a read or a write, prepared or not.
func (s *lineSession) executeStatement(id, text, verb, rest string) (row, code string, err error) {
	item, data, _ := strings.Cut(rest, " ")
	writes, shape := verb == "WRITE", ""
	if verb == "EXECUTE" {
		p, ok := s.prepared[item]
		if !ok {
			return "", "", &lineError{"NOSTMT", item}
		}
		item, data, _ = strings.Cut(data, " ")
		writes, shape = p.write, p.shape
	}
	isPrimary := s.node.Status().Role == member.RolePrimary
	if !isPrimary && (writes || s.tx != nil && !s.readTx) {
		return "", "", &lineError{"READONLY", s.node.opts.ID}
	}
	release, err := s.node.acquireSlot(s.process.ctx)
	if err != nil {
		return "", "", err
	}
	defer release()
	if cost := s.node.opts.StatementCost; cost > 0 {
		if err := sleep(s.process.ctx, cost); err != nil {
			return "", "", err
		}
	}
	dropped := s.recordRun(id, text, shape)
	if writes {
		err = s.writeRow(itemRow(item), data)
	} else {
		row, _ = s.node.readRow(s.currentTransaction(), itemRow(item))
		row = "v=" + row
	}
	switch {
	case err != nil:
		return "", "", err
	case dropped:
		return "", "", errResponseDropped
	}
	return row, s.authenticationCode(id), nil
}

func itemRow(item string) row { return row{Table: lineTable, Key: item} }

// currentTransaction returns the open transaction, or a new one that sees the
// committed rows.
func (s *lineSession) currentTransaction() *transaction {
	if s.tx != nil {
		return s.tx
	}
	return newTransaction(s.process)
}

func (s *lineSession) writeRow(r row, data string) error {
	w := write{Row: r, Value: data}
	if s.tx != nil {
		s.tx.addWrite(w)
		s.wrote = true
		return nil
	}
	t := newTransaction(s.process)
	t.addWrite(w)
	return s.commitError(s.node.commit(t))
}

// commitError converts errReadOnly from a commit to the error of the line protocol.
func (s *lineSession) commitError(err error) error {
	if errors.Is(err, errReadOnly) {
		return &lineError{"READONLY", s.node.opts.ID}
	}
	return err
}

func (s *lineSession) commitTransaction(id, text string) (row, code string, err error) {
	if s.tx == nil {
		return "", "", &lineError{"MALFORMED", text}
	}
	if s.failed {
		s.rollbackOpen()
		return "", "", &lineError{"ABORTED", s.node.opts.ID}
	}
	dropped := s.recordRun(id, text, "")
	err = s.commitError(s.node.commit(s.tx))
	s.tx, s.wrote = nil, false
	switch {
	case err != nil:
		return "", "", err
	case dropped:
		return "", "", errResponseDropped
	}
	return "", s.authenticationCode(id), nil
}

// executeControl runs STATUS, PAUSE, RESUME or STEPDOWN and returns the status line.
func (s *lineSession) executeControl(verb, rest string) (row, code string, err error) {
	n := s.node
	term, _ := strconv.ParseUint(rest, 10, 64)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.controlStatements++
	switch verb {
	case "PAUSE":
		err = n.pauseReplication(logpos.Term(term))
	case "RESUME":
		n.resumeReplication()
	case "STEPDOWN":
		if n.role == member.RolePrimary && logpos.Term(term) > n.enteredTerm {
			err = n.pauseReplication(logpos.Term(term))
			n.beforePause.steppedDown = true
		}
	}
	return n.statusLine(), "-", err
}

// authenticationCode computes the authentication code of the response to a statement.
func (s *lineSession) authenticationCode(id string) string {
	h := fnv.New64a()
	fmt.Fprint(h, s.node.opts.ID, id)
	return strconv.FormatUint(h.Sum64(), 16)
}
