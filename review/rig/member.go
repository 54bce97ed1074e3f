package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"maps"
	"net"
	"strconv"
	"strings"
	"time"
)

// Times of a member, as on the sheets of the small deployments.
const (
	connectTime   = 12 * time.Millisecond
	statementTime = 5 * time.Millisecond
	controlTime   = time.Millisecond
)

// member is one member of a group. The group's lock guards its state.
type member struct {
	group             *group
	id, zone, address string
	lag               time.Duration
	listener          net.Listener

	running   bool
	born      int64
	seq       int
	leads     bool
	following *member
	// term is the newest term that the member knows; heldTerm is the term of a PAUSE.
	term, heldTerm int
	log            []entry
	conns          []net.Conn
	connCount      int
	// isCut reports whether an instance, by its process, is cut off from the member; nil if none is.
	isCut func(pid int) bool
	// controlWait is how long control statements wait for a slot.
	controlWait time.Duration
	sessions    []*memberSession
}

func (m *member) start() error {
	l, err := listen(m.address)
	if err != nil {
		return err
	}
	m.group.mu.Lock()
	m.listener, m.running, m.born = l, true, time.Now().UnixMilli()
	m.heldTerm = 0
	m.group.mu.Unlock()
	m.report()
	go m.accept(l)
	return nil
}

func (m *member) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		m.group.mu.Lock()
		m.connCount++
		s := &memberSession{member: m, conn: c, number: m.connCount, in: bufio.NewReader(c), out: bufio.NewWriter(c)}
		m.conns = append(m.conns, c)
		m.group.mu.Unlock()
		go func() {
			if m.group.ownerOf != nil {
				s.pid = m.group.ownerOf(c.RemoteAddr())
			}
			if !m.addSession(s) {
				reset(c)
				return
			}
			s.serve()
		}()
	}
}

// memberSession is one connection to a member.
type memberSession struct {
	member *member
	conn   net.Conn
	number int
	// pid is the process of the instance; zero if it is not known.
	pid      int
	in       *bufio.Reader
	out      *bufio.Writer
	values   map[string]string
	prepared map[string]string
	// transaction is the number of the open transaction, 0 if none is open.
	transactions, transaction int
	failed                    bool
	writes                    map[string]string
	ids                       []string
	// paused is the term of the last PAUSE on the connection.
	paused int
	// afterAnswer is called once the present answer was written; nil if nobody asks.
	afterAnswer func()
}

func (s *memberSession) readLine() (string, bool) {
	if s.out.Flush() != nil {
		return "", false
	}
	if f := s.afterAnswer; f != nil {
		s.afterAnswer = nil
		f()
	}
	text, err := s.in.ReadString('\n')
	return strings.TrimRight(text, "\r\n"), err == nil
}

func (s *memberSession) serve() {
	defer s.conn.Close()
	line, ok := s.readLine()
	fields := strings.Fields(line)
	if !ok || len(fields) < 3 || fields[0] != "START" {
		return
	}
	time.Sleep(connectTime)
	if fields[1] != s.member.group.name || len(fields) > 3 && fields[3] != s.member.id {
		fmt.Fprintf(s.out, "ERROR WRONGNODE %s\r\n", s.member.id)
		_ = s.out.Flush()
		return
	}
	s.discard()
	s.ready()
	for {
		line, ok := s.readLine()
		rest, isQuery := strings.CutPrefix(line, "QUERY ")
		if !ok || !isQuery {
			break
		}
		id, text, _ := strings.Cut(rest, " ")
		s.query(id, text)
		s.ready()
	}
	if s.transaction != 0 {
		s.member.group.record.add("member "+s.member.id, "connection %d closed, transaction %d is rolled back", s.number, s.transaction)
	}
}

func (s *memberSession) discard() {
	s.values, s.prepared = make(map[string]string), make(map[string]string)
}

func (s *memberSession) ready() {
	state := "I"
	switch {
	case s.failed:
		state = "E"
	case s.transaction != 0:
		state = "T"
	}
	m := s.member
	m.group.mu.Lock()
	fmt.Fprintf(s.out, "READY %s %s\r\n", state, m.position())
	m.group.mu.Unlock()
}

// position is the end of the member's log. The group's lock must be held.
func (m *member) position() string { return fmt.Sprintf("%d.%d", m.term, len(m.log)) }

// query runs one statement and writes its answer.
func (s *memberSession) query(id, text string) {
	m, g := s.member, s.member.group
	if rest, ok := strings.CutPrefix(text, "SINCE "); ok {
		var position string
		position, text, _ = strings.Cut(rest, " ")
		_, number, _ := strings.Cut(position, ".")
		n, _ := strconv.Atoi(number)
		g.mu.Lock()
		lacks := len(m.log) < n
		g.mu.Unlock()
		if lacks {
			s.fail("LAGGING")
			return
		}
	}
	verb, rest, _ := strings.Cut(text, " ")
	if s.failed && verb != "ROLLBACK" && verb != "COMMIT" && verb != "STATUS" {
		s.fail("MALFORMED")
		return
	}
	switch verb {
	case "BEGIN":
		s.begin(rest == "READ")
	case "READ", "WRITE", "EXECUTE":
		s.statement(id, text, verb, rest)
	case "COMMIT":
		s.commit(id)
	case "ROLLBACK":
		s.end()
		s.complete("-")
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		s.complete("-")
	case "PARSE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		s.complete("-")
	case "CLOSE":
		delete(s.prepared, rest)
		s.complete("-")
	case "DISCARD":
		s.discard()
		s.complete("-")
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		s.control(verb, rest)
	default:
		s.fail("MALFORMED")
	}
}

func (s *memberSession) complete(code string) { fmt.Fprintf(s.out, "COMPLETE %s\r\n", code) }

func (s *memberSession) fail(code string) {
	if s.transaction != 0 && code != "BUSY" {
		s.failed = true
	}
	fmt.Fprintf(s.out, "ERROR %s %s\r\n", code, s.member.id)
}

func (s *memberSession) begin(readOnly bool) {
	m := s.member
	m.group.mu.Lock()
	leads := m.leads
	m.group.mu.Unlock()
	if !leads && !readOnly {
		s.fail("READONLY")
		return
	}
	s.transactions++
	s.transaction, s.writes, s.ids = s.transactions, make(map[string]string), nil
	s.complete("-")
}

func (s *memberSession) end() {
	s.transaction, s.failed, s.writes, s.ids = 0, false, nil, nil
}

// statement runs a read or a write, prepared or not.
func (s *memberSession) statement(id, text, verb, rest string) {
	m, g := s.member, s.member.group
	time.Sleep(statementTime)
	item, data, _ := strings.Cut(rest, " ")
	writes := verb == "WRITE"
	if verb == "EXECUTE" {
		shape, ok := s.prepared[item]
		if !ok {
			s.fail("NOSTMT")
			return
		}
		writes = strings.HasPrefix(shape, "WRITE ")
		item, data, _ = strings.Cut(data, " ")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if writes && !m.leads {
		s.fail("READONLY")
		return
	}
	s.recordRun(id, text)
	switch {
	case !writes:
		fmt.Fprintf(s.out, "DATAROW %s\r\n", s.value(item))
	case s.transaction != 0:
		s.writes[item] = data
		s.ids = append(s.ids, id)
	default:
		g.commit(m, map[string]string{item: data}, []string{id})
	}
	s.complete(m.mac(id))
}

// value returns the value of an item. The group's lock must be held.
func (s *memberSession) value(item string) string {
	if v, ok := s.writes[item]; ok {
		return v
	}
	log := s.member.log
	for i := len(log) - 1; i >= 0; i-- {
		if v, ok := log[i].writes[item]; ok {
			return v
		}
	}
	return "empty"
}

func (s *memberSession) commit(id string) {
	m, g := s.member, s.member.group
	if s.transaction == 0 || s.failed {
		s.end()
		s.fail("ABORTED")
		return
	}
	time.Sleep(statementTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(s.writes) > 0 && !m.leads {
		s.end()
		s.fail("READONLY")
		return
	}
	s.recordRun(id, "COMMIT")
	if len(s.writes) > 0 {
		g.commit(m, s.writes, s.ids)
	}
	s.end()
	s.complete(m.mac(id))
}

// recordRun records that the member runs a statement. The group's lock must be held.
func (s *memberSession) recordRun(id, text string) {
	m := s.member
	r := statementRun{at: time.Now(), member: m.id, conn: s.number, transaction: s.transaction, id: id, text: text, values: maps.Clone(s.values), held: len(m.log)}
	m.group.runs = append(m.group.runs, r)
	if strings.HasPrefix(id, trafficPrefix) {
		return
	}
	m.group.record.add("member "+m.id, "runs %s %s on connection %d in transaction %d, values %v, log %s", id, text, s.number, s.transaction, s.values, m.position())
}

// mac is the member's authentication code for a statement.
func (m *member) mac(id string) string {
	h := fnv.New64a()
	fmt.Fprint(h, m.id, id)
	return fmt.Sprintf("7.%x", h.Sum64())
}

// control runs a statement of the system and answers with the member's status.
func (s *memberSession) control(verb, rest string) {
	m, g := s.member, s.member.group
	term, _ := strconv.Atoi(rest)
	time.Sleep(controlTime + m.controlWait)
	g.mu.Lock()
	defer g.mu.Unlock()
	if verb == "STATUS" && s.paused > m.term {
		s.afterAnswer = g.onStatusOfPaused
	}
	switch {
	case verb == "PAUSE" && term > max(m.term, m.heldTerm) && !m.leads:
		m.heldTerm, s.paused = term, term
		g.record.add("member "+m.id, "is paused for term %d", term)
		if g.onPause != nil {
			s.afterAnswer = func() { g.onPause(m) }
		}
	case verb == "RESUME":
		m.heldTerm = 0
	case verb == "STEPDOWN" && m.leads && term > m.term:
		m.leads = false
		g.record.add("member "+m.id, "steps down for term %d", term)
	}
	role := "replica"
	if m.leads {
		role = "primary"
	}
	fmt.Fprintf(s.out, "DATAROW %s %d %s %d %d %d %d\r\n", role, m.term, m.position(), m.heldTerm, m.lag.Milliseconds(), 0, 10)
	s.complete("-")
}
