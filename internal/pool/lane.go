package pool

// lane is the connections of one workspace to one member. A connection is opened in the name
// of its workspace and serves no other one.
type lane struct {
	opening int
	inUse   int
	probing int
	idle    int
	// leastIdle is how many were idle all the time since the last trim.
	leastIdle int
}

// counted is how many connections of the lane count.
func (l *lane) counted() int { return l.idle + l.inUse + l.opening + l.probing }

// connected reports whether the lane has a connection that will serve the next waiter.
func (l *lane) connected() bool { return l.idle+l.inUse+l.probing > 0 }

// lane returns the counts of a workspace's connections to the member.
func (m *memberState) lane(workspace string) *lane {
	l := m.lanes[workspace]
	if l == nil {
		l = &lane{}
		m.lanes[workspace] = l
	}
	return l
}

// dropEmptyLanes forgets the workspaces that have no connection.
func (m *memberState) dropEmptyLanes() {
	for workspace, l := range m.lanes {
		if l.counted() == 0 {
			delete(m.lanes, workspace)
		}
	}
}
