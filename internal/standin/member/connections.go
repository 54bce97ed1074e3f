package member

// Connections counts a node's connections since it was made.
type Connections struct {
	// Open and Highest count data connections; Highest never exceeds the total.
	Open, Highest int
	// ControlOpen and ControlHighest count control connections.
	ControlOpen, ControlHighest int
	// Refused counts data connections that were over the total.
	Refused int
}

// Connections returns the counts of this moment.
func (n *Node) Connections() Connections {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts
}

// admit counts a connection, or refuses it when the total is reached.
func (n *Node) admit(control bool) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &n.counts
	if control {
		c.ControlOpen++
		c.ControlHighest = max(c.ControlHighest, c.ControlOpen)
		return nil
	}
	if total := n.opts.ConnectionTotal; total > 0 && c.Open >= total {
		c.Refused++
		return &sqlError{state: stateTooManyConnections, message: "sorry, too many clients already"}
	}
	c.Open++
	c.Highest = max(c.Highest, c.Open)
	return nil
}

func (n *Node) leave(control bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if control {
		n.counts.ControlOpen--
	} else {
		n.counts.Open--
	}
}

// Reads counts the look-ups of rows that a node answered, by its role.
type Reads struct{ Primary, Replica int }

// Reads returns the counts of this moment.
func (n *Node) Reads() Reads {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reads
}
