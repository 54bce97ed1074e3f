package pool

// Stats counts the connections of a pool at one moment.
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

// Total is the number that the limit bounds.
func (s Stats) Total() int {
	return s.Idle + s.InUse + s.Opening + s.Probing + s.Closing
}
