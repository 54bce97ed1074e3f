package pool

// Stats holds the counts of a pool's connections and waiters at one moment.
type Stats struct {
	Limit   int
	Idle    int
	InUse   int
	Opening int
	// Probing and Closing connections count but cannot be used.
	Probing int
	Closing int
	Waiting int
}

// Total returns the number of connections that the limit bounds.
func (s Stats) Total() int {
	return s.Idle + s.InUse + s.Opening + s.Probing + s.Closing
}
