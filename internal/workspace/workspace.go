// Package workspace defines workspaces, the keys that identify them, and their limits.
//
// A key is a secret. It is hashed where it enters the process, and only the digest is stored,
// compared and forwarded.
package workspace

// Workspace is a tenant of the databases. Its connections to members are never used for another
// workspace.
type Workspace struct {
	Name string
	// Priority counts from 0, the highest.
	Priority int
	// Limit bounds the operations that begin for it on all instances together.
	Limit Limit
}

// Limit is a token bucket shared by all instances: Rate is in operations per second, and Burst is
// how many operations may begin at once after a pause. The zero Limit means unlimited.
type Limit struct {
	Rate  float64
	Burst float64
}

// Unlimited reports whether there is no limit.
func (l Limit) Unlimited() bool { return l == Limit{} }

const (
	// lowestPriority is the last priority with a weight of its own.
	lowestPriority = 8
	// invalidWeight is the weight of a priority that is not one of 0 to lowestPriority.
	invalidWeight = -1
)

// Weight returns the weight of the workspace where workspaces compete for capacity: 256 for
// priority 0, and half as much for each step, down to 1 for priority 8. It is negative if the
// priority is negative or larger.
func (w Workspace) Weight() int {
	if w.Priority < 0 || w.Priority > lowestPriority {
		return invalidWeight
	}
	return 1 << (lowestPriority - w.Priority)
}
