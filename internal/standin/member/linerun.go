package member

import "maps"

// Run is one statement of a caller that a node ran over the line protocol.
type Run struct {
	// ID is the caller's identifier of the statement, Text its text.
	ID, Text string
	// Shape is that of the prepared statement that was executed; empty otherwise.
	Shape string
	// Values are the session values that the connection carried.
	Values map[string]string
	// Conn numbers the connection, and Transaction its transactions; zero is none.
	Conn, Transaction int
	// User is the name that the connection was opened in.
	User string
	// Role is what the node was.
	Role string
}

// Runs returns what the node ran, in order.
func (n *Node) Runs() []Run {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Run(nil), n.runs...)
}

// Questions returns how many reports the node was asked for over the line protocol.
func (n *Node) Questions() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.questions
}

// LoseAnswers makes the node run the next count statements of callers and close
// their connections in place of an answer.
func (n *Node) LoseAnswers(count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loseAnswers = count
}

// noteRun records a statement that ran. It reports whether its answer is lost.
func (s *lineSession) noteRun(id, text, shape string) bool {
	n := s.node
	n.mu.Lock()
	defer n.mu.Unlock()
	r := Run{ID: id, Text: text, Shape: shape, Values: maps.Clone(s.values), Conn: s.number, User: s.user, Role: string(n.role)}
	if s.tx != nil {
		r.Transaction = s.transactions
	}
	n.runs = append(n.runs, r)
	if n.loseAnswers == 0 {
		return false
	}
	n.loseAnswers--
	return true
}
