// Package workspace holds who operations are run for: workspaces, the keys that name them,
// and their limits.
//
// A key is a secret. It is turned into a digest where it enters the process, and only the
// digest is kept, compared and passed on.
package workspace

// Workspace is one tenant of the databases. Its connections to members are never used for
// another one.
type Workspace struct {
	Name string
	// Priority counts from 0, the highest.
	Priority int
	// Limit bounds the operations that are begun for it, over all instances.
	Limit Limit
}

// Limit is a token bucket over all instances: Rate is in operations a second, and Burst is how
// many may come at once behind a pause. The zero Limit bounds nothing.
type Limit struct {
	Rate  float64
	Burst float64
}

// Unlimited reports whether the limit bounds nothing.
func (l Limit) Unlimited() bool { return l == Limit{} }
