package shares

// Seat is a part of the total that one process at a time may use.
type Seat struct {
	Name string `json:"name"`
	// FailureDomain restricts who may take the seat; empty for a reserve seat.
	FailureDomain string `json:"failure_domain,omitempty"`
	// Size is what the holder may use now. Lending moves it away from Target
	// and never below Floor.
	Size   Amount  `json:"size"`
	Target Amount  `json:"target"`
	Floor  Amount  `json:"floor"`
	Holder *Holder `json:"holder,omitempty"`
	// Epoch rises with every change of holder.
	Epoch int64 `json:"epoch"`
	// Mark is set while an instance believes that the holder has vanished.
	Mark *Mark `json:"mark,omitempty"`
}

// Mark says who believes that a seat's holder has vanished. A holder that reads
// it removes it.
type Mark struct {
	ID string `json:"id"`
	By string `json:"by"`
}

// free reports whether nobody holds the seat.
func (s *Seat) free() bool { return s.Holder == nil }

// give changes the holder; nil frees the seat.
func (s *Seat) give(h *Holder) {
	s.Holder = h
	s.Mark = nil
	s.Epoch++
}
