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

// lineTable holds the items that the line protocol reads and writes.
const lineTable = "items"

// errLost ends a connection whose answer is lost.
var errLost = errors.New("the answer is lost")

// lineError is an error with a code of the line protocol.
type lineError struct{ code, text string }

// Error implements error.
func (e *lineError) Error() string { return e.code + " " + e.text }

// linePrepared is a prepared statement.
type linePrepared struct {
	write bool
	shape string
}

// lineSession serves one connection of the line protocol.
type lineSession struct {
	node   *Node
	life   *life
	in     *bufio.Reader
	out    *bufio.Writer
	number int
	// user is the name that the connection was opened in.
	user string

	values   map[string]string
	prepared map[string]linePrepared
	// tx is the open transaction; readTx says that it only reads, failed that it
	// can only be rolled back, and wrote that it has written.
	tx                    *transaction
	readTx, failed, wrote bool
	transactions          int
}

// serveLine serves one connection of the line protocol.
func (n *Node) serveLine(l *life, conn net.Conn, in *bufio.Reader) {
	s := &lineSession{node: n, life: l, in: in, out: bufio.NewWriter(conn)}
	defer s.abort()
	defer s.out.Flush()
	if !s.start() {
		return
	}
	defer n.leave(false)
	for s.next() {
	}
}

// start takes START and admits the connection.
func (s *lineSession) start() bool {
	n := s.node
	fields := strings.Fields(s.read())
	if len(fields) < 3 || fields[0] != "START" {
		return false
	}
	if fields[1] != n.opts.Group || len(fields) > 3 && fields[3] != n.opts.ID {
		fmt.Fprintf(s.out, "ERROR WRONGNODE %s\r\n", n.opts.ID)
		return false
	}
	if n.admit(false) != nil {
		fmt.Fprintf(s.out, "ERROR CONNLIMIT %d\r\n", n.opts.ConnectionTotal)
		return false
	}
	if wait := n.opts.ConnectDelay; wait > 0 && pause(s.life.ctx, wait) != nil {
		n.leave(false)
		return false
	}
	n.mu.Lock()
	n.lineConns++
	s.number, s.user = n.lineConns, fields[2]
	n.mu.Unlock()
	s.reset()
	s.ready()
	return true
}

func (s *lineSession) reset() {
	s.values = make(map[string]string)
	s.prepared = make(map[string]linePrepared)
}

// read reads one line; empty at the end.
func (s *lineSession) read() string {
	if s.in.Buffered() == 0 && s.out.Flush() != nil {
		return ""
	}
	text, err := s.in.ReadString('\n')
	if err != nil {
		return ""
	}
	return strings.TrimRight(text, "\r\n")
}

// next serves one message.
func (s *lineSession) next() bool {
	word, rest, _ := strings.Cut(s.read(), " ")
	if word != "QUERY" {
		return false
	}
	id, text, _ := strings.Cut(rest, " ")
	row, code, err := s.run(id, text)
	var failure *lineError
	switch {
	case errors.Is(err, errLost):
		return false
	case errors.As(err, &failure):
		s.failed = s.tx != nil && failure.code != "BUSY"
		fmt.Fprintf(s.out, "ERROR %s %s\r\n", failure.code, failure.text)
	case err != nil:
		return false
	default:
		if row != "" {
			fmt.Fprintf(s.out, "DATAROW %s\r\n", row)
		}
		fmt.Fprintf(s.out, "COMPLETE %s\r\n", code)
	}
	s.ready()
	return true
}

func (s *lineSession) ready() {
	state := "I"
	switch {
	case s.failed:
		state = "E"
	case s.tx != nil:
		state = "T"
	}
	m := s.node.Status().Last
	fmt.Fprintf(s.out, "READY %s %d.%d\r\n", state, m.Term, m.Position)
}

// abort rolls back what is open.
func (s *lineSession) abort() {
	if s.tx != nil {
		s.node.rollback(s.tx)
	}
	s.tx, s.failed, s.wrote = nil, false, false
}

// run runs one statement. The code of an answer is "-" for what is not a caller's
// read, write or commit.
func (s *lineSession) run(id, text string) (row, code string, err error) {
	statement, behind := s.after(text)
	if behind {
		return "", "", &lineError{"LAGGING", s.node.opts.ID}
	}
	verb, rest, _ := strings.Cut(statement, " ")
	if s.failed && verb != "ROLLBACK" && verb != "COMMIT" && verb != "STATUS" {
		return "", "", &lineError{"MALFORMED", "the transaction has failed"}
	}
	switch verb {
	case "READ", "WRITE", "EXECUTE":
		return s.statement(id, statement, verb, rest)
	case "COMMIT":
		return s.commit(id, statement)
	case "BEGIN":
		return "", "-", s.begin(rest == "READ")
	case "ROLLBACK":
		s.abort()
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
		s.reset()
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return s.control(verb, rest)
	default:
		return "", "", &lineError{"MALFORMED", statement}
	}
	return "", "-", nil
}

// after takes the position off a statement and reports whether the log lacks it.
func (s *lineSession) after(text string) (string, bool) {
	rest, ok := strings.CutPrefix(text, "SINCE ")
	if !ok {
		return text, false
	}
	position, statement, _ := strings.Cut(rest, " ")
	term, number, _ := strings.Cut(position, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	p, _ := strconv.ParseUint(number, 10, 64)
	return statement, s.node.Status().Last.Less(logpos.Mark{Term: logpos.Term(t), Position: logpos.Position(p)})
}

func (s *lineSession) begin(readOnly bool) error {
	if !readOnly && s.node.Status().Role != member.RolePrimary {
		return &lineError{"READONLY", s.node.opts.ID}
	}
	s.tx, s.readTx = newTransaction(s.life), readOnly
	s.transactions++
	return nil
}

// statement runs a read or a write.
func (s *lineSession) statement(id, text, verb, rest string) (row, code string, err error) {
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
	leads := s.node.Status().Role == member.RolePrimary
	if !leads && (writes || s.tx != nil && !s.readTx) {
		return "", "", &lineError{"READONLY", s.node.opts.ID}
	}
	release, err := s.node.slot(s.life.ctx)
	if err != nil {
		return "", "", err
	}
	defer release()
	if cost := s.node.opts.StatementCost; cost > 0 {
		if err := pause(s.life.ctx, cost); err != nil {
			return "", "", err
		}
	}
	lost := s.noteRun(id, text, shape)
	if writes {
		err = s.write(itemRow(item), data)
	} else {
		row, _ = s.node.get(s.open(), itemRow(item))
		row = "v=" + row
	}
	switch {
	case err != nil:
		return "", "", err
	case lost:
		return "", "", errLost
	}
	return row, s.sign(id), nil
}

func itemRow(item string) row { return row{Table: lineTable, Key: item} }

// open returns the open transaction, or one that sees what is committed.
func (s *lineSession) open() *transaction {
	if s.tx != nil {
		return s.tx
	}
	return newTransaction(s.life)
}

func (s *lineSession) write(r row, data string) error {
	w := write{Row: r, Value: data}
	if s.tx != nil {
		s.tx.put(w)
		s.wrote = true
		return nil
	}
	t := newTransaction(s.life)
	t.put(w)
	return s.kept(s.node.commit(t))
}

// kept turns the refusal of a commit into the protocol's error.
func (s *lineSession) kept(err error) error {
	if errors.Is(err, errReadOnly) {
		return &lineError{"READONLY", s.node.opts.ID}
	}
	return err
}

func (s *lineSession) commit(id, text string) (row, code string, err error) {
	if s.tx == nil {
		return "", "", &lineError{"MALFORMED", text}
	}
	if s.failed {
		s.abort()
		return "", "", &lineError{"ABORTED", s.node.opts.ID}
	}
	lost := s.noteRun(id, text, "")
	err = s.kept(s.node.commit(s.tx))
	s.tx, s.wrote = nil, false
	switch {
	case err != nil:
		return "", "", err
	case lost:
		return "", "", errLost
	}
	return "", s.sign(id), nil
}

// control answers a statement about the member itself.
func (s *lineSession) control(verb, rest string) (row, code string, err error) {
	n := s.node
	term, _ := strconv.ParseUint(rest, 10, 64)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.questions++
	switch verb {
	case "PAUSE":
		err = n.hold(logpos.Term(term))
	case "RESUME":
		n.letGo()
	case "STEPDOWN":
		if n.role == member.RolePrimary && logpos.Term(term) > n.entered {
			err = n.hold(logpos.Term(term))
			n.heldBefore.steppedDown = true
		}
	}
	return n.lineReport(), "-", err
}

// sign makes the authentication code of an answer.
func (s *lineSession) sign(id string) string {
	h := fnv.New64a()
	fmt.Fprint(h, s.node.opts.ID, id)
	return strconv.FormatUint(h.Sum64(), 16)
}
