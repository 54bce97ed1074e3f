package member

import "maps"

// ExecutedStatement records one caller statement that a node ran over the line protocol.
type ExecutedStatement struct {
	// ID identifies the statement and is chosen by the caller; Text is its text.
	ID, Text string
	// Shape is the shape of the executed prepared statement, or empty if the
	// statement was not prepared.
	Shape string
	// Values are the session settings of the connection at that time.
	Values map[string]string
	// Conn numbers the connections of the node from 1. Transaction numbers the
	// transactions of the connection from 1; 0 means outside a transaction.
	Conn, Transaction int
	// User is the user name given when the connection was opened.
	User string
	// Role is the role of the node when it ran the statement.
	Role string
}

// ExecutedStatements returns all recorded statements, in execution order.
func (n *Node) ExecutedStatements() []ExecutedStatement {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]ExecutedStatement(nil), n.runs...)
}

// ControlStatements returns how many STATUS, PAUSE, RESUME and STEPDOWN statements
// the node has received over the line protocol.
func (n *Node) ControlStatements() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.controlStatements
}

// DropResponses makes the node run the next count caller statements and close their
// connections without sending a response.
func (n *Node) DropResponses(count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropResponses = count
}

// recordRun records a statement. It reports whether its response must be dropped.
func (s *lineSession) recordRun(id, text, shape string) bool {
	n := s.node
	n.mu.Lock()
	defer n.mu.Unlock()
	r := ExecutedStatement{ID: id, Text: text, Shape: shape, Values: maps.Clone(s.values), Conn: s.connNumber, User: s.user, Role: string(n.role)}
	if s.tx != nil {
		r.Transaction = s.transactionCount
	}
	n.runs = append(n.runs, r)
	if n.dropResponses == 0 {
		return false
	}
	n.dropResponses--
	return true
}
