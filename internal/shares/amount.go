package shares

// Amount counts connections, those for control included, and slots.
type Amount struct {
	Connections int `json:"connections"`
	Slots       int `json:"slots"`
}

// Plus returns a + b.
func (a Amount) Plus(b Amount) Amount {
	return Amount{a.Connections + b.Connections, a.Slots + b.Slots}
}

// Minus returns a - b.
func (a Amount) Minus(b Amount) Amount {
	return Amount{a.Connections - b.Connections, a.Slots - b.Slots}
}

// Min returns the smaller of each count.
func (a Amount) Min(b Amount) Amount {
	return Amount{min(a.Connections, b.Connections), min(a.Slots, b.Slots)}
}

// Max returns the larger of each count.
func (a Amount) Max(b Amount) Amount {
	return Amount{max(a.Connections, b.Connections), max(a.Slots, b.Slots)}
}

// Over returns by how much a is above b, and zero where it is not.
func (a Amount) Over(b Amount) Amount { return a.Minus(b).Max(Amount{}) }

// Within reports whether no count of a is above that of b.
func (a Amount) Within(b Amount) bool {
	return a.Connections <= b.Connections && a.Slots <= b.Slots
}

// IsZero reports whether both counts are zero.
func (a Amount) IsZero() bool { return a == Amount{} }
