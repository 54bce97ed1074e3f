package shares

// Share is a part of the total that at most one process may use at a time.
type Share struct {
	Name string `json:"name"`
	// FailureDomain restricts who may take the share; empty for a reserve share.
	FailureDomain string `json:"failure_domain,omitempty"`
	// Size is what the holder may use now. Lending moves it away from Target, but never
	// below Floor.
	Size   Amount  `json:"size"`
	Target Amount  `json:"target"`
	Floor  Amount  `json:"floor"`
	Holder *Holder `json:"holder,omitempty"`
	// Epoch increases with every change of holder.
	Epoch int64 `json:"epoch"`
	// Mark is set while an instance suspects that the holder has vanished.
	Mark *SuspectMark `json:"mark,omitempty"`
}

// SuspectMark identifies a suspicion that a share's holder has vanished and the
// instance that raised it. A holder that reads it removes it.
type SuspectMark struct {
	ID string `json:"id"`
	By string `json:"by"`
}

// isFree reports whether the share has no holder.
func (s *Share) isFree() bool { return s.Holder == nil }

// setHolder changes the holder; nil frees the share.
func (s *Share) setHolder(h *Holder) {
	s.Holder = h
	s.Mark = nil
	s.Epoch++
}
