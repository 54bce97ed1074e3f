package pool

// workspaceCounts counts the connections of one workspace to one member. A connection is
// opened on behalf of its workspace and serves no other one.
type workspaceCounts struct {
	opening int
	inUse   int
	probing int
	idle    int
	// minIdle is the lowest number of idle connections since the last trim.
	minIdle int
}

// total returns the number of connections that count against the limits.
func (c *workspaceCounts) total() int { return c.idle + c.inUse + c.opening + c.probing }

// hasEstablished reports whether there is an established connection, which may serve the
// next waiter.
func (c *workspaceCounts) hasEstablished() bool { return c.idle+c.inUse+c.probing > 0 }

// countsFor returns the counts of a workspace's connections to the member.
func (m *memberState) countsFor(workspace string) *workspaceCounts {
	counts := m.workspaces[workspace]
	if counts == nil {
		counts = &workspaceCounts{}
		m.workspaces[workspace] = counts
	}
	return counts
}

// removeEmptyWorkspaces deletes the counts of workspaces that have no connection.
func (m *memberState) removeEmptyWorkspaces() {
	for workspace, counts := range m.workspaces {
		if counts.total() == 0 {
			delete(m.workspaces, workspace)
		}
	}
}
