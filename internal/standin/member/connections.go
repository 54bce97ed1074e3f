package member

// Connections holds a node's connection counts since New.
type Connections struct {
	// Open is the current number of data connections and Peak its maximum, which
	// never exceeds Options.MaxConnections.
	Open, Peak int
	// ControlOpen and ControlPeak are the same for control connections.
	ControlOpen, ControlPeak int
	// Refused counts data connections rejected because of MaxConnections.
	Refused int
}

// Connections returns the current connection counts.
func (n *Node) Connections() Connections {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.connectionCounts
}

// admitConnection counts a new connection. A data connection is refused when
// MaxConnections connections are open.
func (n *Node) admitConnection(control bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &n.connectionCounts
	if control {
		c.ControlOpen++
		c.ControlPeak = max(c.ControlPeak, c.ControlOpen)
		return nil
	}
	if total := n.opts.MaxConnections; total > 0 && c.Open >= total {
		c.Refused++
		return &sqlError{state: stateTooManyConnections, message: "sorry, too many clients already"}
	}
	c.Open++
	c.Peak = max(c.Peak, c.Open)
	return nil
}

func (n *Node) releaseConnection(control bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if control {
		n.connectionCounts.ControlOpen--
	} else {
		n.connectionCounts.Open--
	}
}

// Reads counts the row lookups that a node served, by its role at the time.
type Reads struct{ Primary, Replica int }

// Reads returns the current read counts.
func (n *Node) Reads() Reads {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.readCounts
}
