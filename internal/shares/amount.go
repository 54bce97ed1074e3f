package shares

// Amount is a number of connections, including control connections, and of slots.
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

// Min returns the element-wise minimum.
func (a Amount) Min(b Amount) Amount {
	return Amount{min(a.Connections, b.Connections), min(a.Slots, b.Slots)}
}

// Max returns the element-wise maximum.
func (a Amount) Max(b Amount) Amount {
	return Amount{max(a.Connections, b.Connections), max(a.Slots, b.Slots)}
}

// ExcessOver returns a - b, with negative counts replaced by zero.
func (a Amount) ExcessOver(b Amount) Amount { return a.Minus(b).Max(Amount{}) }

// Within reports whether no count of a exceeds that of b.
func (a Amount) Within(b Amount) bool {
	return a.Connections <= b.Connections && a.Slots <= b.Slots
}

// IsZero reports whether both counts are zero.
func (a Amount) IsZero() bool { return a == Amount{} }
